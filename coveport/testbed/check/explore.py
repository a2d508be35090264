"""Explores all orders of a small world, breadth first: the first path to a breach is a shortest one. Pure.

A world too large to be explored whole can be explored at random instead, path after path to its end; a path
found so is shortened as far as single moves can be left out.
"""

from __future__ import annotations

from array import array
from collections import deque
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass, replace
from random import Random

from coveport.balancing import Balancer
from coveport.sidecar.reducer.reducer import Reducer
from coveport.testbed.check.chance import Chooser, watched
from coveport.testbed.check.counterexample import Counterexample
from coveport.testbed.check.play import Play
from coveport.testbed.check.replay import replay
from coveport.testbed.check.rules import Breach
from coveport.testbed.check.states import Keeper, Keys
from coveport.testbed.check.world import START_MS, Move, World

Moves = list[tuple[float, Move]]
TELL_EVERY = 1000  # states


@dataclass(frozen=True, slots=True)
class Report:
    """What came of a check."""

    world: World
    states: int  # told apart by value
    paths: int  # edges: a move with one way that chance may go
    depth: int  # moves on the longest of the shortest paths to a state
    most_timers: int  # of the module, that waited together in any state
    whole: bool  # False: it was stopped at so many states, and there are more
    found: tuple[Counterexample, ...]  # one for each rule broken
    doubts: int = 0  # states from which something else followed than from others with the same key
    seconds: float = 0.0  # by the clock given


@dataclass(slots=True)
class _State:
    """A state that waits for its turn."""

    index: int
    depth: int
    moves: Moves
    snapshot: bytes
    key: bytes
    double: bool = False  # its key was met before


def check(
    world: World,
    *,
    reducer: type[Reducer] = Reducer,
    balancer: type[Balancer] = Balancer,
    most_states: int = 200_000,
    seed: int | None = None,
    exact: bool = False,
    fold: bool = True,
    audit: bool = False,
    clock: Callable[[], float] | None = None,
    told: Callable[[int, int, int], None] | None = None,
) -> Report:
    """Explore a world from its start, until nothing new is found or there are so many states.

    With a `seed` states are not met in the order of their depth: a path is gone at random to its end, then
    another from a state drawn at random. Use it where `most_states` would end the search far from any end.
    `fold` off or `exact` on tell states apart that need not be (see `states`); `audit` goes on from states
    met before too, and counts those from which something else follows: all of them check the checker. `clock`
    gives seconds for the report; `told` is called with states, paths and depth now and then.
    """
    began = clock() if clock else 0.0
    search = _Search(world, reducer, balancer, Keys(world, exact, fold), told, seed)
    search.run(most_states, audit)
    found = search.found
    if seed is not None:
        found = {rule: _shortened(world, one, reducer, balancer) for rule, one in found.items()}
    elif fold:
        sure = {
            rule: one
            for rule, one in found.items()
            if any(
                breach.rule == rule
                for breach in replay(world, one.path, one.draws, reducer=reducer, balancer=balancer)
            )
        }
        if len(sure) < len(found):
            # A path through states that count as one may need nodes in two orders: look for one in one order.
            again = _Search(world, reducer, balancer, Keys(world, exact, False), told, None)
            again.run(2 * most_states, False, found.keys() - sure.keys())
            found = {rule: sure.get(rule) or again.found.get(rule, one) for rule, one in found.items()}
    return Report(
        world,
        len(search.edges),
        search.paths,
        search.depth,
        search.most_timers,
        not search.waiting,
        tuple(found.values()),
        search.doubts,
        clock() - began if clock else 0.0,
    )


def _shortened(
    world: World, counterexample: Counterexample, reducer: type[Reducer], balancer: type[Balancer]
) -> Counterexample:
    """Return the counterexample without each move that it does not need."""
    shortest = counterexample
    length = len(shortest.path) + 1
    while len(shortest.path) < length:
        length = len(shortest.path)
        for index in reversed(range(length)):
            shorter = replace(shortest, path=(*shortest.path[:index], *shortest.path[index + 1 :]))
            for breach in replay(world, shorter.path, shorter.draws, reducer=reducer, balancer=balancer):
                if breach.rule == shortest.breach.rule:
                    shortest = replace(shorter, breach=breach)
                    break
    return shortest


