"""A path played again, without the checker's chance, and printed as a test to paste. Pure."""

from __future__ import annotations

import json
import re
import textwrap
from collections.abc import Sequence
from dataclasses import MISSING, fields, is_dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

from coveport.balancing import Balancer
from coveport.sidecar.reducer.reducer import Reducer
from coveport.testbed.check.chance import Drawn
from coveport.testbed.check.play import Play
from coveport.testbed.check.rules import RULES, Breach
from coveport.testbed.check.world import START_MS, Path, Until, World

if TYPE_CHECKING:
    from coveport.testbed.check.explore import Found

WIDTH = 110

NAMES = (
    "Came",
    "Deadline",
    "Ended",
    "Left",
    "Line",
    "Node",
    "Probed",
    "Reload",
    "Timer",
    "Told",
    "Until",
    "Wish",
    "Word",
    "World",
)


def replay(
    world: World,
    path: Path,
    draws: Sequence[float] = (),
    *,
    reducer: type[Reducer] = Reducer,
    balancer: type[Balancer] = Balancer,
) -> list[Breach]:
    """Play a path; what it breaks, in order.

    Another reducer or module than the one the path was found with may go another way. What is due before the
    next move of the path then comes in its turn, and a move that can't be made is left out.
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


def printed(world: World, found: Found) -> str:
    """A pytest test of the path to a breach, with its imports; it fails for as long as the rule is broken."""
    rule = found.breach.rule
    name = re.sub(r"\W+", "_", f"{rule} in {world.name}").strip("_").lower()
    why = textwrap.indent(textwrap.fill(f"{found.breach.text}.", WIDTH - 6), "    # ")
    path = "".join(f"        ({at!r}, {source(move)}),\n" for at, move in found.path)
    body = (
        f"def test_{name}(\n"
        f"    reducer: type[Reducer] = Reducer, balancer: type[Balancer] = Balancer,\n"
        f") -> None:\n"
        f'    """Guards against: {RULES[rule]}."""\n'
        f"{why}\n"
        f"    world = {source(world, 4, len('    world = '))}\n"
        f"    path = (\n{path}    )\n"
        f"    draws = {source(found.draws, 4, len('    draws = '))}\n"
        f"    broken = replay(world, path, draws, reducer=reducer, balancer=balancer)\n"
        f'    assert "{rule}" not in [breach.rule for breach in broken]\n'
    )
    used = ", ".join(name for name in NAMES if re.search(rf"\b{name}\(", body))
    return (
        f"from coveport.sidecar.reducer.reducer import Reducer\n"
        f"from coveport.testbed.check import replay\n"
        f"from coveport.testbed.check.world import {used}\n"
        f"from coveport.balancing import Balancer\n"
        f"from coveport import balancing\n\n\n{body}"
    )


def source(value: Any, indent: int = 0, used: int = 0) -> str:
    """A value as source, broken into lines where it is too long; fields at their defaults are left out."""
    if isinstance(value, Enum):
        return f"balancing.{type(value).__name__}.{value.name}"
    if is_dataclass(value):
        module = "balancing." if type(value).__module__.startswith("coveport.balancing.") else ""
        told, by_place = [], True
        for one in fields(value):
            if not one.compare:
                continue
            default = one.default_factory() if one.default_factory is not MISSING else one.default
            has = getattr(value, one.name)
            if has == default:
                by_place = False
                continue
            lead = "" if by_place else f"{one.name}="
            told.append((lead, has))
        opening, closing = f"{module}{type(value).__name__}(", ")"
    elif isinstance(value, tuple):
        told = [("", one) for one in value]
        opening, closing = "(", ",)" if len(value) == 1 else ")"
    elif isinstance(value, str):
        return json.dumps(value)  # in double quotes, as all our strings are
    else:
        return repr(value)
    line = opening + ", ".join(lead + source(one) for lead, one in told) + closing
    if used + len(line) < WIDTH or not told:
        return line
    inner = indent + 4
    parts = [f"{lead}{source(one, inner, inner + len(lead))}," for lead, one in told]
    if max(map(len, parts)) < inner:  # figures: as many as there is room for stand in a line
        parts = textwrap.wrap(" ".join(parts), WIDTH - inner)
    lines = "".join(f"{' ' * inner}{part}\n" for part in parts)
    return f"{opening}\n{lines}{' ' * indent}{closing.lstrip(',')}"
