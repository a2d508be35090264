"""Decodes commands and encodes responses of the admin protocol, without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from coveport.sidecar.admin.errors import BadCommandError

MAX_LINE_BYTES = 64  # maximum length of a command's line; the longest command has 8 bytes


class Command(Enum):
    """The commands of the admin protocol."""

    PING = "PING"
    INFO = "INFO"
    LAMEDUCK = "LAMEDUCK"
    REJOIN = "REJOIN"


def read_command(buffer: bytes | bytearray, *, is_eof: bool = False) -> Command | None:
    """Return the command in the bytes received on a connection, or None until its line is complete.

    Raise BadCommandError if the bytes can't become a command. `is_eof`: the client has ended its stream.
    """
    line, line_feed, _ = bytes(buffer[: MAX_LINE_BYTES + 2]).partition(b"\n")
    if not line_feed:
        # The limit guards against a line that never ends, which would be buffered without a limit.
        if len(buffer) > MAX_LINE_BYTES:
            raise BadCommandError(f"a call has {MAX_LINE_BYTES} bytes at most")
        if is_eof:
            raise BadCommandError("half a line; a call ends with a line feed")
        return None
    try:
        return Command(line.removesuffix(b"\r").strip(b" ").decode("ascii"))
    except ValueError:
        known = " ".join(command.value for command in Command)
        raise BadCommandError(f"unknown call; known: {known}") from None


def write_ack(rows: Iterable[str] | None = None) -> bytes:
    """Return the acknowledgement of a command; `rows`: the command's report, which a line `--` ends."""
    lines = ["ACK"] if rows is None else ["ACK", *rows, "--"]
    return "".join(f"{line}\n" for line in lines).encode()


def write_nak(reason: str) -> bytes:
    """Return the rejection of a command, with the reason."""
    return f"NAK {reason}\n".encode()
