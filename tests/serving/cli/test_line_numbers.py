"""The line of a location in a text."""

from __future__ import annotations

import json
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.cli.line_numbers import json_lines, line_of, toml_lines

JSON_VALUES = st.recursive(
    st.none() | st.integers() | st.text(alphabet='ab"\\{}[],:\n é', max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(alphabet='xy"\\ ', max_size=3), inner, max_size=3)
    ),
    max_leaves=12,
)


def locations(value: Any, location: str = "") -> list[str]:
    """Return every location in a value, in the order of its text."""
    collected = [location]
    if isinstance(value, list):
        for number, item in enumerate(value):
            collected += locations(item, f"{location}[{number}]")
    elif isinstance(value, dict):
        for key, item in value.items():
            collected += locations(item, f"{location}.{key}" if location else key)
    return collected


def own_line(value: Any, number: int = 1) -> list[tuple[int, str]]:
    """Return the line and location of each value that `json.dumps(value, indent=1)` writes on a line."""
    return list(zip(range(number, number + 1000), _lines(value, ""), strict=False))


def _lines(value: Any, location: str) -> list[str]:
    inside: list[str] = []
    if isinstance(value, list):
        for number, item in enumerate(value):
            inside += _lines(item, f"{location}[{number}]")
    elif isinstance(value, dict):
        for key, item in value.items():
            inside += _lines(item, f"{location}.{key}" if location else key)
    return [location, *inside, ""] if inside else [location]


@given(JSON_VALUES)
def test_every_value_has_the_line_it_begins_at(value: Any) -> None:
    lines = json_lines(json.dumps(value, indent=1))
    assert set(lines) == set(locations(value))
    for number, location in own_line(value):
        if location and locations(value).count(location) == 1:
            assert lines[location] == number


def test_a_missing_location_has_the_line_of_the_value_around_it() -> None:
    lines = json_lines('{\n"Routes": [\n{"Name": "a"},\n{"Name": "b"}\n]}')
    assert line_of("Routes[1].Host", "is missing", lines) == 4
    assert line_of("Routes[1].Name", "is odd", lines) == 4
    assert line_of("Limits.IdleMs", "is missing", lines) == 1


def test_a_text_that_can_not_be_parsed_has_the_line_of_its_error() -> None:
    assert line_of("", "is not JSON: Expecting ',' delimiter: line 7 column 3 (char 90)", {}) == 7
    assert line_of("", "must be an object", {"": 1}) == 1


def test_malformed_json_has_lines_as_far_as_it_is_parsed() -> None:
    assert json_lines('{"a": [1,\n2') == {"": 1, "a": 1, "a[0]": 1, "a[1]": 2}
    assert json_lines("]]}},,:") == {}


def test_toml_keys_and_tables_have_lines() -> None:
    lines = toml_lines('A = 1\n# [No]\n[Zones]\n"a-b" = "x"\n c=2\nList = [\n "z",\n]\n')
    assert lines == {"A": 1, "Zones": 3, "Zones.a-b": 4, "Zones.c": 5, "Zones.List": 6}
    assert line_of("Zones.List[0]", "is odd", lines) == 6
