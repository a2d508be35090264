"""The line of a place in a text."""

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


def places(value: Any, place: str = "") -> list[str]:
    """Every place of a value, in the order of its text."""
    found = [place]
    if isinstance(value, list):
        for number, item in enumerate(value):
            found += places(item, f"{place}[{number}]")
    elif isinstance(value, dict):
        for key, item in value.items():
            found += places(item, f"{place}.{key}" if place else key)
    return found


def own_line(value: Any, number: int = 1) -> list[tuple[int, str]]:
    """The line and place of everything that `json.dumps(value, indent=1)` writes on a line of its own."""
    return list(zip(range(number, number + 1000), _lines(value, ""), strict=False))


def _lines(value: Any, place: str) -> list[str]:
    inside: list[str] = []
    if isinstance(value, list):
        for number, item in enumerate(value):
            inside += _lines(item, f"{place}[{number}]")
    elif isinstance(value, dict):
        for key, item in value.items():
            inside += _lines(item, f"{place}.{key}" if place else key)
    return [place, *inside, ""] if inside else [place]


@given(JSON_VALUES)
def test_every_value_has_the_line_it_begins_at(value: Any) -> None:
    lines = json_lines(json.dumps(value, indent=1))
    assert set(lines) == set(places(value))
    for number, place in own_line(value):
        if place and places(value).count(place) == 1:
            assert lines[place] == number


def test_what_is_missing_has_the_line_of_what_is_around() -> None:
    lines = json_lines('{\n"Routes": [\n{"Name": "a"},\n{"Name": "b"}\n]}')
    assert line_of("Routes[1].Host", "is missing", lines) == 4
    assert line_of("Routes[1].Name", "is odd", lines) == 4
    assert line_of("Limits.IdleMs", "is missing", lines) == 1


def test_a_text_that_can_not_be_read_has_the_line_of_its_error() -> None:
    assert line_of("", "is not JSON: Expecting ',' delimiter: line 7 column 3 (char 90)", {}) == 7
    assert line_of("", "must be an object", {"": 1}) == 1


def test_texts_that_are_no_json_have_some_lines() -> None:
    assert json_lines('{"a": [1,\n2') == {"": 1, "a": 1, "a[0]": 1, "a[1]": 2}
    assert json_lines("]]}},,:") == {}


def test_toml_keys_and_tables_have_lines() -> None:
    lines = toml_lines('A = 1\n# [No]\n[Zones]\n"a-b" = "x"\n c=2\nList = [\n "z",\n]\n')
    assert lines == {"A": 1, "Zones": 3, "Zones.a-b": 4, "Zones.c": 5, "Zones.List": 6}
    assert line_of("Zones.List[0]", "is odd", lines) == 6
