"""Finds the line of a place such as `Routes[3].DeadlineMs` in a JSON or TOML text. Pure."""

from __future__ import annotations

import json
import re
from typing import Final

_JSON_TOKEN: Final = re.compile(r'"(?:[^"\\]|\\.)*"|[{}\[\],]|[^\s{}\[\],:"]+')
_TOML_TABLE: Final = re.compile(r"\s*\[\s*([^\[\]]+?)\s*\]")
_TOML_KEY: Final = re.compile(r"\s*([A-Za-z0-9_-]+|\"[^\"]*\")\s*=")
_LAST_STEP: Final = re.compile(r"(\[\d+\]|\.?[^.\[\]]+)\Z")
_ERROR_LINE: Final = re.compile(r"\bline (\d+)")


def line_of(place: str, message: str, lines: dict[str, int]) -> int:
    """The line of a place, or of the nearest around it that the text has; the first is 1."""
    said = _ERROR_LINE.search(message) if not place else None
    if said is not None:
        return int(said[1])
    while place:
        if place in lines:
            return lines[place]
        place = _LAST_STEP.sub("", place)
    return 1


def json_lines(text: str) -> dict[str, int]:
    """The line of each value of a JSON text, by place; as far as it is JSON."""
    lines: dict[str, int] = {}
    inside: list[_Container] = []
    line, end = 1, 0
    for token in _JSON_TOKEN.finditer(text):
        line += text.count("\n", end, token.start())
        end = token.start()
        word = token[0]
        if word in "}]":
            if inside:
                inside.pop()
            continue
        if word == ",":
            if inside:
                inside[-1].next()
            continue
        if inside and inside[-1].wants_key:
            inside[-1].take_key(word)
            lines.setdefault(inside[-1].place, line)
            continue
        place = inside[-1].place if inside else ""
        lines.setdefault(place, line)
        if word in "{[":
            inside.append(_Container(place, is_list=word == "["))
    return lines


class _Container:
    """An object or list that is being read; `place` is that of its present value."""

    def __init__(self, around: str, is_list: bool) -> None:
        self._around = around
        self._is_list = is_list
        self._number = 0
        self.place = f"{around}[0]" if is_list else around
        self.wants_key = not is_list

    def take_key(self, word: str) -> None:
        """The name of the value that follows."""
        try:
            key = str(json.loads(word))
        except ValueError:
            key = word
        self.place = f"{self._around}.{key}" if self._around else key
        self.wants_key = False

    def next(self) -> None:
        """A value is over."""
        self._number += 1
        self.wants_key = not self._is_list
        if self._is_list:
            self.place = f"{self._around}[{self._number}]"


def toml_lines(text: str) -> dict[str, int]:
    """The line of each table and key of a TOML text, by place. Keys stand at the start of their line."""
    lines: dict[str, int] = {}
    table = ""
    for number, line in enumerate(text.splitlines(), start=1):
        header, key = _TOML_TABLE.match(line), _TOML_KEY.match(line)
        if key is not None:
            name = key[1].strip('"')
            lines.setdefault(f"{table}.{name}" if table else name, number)
        elif header is not None:
            table = header[1].strip('"')
            lines.setdefault(table, number)
    return lines
