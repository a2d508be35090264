"""Write a counterexample as the source of a regression test. Pure."""

from __future__ import annotations

import json
import re
import textwrap
from dataclasses import MISSING, fields, is_dataclass
from enum import Enum
from typing import Any

from coveport.testbed.check.counterexample import Counterexample
from coveport.testbed.check.rules import RULES
from coveport.testbed.check.world import World

WIDTH = 110  # columns of a line of source, as the formatter is set

IMPORTED_NAMES = (
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
"""Names of `check.world` that the source of a test may use."""


def printed(world: World, counterexample: Counterexample) -> str:
    """Return a pytest test of a counterexample, with its imports; it fails as long as the rule is broken."""
    rule = counterexample.breach.rule
    name = re.sub(r"\W+", "_", f"{rule} in {world.name}").strip("_").lower()
    why = textwrap.indent(textwrap.fill(f"{counterexample.breach.text}.", WIDTH - 6), "    # ")
    path = "".join(f"        ({at!r}, {source(move)}),\n" for at, move in counterexample.path)
    body = (
        f"def test_{name}(\n"
        f"    reducer: type[Reducer] = Reducer, balancer: type[Balancer] = Balancer,\n"
        f") -> None:\n"
        f'    """Guards against: {RULES[rule]}."""\n'
        f"{why}\n"
        f"    world = {source(world, 4, len('    world = '))}\n"
        f"    path = (\n{path}    )\n"
        f"    draws = {source(counterexample.draws, 4, len('    draws = '))}\n"
        f"    broken = replay(world, path, draws, reducer=reducer, balancer=balancer)\n"
        f'    assert "{rule}" not in [breach.rule for breach in broken]\n'
    )
    used = ", ".join(name for name in IMPORTED_NAMES if re.search(rf"\b{name}\(", body))
    return (
        f"from coveport.sidecar.reducer.reducer import Reducer\n"
        f"from coveport.testbed.check import replay\n"
        f"from coveport.testbed.check.world import {used}\n"
        f"from coveport.balancing import Balancer\n"
        f"from coveport import balancing\n\n\n{body}"
    )


def source(value: Any, indent: int = 0, used: int = 0) -> str:
    """Return a value as Python source, wrapped at `WIDTH` columns, without fields that hold their default.

    `indent` is the indentation of the line in columns, `used` what already stands on it.
    """
    if isinstance(value, Enum):
        return f"balancing.{type(value).__name__}.{value.name}"
    if is_dataclass(value):
        module = "balancing." if type(value).__module__.startswith("coveport.balancing.") else ""
        arguments = []
        positional = True
        for attribute in fields(value):
            if not attribute.compare:
                continue
            default = (
                attribute.default_factory() if attribute.default_factory is not MISSING else attribute.default
            )
            current = getattr(value, attribute.name)
            if current == default:
                positional = False
                continue
            keyword = "" if positional else f"{attribute.name}="
            arguments.append((keyword, current))
        opening = f"{module}{type(value).__name__}("
        closing = ")"
    elif isinstance(value, tuple):
        arguments = [("", item) for item in value]
        opening = "("
        closing = ",)" if len(value) == 1 else ")"
    elif isinstance(value, str):
        return json.dumps(value)  # in double quotes, as the formatter has it
    else:
        return repr(value)
    line = opening + ", ".join(keyword + source(argument) for keyword, argument in arguments) + closing
    if used + len(line) < WIDTH or not arguments:
        return line
    inner = indent + 4
    parts = [f"{keyword}{source(argument, inner, inner + len(keyword))}," for keyword, argument in arguments]
    if max(map(len, parts)) < inner:  # short arguments: fill the lines
        parts = textwrap.wrap(" ".join(parts), WIDTH - inner)
    lines = "".join(f"{' ' * inner}{part}\n" for part in parts)
    return f"{opening}\n{lines}{' ' * indent}{closing.lstrip(',')}"
