"""Ids of a wish's tries: 16 hex digits, the last two of which number the try. Pure."""

from __future__ import annotations

_STEM = 14  # digits that all tries of one wish share


def try_id(op: str, n: int) -> str:
    """The id of try `n` (0..255; 0 is the first) of the wish whose try is `op`; ValueError beyond that."""
    if not 0 <= n <= 255:
        raise ValueError(f"try {n} has no id")
    return f"{op[:_STEM]}{n:02x}"


def first_id(op: str) -> str:
    """The id of the first try of the wish whose try is `op`."""
    return f"{op[:_STEM]}00"


def try_number(op: str) -> int:
    """Which try of its wish `op` is, from 0; ValueError where it is no such id."""
    return int(op[_STEM:], 16)
