"""A scenario as the text of its file, holding what differs from the schema's defaults. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
import tomlkit
from msgspec import NODEFAULT, Struct
from msgspec.structs import FieldInfo

from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_file import parse

_FIELDS: dict[type[Struct], tuple[FieldInfo, ...]] = {}


def fields(kind: type[Struct]) -> tuple[FieldInfo, ...]:
    """Those of a table's type; msgspec works them out anew at each call, which takes long."""
    found = _FIELDS.get(kind)
    if found is None:
        found = _FIELDS[kind] = msgspec.structs.fields(kind)
    return found


def to_toml(scenario: Scenario, notes: Iterable[str] = ()) -> str:
    """The text that `scenario.parse` reads back to an equal scenario; `notes` become comments on top."""
    document = tomlkit.document()
    for note in notes:
        for line in note.splitlines() or [""]:
            document.add(tomlkit.comment("".join(one if one.isprintable() else "?" for one in line)))
    tables = sparse(scenario)
    about = tables.get("about", "")
    # Guards against what a text over several lines can't hold as it is, such as an end of line in front.
    if (
        "\n" in about.strip("\n")
        and not about.startswith("\n")
        and all(line.isprintable() and '"' not in line for line in about.split("\n"))
    ):
        tables["about"] = tomlkit.string(about, multiline=True)
    for fault in tables.get("faults", ()):
        if "whom" in fault:
            whom = tomlkit.inline_table()
            whom.update(fault["whom"])
            fault["whom"] = whom
    document.update(tables)
    return tomlkit.dumps(document)


def laid(scenario: Scenario, sets: Sequence[str], name: str = "schedule") -> Scenario:
    """The scenario with `sets` laid over it (see `scenario.parse`); ScenarioError where it makes no sense."""
    return parse(to_toml(scenario), name, sets)


def sparse(table: Struct) -> dict[str, Any]:
    """What of a table differs from its defaults, as TOML has it; a table with a kind names it first."""
    config = type(table).__struct_config__
    told: dict[str, Any] = {}
    if config.tag is not None:
        told[str(config.tag_field or "type")] = config.tag
    for one in fields(type(table)):
        value = getattr(table, one.name)
        default = one.default if one.default_factory is NODEFAULT else one.default_factory()
        if value != default:
            told[one.name] = _plain(value)
    return told


def _plain(value: Any) -> Any:
    if isinstance(value, Struct):
        return sparse(value)
    if isinstance(value, tuple | list):
        return [_plain(one) for one in value]
    if isinstance(value, dict):
        return {key: _plain(one) for key, one in value.items()}
    return value
