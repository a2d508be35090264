"""Finds the line of a location such as `Routes[3].DeadlineMs` in a JSON or TOML text. Pure.

The text may be malformed; locations are then found as far as the text can be parsed.
"""

from __future__ import annotations

import json
import re
from typing import Final

_JSON_TOKEN: Final = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\],]|[^\s{}\[\],:"]+')
_TOML_TABLE: Final = re.compile(r"\s*\[\s*([^\[\]]+?)\s*\]")
_TOML_KEY: Final = re.compile(r"\s*([A-Za-z0-9_-]+|\"[^\"]*\")\s*=")
_LAST_SEGMENT: Final = re.compile(r"(\[\d+\]|\.?[^.\[\]]+)\Z")
_ERROR_LINE: Final = re.compile(r"\bline (\d+)")


def line_of(location: str, message: str, lines: dict[str, int]) -> int:
    """Return the line of a finding; the first is 1.

    `lines`: line by location. If the location is missing, its innermost enclosing value is used. A finding
    without a location comes from a parser, whose message contains the line.
    """
    parser_line = _ERROR_LINE.search(message) if not location else None
    if parser_line is not None:
        return int(parser_line[1])
    while location:
        if location in lines:
            return lines[location]
        location = _LAST_SEGMENT.sub("", location)
    return 1


def json_lines(text: str) -> dict[str, int]:
    """Return the line of each value of a JSON text by location, as far as the text is valid JSON."""
    lines: dict[str, int] = {}
    open_containers: list[_Container] = []
    line = 1
    counted_to = 0  # offset up to which line breaks are counted
    for match in _JSON_TOKEN.finditer(text):
        line += text.count("\n", counted_to, match.start())
        counted_to = match.start()
        _read_token(match[0], line, open_containers, lines)
    return lines


def _read_token(token: str, line: int, open_containers: list[_Container], lines: dict[str, int]) -> None:
    """Process one token: the end or the next item of a container, a key, or the start of a value."""
    container = open_containers[-1] if open_containers else None
    if token in "}]":
        if container is not None:
            open_containers.pop()
        return
    if token == ",":
        if container is not None:
            container.next()
        return
    if container is not None and container.expects_key:
        container.read_key(token)
        lines.setdefault(container.location, line)
        return
    location = container.location if container is not None else ""
    lines.setdefault(location, line)
    if token in "{[":
        open_containers.append(_Container(location, is_array=token == "["))


class _Container:
    """An open object or array; `location` is the location of its present or next value."""

    def __init__(self, own_location: str, is_array: bool) -> None:
        self._own_location = own_location
        self._is_array = is_array
        self._index = 0
        self.location = f"{own_location}[0]" if is_array else own_location
        self.expects_key = not is_array

    def read_key(self, token: str) -> None:
        """Set the location of the next value from its key."""
        try:
            key = str(json.loads(token))
        except ValueError:
            key = token
        self.location = f"{self._own_location}.{key}" if self._own_location else key
        self.expects_key = False

    def next(self) -> None:
        """Advance to the next value, after a comma."""
        self._index += 1
        self.expects_key = not self._is_array
        if self._is_array:
            self.location = f"{self._own_location}[{self._index}]"


def toml_lines(text: str) -> dict[str, int]:
    """Return the line of each table and key of a TOML text by location.

    Keys are found at the start of a line only.
    """
    lines: dict[str, int] = {}
    table = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header = _TOML_TABLE.match(line)
        key = _TOML_KEY.match(line)
        if key is not None:
            name = key[1].strip('"')
            lines.setdefault(f"{table}.{name}" if table else name, number)
        elif header is not None:
            table = header[1].strip('"')
            lines.setdefault(table, number)
    return lines
