"""Commands that change the acknowledged state, and their bytes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from coveport.serving.wire.codec import MessageCodec


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """Replace the configuration by a whole one."""

    if_match: int | None  # the edition it builds on; None: the caller gave none
    body: bytes


@dataclass(frozen=True, slots=True)
class PatchConfiguration:
    """Alter named items of the configuration."""

    if_match: int | None
    body: bytes


@dataclass(frozen=True, slots=True)
class StartEvacuation:
    """Nothing more is to be sent to a zone's nodes."""

    zone: str


@dataclass(frozen=True, slots=True)
class EndEvacuation:
    """A zone's nodes may be used again."""

    zone: str


Command = PutConfiguration | PatchConfiguration | StartEvacuation | EndEvacuation

_CODEC: Final[MessageCodec[Command]] = MessageCodec(
    (PutConfiguration, PatchConfiguration, StartEvacuation, EndEvacuation)
)


def encode_command(command: Command) -> bytes:
    """A command as bytes."""
    return _CODEC.encode(command)


def decode_command(data: bytes) -> Command:
    """The command in the bytes; MalformedMessageError where they hold none."""
    return _CODEC.decode(data)
