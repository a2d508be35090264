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
# Calls that spread a map into keys, and which keys those are.
CORE, METRICS = "**view", "**self.data_path.metrics()"


@dataclass(frozen=True, slots=True, order=True)
class Event:
    """As it is logged."""

    name: str
    level: str
    keys: tuple[str, ...]


def calls(source: Path) -> Iterator[ast.Call]:
    """Every call in a file."""
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.Call):
            yield node


def logged_in(source: Path) -> Iterator[Event]:
    """What a file logs; a name that is no plain text fails."""
    for call in calls(source):
        function = call.func
        if not isinstance(function, ast.Attribute) or function.attr not in LEVELS:
            continue
        if not re.search(r"(^|[._])log$", ast.unparse(function.value)):
            continue
        assert len(call.args) == 1, ast.unparse(call)
        name = call.args[0]
        assert isinstance(name, ast.Constant) and isinstance(name.value, str), ast.unparse(call)
        keys = (one.arg or f"**{ast.unparse(one.value)}" for one in call.keywords)
        yield Event(name.value, function.attr, tuple(keys))


def logged() -> set[Event]:
    """What all of the system logs."""
    return {event for source in sorted(SYSTEM.rglob("*.py")) for event in logged_in(source)}


def told() -> set[Event]:
    """What the page says."""
    rows = re.findall(r"^\| `(\w+)` \| (\w+) \| [\w, ]+ \|([^|]*)\| [^|]+ \|$", PAGE, re.MULTILINE)
    return {Event(name, level, tuple(re.findall(r"`([^`]+)`", keys))) for name, level, keys in rows}


def texts(node: ast.AST) -> set[str]:
    """Plain texts within an expression."""
    return {
        one.value for one in ast.walk(node) if isinstance(one, ast.Constant) and isinstance(one.value, str)
    }


def keys_returned_by(source: Path, function: str) -> set[str]:
    """The plain keys of the map that a function returns."""
    for node in ast.walk(ast.parse(source.read_text())):
        if isinstance(node, ast.FunctionDef) and node.name == function:
            maps = [one for one in ast.walk(node) if isinstance(one, ast.Dict)]
            return {text for one in maps for key in one.keys if key is not None for text in texts(key)}
    raise AssertionError(f"no {function} in {source}")


def counted() -> set[str]:
    """Names of all that a proxy counts."""
    found: set[str] = set()
    for source in (SYSTEM / "proxy").glob("*.py"):
        for call in calls(source):
            if re.search(r"(^|[._])counters\.add$", ast.unparse(call.func)):
                found |= texts(call.args[0])
    return found


def table(heading: str) -> set[str]:
    """The first column of the table under a heading."""
    after = PAGE.partition(f"\n## {heading}\n")[2].partition("\n## ")[0]
    return set(re.findall(r"^\| `([^`]+)` \|", after, re.MULTILINE))


def test_the_page_has_what_is_logged() -> None:
    assert len(logged()) > 10
    assert sorted(told()) == sorted(logged())


def test_the_page_has_the_keys_of_a_view_change() -> None:
    keys = keys_returned_by(SYSTEM / "replication" / "replica.py", "describe")
    assert len(keys) > 5
    assert table("The keys of `view_changed`") == keys


def test_the_page_has_what_a_proxy_counts() -> None:
    assert len(counted()) > 10
    keys = counted() | keys_returned_by(SYSTEM / "proxy" / "data_path.py", "metrics")
    assert table("The keys of `proxy_metrics`") == keys


def renamed(kind: str) -> dict[str, str]:
    """New names of events or keys by their old ones, as the page has them."""
    rows = re.findall(r"^\| `(\w+)` \| `(\w+)` \| (\w+) \|", PAGE, re.MULTILINE)
    return {old: new for old, new, row_kind in rows if row_kind == kind}


def test_the_page_has_the_old_names_of_events_that_are_logged() -> None:
    names = {event.name for event in logged()}
    events = renamed("event")
    assert len(events) > 10
    assert set(events.values()) <= names
    assert not events.keys() & names


def test_no_event_has_a_key_under_its_old_name() -> None:
    keys = {key for event in logged() for key in event.keys}
    old_keys = renamed("key").keys()
    assert len(old_keys) > 1
    assert not old_keys & keys


def test_maps_are_spread_into_keys_only_where_the_page_tells_them() -> None:
    spread = {key for event in logged() for key in event.keys if key.startswith("**")}
    assert spread == {CORE, METRICS}


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
    assert list(logged_in(source)) == [event]
