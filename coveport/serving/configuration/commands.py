"""Commands that change the acknowledged state, and their encoding on the wire and on disk."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from coveport.serving.duties.commands import (
    AcquireDuties,
    FixUsageReports,
    RecordFleetOrders,
    SingletonCommand,
)
from coveport.serving.wire.codec import MessageCodec


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """Replace the whole configuration."""

    if_match: int | None  # edition that the change is based on; None: the caller gave no edition
    body: bytes  # JSON


@dataclass(frozen=True, slots=True)
class PatchConfiguration:
    """Change named items of the configuration."""

    if_match: int | None  # same as in PutConfiguration
    body: bytes  # JSON


@dataclass(frozen=True, slots=True)
class StartEvacuation:
    """Send no more requests to a zone's nodes."""

    zone: str


@dataclass(frozen=True, slots=True)
class EndEvacuation:
    """Use a zone's nodes again."""

    zone: str


Command = PutConfiguration | PatchConfiguration | StartEvacuation | EndEvacuation | SingletonCommand

_CONFIGURATION_COMMANDS: Final = (PutConfiguration, PatchConfiguration, StartEvacuation, EndEvacuation)
_SINGLETON_COMMANDS: Final = (AcquireDuties, FixUsageReports, RecordFleetOrders)  # new in protocol version 5

# The position of a command in this order is the command's number on the wire and on disk.
_CODEC: Final[MessageCodec[Command]] = MessageCodec((*_CONFIGURATION_COMMANDS, *_SINGLETON_COMMANDS))


def is_singleton_command(data: bytes) -> bool:
    """Return whether an encoded command changes only singleton state, which proxies don't need."""
    return data[0] >= len(_CONFIGURATION_COMMANDS)


def encode_command(command: Command) -> bytes:
    """Return a command as bytes."""
    return _CODEC.encode(command)


def decode_command(data: bytes) -> Command:
    """Return the command encoded in the bytes. Raises MalformedMessageError if the bytes hold no command."""
    return _CODEC.decode(data)
