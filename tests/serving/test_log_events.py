"""docs/operators/log-events.md names every event that is logged, with its level and keys, and no other."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
SYSTEM = ROOT / "coveport" / "serving"
PAGE = (ROOT / "docs" / "operators" / "log-events.md").read_text()
LEVELS = {"debug", "info", "warning", "error", "critical"}
# Calls that pass a map as keyword arguments; the page lists the keys of both maps in tables.
VIEW_KEYS, METRICS_KEYS = "**view", "**self.data_path.metrics()"


@dataclass(frozen=True, slots=True, order=True)
class Event:
    """A log event with its level and keys."""

    name: str
    level: str
    keys: tuple[str, ...]


def calls(source: Path) -> Iterator[ast.Call]:
    """Return every call in a file."""
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.Call):
            yield node


def events_in(source: Path) -> Iterator[Event]:
    """Return the events that a file logs; the test fails if a name is not a literal."""
    for call in calls(source):
        function = call.func
        if not isinstance(function, ast.Attribute) or function.attr not in LEVELS:
            continue
        if not re.search(r"(^|[._])log$", ast.unparse(function.value)):
            continue
        assert len(call.args) == 1, ast.unparse(call)
        name = call.args[0]
        assert isinstance(name, ast.Constant) and isinstance(name.value, str), ast.unparse(call)
        keys = (keyword.arg or f"**{ast.unparse(keyword.value)}" for keyword in call.keywords)
        yield Event(name.value, function.attr, tuple(keys))


def logged_events() -> set[Event]:
    """Return all events that the serving system logs."""
    return {event for source in sorted(SYSTEM.rglob("*.py")) for event in events_in(source)}


def documented_events() -> set[Event]:
    """Return the events that the page lists."""
    rows = re.findall(r"^\| `(\w+)` \| (\w+) \| [\w, ]+ \|([^|]*)\| [^|]+ \|$", PAGE, re.MULTILINE)
    return {Event(name, level, tuple(re.findall(r"`([^`]+)`", keys))) for name, level, keys in rows}


def string_literals(expression: ast.AST) -> set[str]:
    """Return the string literals in an expression."""
    return {
        node.value
        for node in ast.walk(expression)
        if isinstance(node, ast.Constant) and isinstance(node.value, str)
    }


def keys_returned_by(source: Path, function: str) -> set[str]:
    """Return the literal keys of the maps in a function."""
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.FunctionDef) and node.name == function:
            maps = [child for child in ast.walk(node) if isinstance(child, ast.Dict)]
            return {
                text
                for mapping in maps
                for key in mapping.keys
                if key is not None
                for text in string_literals(key)
            }
    raise AssertionError(f"no {function} in {source}")


def counter_names() -> set[str]:
    """Return the names of all counters of a proxy."""
    names: set[str] = set()
    for source in (SYSTEM / "proxy").glob("*.py"):
        for call in calls(source):
            if re.search(r"(^|[._])counters\.add$", ast.unparse(call.func)):
                names |= string_literals(call.args[0])
    return names


def first_column(heading: str) -> set[str]:
    """Return the first column of the table under a heading."""
    section = PAGE.partition(f"\n## {heading}\n")[2].partition("\n## ")[0]
    return set(re.findall(r"^\| `([^`]+)` \|", section, re.MULTILINE))


def test_the_page_has_every_logged_event() -> None:
    assert len(logged_events()) > 10
    assert sorted(documented_events()) == sorted(logged_events())


def test_the_page_has_the_keys_of_a_view_change() -> None:
    keys = keys_returned_by(SYSTEM / "replication" / "replica.py", "describe")
    assert len(keys) > 5
    assert first_column("The keys of `view_changed`") == keys


def test_the_page_has_every_key_of_the_proxy_metrics() -> None:
    assert len(counter_names()) > 10
    keys = counter_names() | keys_returned_by(SYSTEM / "proxy" / "data_path.py", "metrics")
    assert first_column("The keys of `proxy_metrics`") == keys


def documented_renames(kind: str) -> dict[str, str]:
    """Return the new names of events or keys by their old ones, as the page lists them."""
    rows = re.findall(r"^\| `(\w+)` \| `(\w+)` \| (\w+) \|", PAGE, re.MULTILINE)
    return {old: new for old, new, row_kind in rows if row_kind == kind}


def test_renamed_events_are_logged_under_their_new_names_only() -> None:
    names = {event.name for event in logged_events()}
    new_names = documented_renames("event")
    assert len(new_names) > 10
    assert set(new_names.values()) <= names
    assert not new_names.keys() & names


def test_no_event_has_a_key_under_its_old_name() -> None:
    keys = {key for event in logged_events() for key in event.keys}
    old_keys = documented_renames("key").keys()
    assert len(old_keys) > 1
    assert not old_keys & keys


def test_maps_are_passed_as_keys_only_where_the_page_has_their_tables() -> None:
    map_arguments = {key for event in logged_events() for key in event.keys if key.startswith("**")}
    assert map_arguments == {VIEW_KEYS, METRICS_KEYS}


@pytest.mark.parametrize(
    ("line", "event"),
    [
        ('self._log.info("a_b", node=1)', Event("a_b", "info", ("node",))),
        ('log.error("c", **view)', Event("c", "error", ("**view",))),
    ],
)
def test_the_search_finds_events(line: str, event: Event, tmp_path: Path) -> None:
    source = tmp_path / "some.py"
    source.write_text(f"def some():\n    {line}\n")
    assert list(events_in(source)) == [event]
