"""The console's lines as bytes: what a caller asks, what it is answered. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

MOST_LINE = 64  # bytes; the longest call has eight


class Call(Enum):
    """What staff may ask."""

    PING = "PING"
    INFO = "INFO"
    LAMEDUCK = "LAMEDUCK"
    REJOIN = "REJOIN"


class BadCallError(Exception):
    """What came is no call; its text is the reason that the caller is told."""


def read_call(held: bytes | bytearray, ended: bool = False) -> Call | None:
    """The call that a connection's bytes make; None until its line is whole, BadCallError where it is none.

    `ended`: nothing more will come.
    """
    line, end, _ = bytes(held[: MOST_LINE + 2]).partition(b"\n")
    if not end:
        # Guards against a line without an end, which would be held for ever.
        if len(held) > MOST_LINE:
            raise BadCallError(f"a call has {MOST_LINE} bytes at most")
        if ended:
            raise BadCallError("half a line; a call ends with a line feed")
        return None
    try:
        return Call(line.removesuffix(b"\r").strip(b" ").decode("ascii"))
    except ValueError:
        raise BadCallError(f"unknown call; known: {' '.join(one.value for one in Call)}") from None


def write_yes(rows: Iterable[str] | None = None) -> bytes:
    """The answer to a call that was done; `rows`: what it tells, closed by a line `--`."""
    lines = ["ACK"] if rows is None else ["ACK", *rows, "--"]
    return "".join(f"{line}\n" for line in lines).encode()


def write_no(reason: str) -> bytes:
    """The answer to a call that was not done, and why."""
    return f"NAK {reason}\n".encode()