class _Search:
    def __init__(
        self,
        world: World,
        reducer: type[Reducer],
        balancer: type[Balancer],
        keys: Keys,
        told: Callable[[int, int, int], None] | None,
        seed: int | None,
    ) -> None:
        self._world, self._reducer, self._balancer = world, reducer, watched(balancer, keys.kinds)
        settings = world.settings
        self._keeper = Keeper(
            [world, settings, settings.limits, settings.rules, *settings.classes], [self._balancer, reducer]
        )
        self._keys = keys
        self._told = told
        self._seen: set[bytes] = set()
        # Of each state: where it came from, and which choices were made there.
        self._parents, self.edges = array("l"), list[bytes]()
        self.waiting: deque[_State] = deque()
        self._random = None if seed is None else Random(seed)
        self.found: dict[str, Counterexample] = {}
        self.paths = self.depth = self.most_timers = self.doubts = 0

    def run(self, most_states: int, audit: bool, sought: Collection[str] = ()) -> None:
        """Explore; stop at so many states, or once all rules sought are found broken."""
        play = Play(self._world, self._reducer, self._balancer, Chooser(self._world.spreads))
        broken = play.begin()
        if broken:
            self._note(b"", -1, broken)
            return
        self._meet(play, b"", -1, 0)
        ends: dict[bytes, frozenset[bytes]] = {}  # of states by key: what follows
        before = 0
        while self.waiting and len(self.edges) < most_states:
            if sought and self.found.keys() >= set(sought):
                return
            state = self._next(len(self.waiting) - before)
            before = len(self.waiting)
            after = set[bytes]()
            for edge, play, broken in self._follow(state):
                self.paths += 1
                if broken:
                    self._note(edge, state.index, broken)
                    after.update(breach.rule.encode() for breach in broken)
                elif state.double:
                    after.add(self._keys.of(play))
                else:
                    after.add(self._meet(play, edge, state.index, state.depth + 1, audit))
            if audit:
                self.doubts += ends.setdefault(state.key, frozenset(after)) != after

    def _next(self, fresh: int) -> _State:
        """The state to go on from; `fresh`: how many were met from the last one."""
        waiting = self.waiting
        if self._random is not None:
            # The end of the queue: what was just met, or else anything.
            place = self._random.randrange(fresh or len(waiting))
            waiting[-1 - place], waiting[-1] = waiting[-1], waiting[-1 - place]
            return waiting.pop()
        return waiting.popleft()

    def _follow(self, state: _State) -> Iterator[tuple[bytes, Play, list[Breach]]]:
        """Each move from a state, with each way that chance may go."""
        for place, (at, move) in enumerate(state.moves):
            script: list[int] | None = []
            while script is not None:
                play = self._keeper.back(state.snapshot)
                chooser = play.chance
                chooser.script, chooser.taken = script, []
                broken = play.move(at, move)
                edge = bytes((place, *(choice for choice, _ in chooser.taken)))
                script = chooser.next_script()
                chooser.script, chooser.taken = (), []
                yield edge, play, broken

    def _meet(self, play: Play, edge: bytes, parent: int, depth: int, audit: bool = False) -> bytes:
        """Come to a state; remember it where it is new."""
        key = self._keys.of(play)
        double = key in self._seen
        if double and not audit:
            return key
        self._seen.add(key)
        index = -1
        if not double:
            index = len(self.edges)
            self._parents.append(parent)
            self.edges.append(edge)
            self.depth = max(self.depth, depth)
            self.most_timers = max(self.most_timers, len(play.around.timers))
            if self._told and index % TELL_EVERY == 0:
                self._told(index, self.paths, depth)
        self.waiting.append(_State(index, depth, play.around.moves(), self._keeper.keep(play), key, double))
        return key

    def _note(self, edge: bytes, parent: int, broken: list[Breach]) -> None:
        """Remember the first path to a breach; states met twice have none of their own."""
        new = [breach for breach in broken if breach.rule not in self.found]
        if not new or parent < 0 < len(self.edges):
            return
        chain = [edge]
        while parent > 0:
            chain.append(self.edges[parent])
            parent = self._parents[parent]
        path, draws = self._again(chain[::-1] if edge else [])
        for breach in new:
            self.found.setdefault(breach.rule, Counterexample(breach, path, draws))

    def _again(self, chain: list[bytes]) -> tuple[tuple[tuple[float, Move], ...], tuple[float, ...]]:
        """Go a path once more from the start; its moves, and what chance gave."""
        chooser = Chooser(self._world.spreads)
        chooser.drawn = []
        play = Play(self._world, self._reducer, self._balancer, chooser)
        play.begin()
        path = []
        for edge in chain:
            at, move = play.around.moves()[edge[0]]
            chooser.script, chooser.taken = edge[1:], []
            play.move(at, move)
            path.append((at - START_MS, move))
        return tuple(path), tuple(_between(span[0], span[1]) for span in chooser.drawn)


def _between(low: float, high: float) -> float:
    """A figure of few digits inside an interval."""
    middle = (low + high) / 2
    return next((short for digits in range(1, 12) if low < (short := round(middle, digits)) < high), middle)
