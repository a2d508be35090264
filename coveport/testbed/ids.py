"""The ids of operations: one wish, a fresh id for each of its tries. Pure."""

from __future__ import annotations

from typing import Final

MOST_TRIES: Final = 256
"""Tries a wish can have: what two hex digits can number."""

_LENGTH = 16
_HEX = frozenset("0123456789abcdef")


def try_id(first: str, number: int) -> str:
    """The id of try `number` (0: the first one) of the wish whose first try is `first`.

    `first` has 16 hex digits in lower case, the last two of them `00`; ValueError where `number` needs more
    than two hex digits.
    """
    if not 0 <= number < MOST_TRIES:
        raise ValueError(f"no id for try {number}")
    return f"{first[:-2]}{number:02x}"


def first_id(op: str) -> str:
    """The id of the first try of the wish that `op` is a try of."""
    return op[:-2] + "00"


def try_number(op: str) -> int:
    """Which try `op` is, 0 for the first; -1 where it is no id that `try_id` makes."""
    if len(op) != _LENGTH or not _HEX.issuperset(op):
        return -1
    return int(op[-2:], 16)
