"""Replay a path without the checker's choices of chance. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from coveport.balancing import Balancer
from coveport.sidecar.reducer.reducer import Reducer
from coveport.testbed.check.chance import Drawn
from coveport.testbed.check.play import Play
from coveport.testbed.check.rules import Breach
from coveport.testbed.check.world import START_MS, Path, Until, World


def replay(
    world: World,
    path: Path,
    draws: Sequence[float] = (),
    *,
    reducer: type[Reducer] = Reducer,
    balancer: type[Balancer] = Balancer,
) -> list[Breach]:
    """Return the rules that a path breaks, in order.

    `path` gives each move with its time in ms since the world began, `draws` the results of the balancer's
    random draws. A reducer or balancer other than the one the path was found with may behave differently:
    events due before the next move of the path then happen in their order, and a move that is not possible is
    skipped.
    """
    play = Play(world, reducer, balancer, Drawn(draws))
    around, broken = play.around, play.begin()
    for since, move in path:
        at = START_MS + since
        asleep = isinstance(move, Until) and move.asleep
        while not asleep and around.now < at and (due := around.next_due()) and due[0] < at:
            if due[0] > around.now:
                broken += play.move(due[0], Until())
            broken += play.move(around.now, due[1])
        if at > around.now:
            broken += play.move(at, Until(asleep))
        if not isinstance(move, Until) and move in [one for _, one in around.moves()]:
            broken += play.move(at, move)
    return broken
