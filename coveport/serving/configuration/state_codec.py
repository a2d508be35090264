"""Encodes the acknowledged state for the coordinators' disks and for proxies, with a digest in front."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import Final

from coveport.serving.configuration.digest import DIGEST_BYTES, digest_of
from coveport.serving.configuration.duty_state_codec import decode_singleton_state, encode_singleton_state
from coveport.serving.configuration.state import AppliedChange, ControlState
from coveport.serving.wire.codec import MessageCodec
from coveport.serving.wire.errors import MalformedMessageError
from coveport.serving.wire.versions import added_in

_APPLIED_CHANGE: Final = struct.Struct(f">Q{DIGEST_BYTES}s")  # edition, digest
# First byte of a state with a digest. A state without a digest begins with the number of its class, 0.
_DIGEST_MARKER: Final = b"\xd1"


@dataclass(frozen=True, slots=True)
class _StoredState:
    """The state as stored. The applied changes, which are many and small, are stored as one byte string."""

    configuration_text: bytes | None
    edition: int
    evacuated_zones: tuple[str, ...]
    applied_changes: bytes


@dataclass(frozen=True, slots=True)
class _StoredStateWithSingletons:
    """The stored state with the singleton tasks' state at the end, which programs before version 5 ignore."""

    configuration_text: bytes | None
    edition: int
    evacuated_zones: tuple[str, ...]
    applied_changes: bytes
    singleton_state: bytes = added_in(5, b"")


# Both classes have the same number in their codec. A state without singleton tasks is written as before
# version 5, and can be read by both codecs.
_CODEC: Final[MessageCodec[_StoredState]] = MessageCodec((_StoredState,))
_CODEC_WITH_SINGLETONS: Final[MessageCodec[_StoredStateWithSingletons]] = MessageCodec(
    (_StoredStateWithSingletons,)
)


def encode_state(state: ControlState) -> bytes:
    """Return a state as bytes with a digest; equal states give equal bytes."""
    changes = b"".join(
        _APPLIED_CHANGE.pack(change.edition, change.digest) for change in state.applied_changes
    )
    zones = tuple(sorted(state.evacuated_zones))
    fields = (state.configuration_text, state.edition, zones, changes)
    singleton_state = encode_singleton_state(state.singleton_state)
    stored = (
        _CODEC_WITH_SINGLETONS.encode(_StoredStateWithSingletons(*fields, singleton_state))
        if singleton_state
        else _CODEC.encode(_StoredState(*fields))
    )
    return _DIGEST_MARKER + digest_of(stored) + stored


def decode_state(data: bytes) -> ControlState:
    """Return the state encoded in the bytes, with a digest or, from older programs, without one.

    Raises MalformedMessageError where the bytes hold no state, or the digest does not match.
    """
    stored = _CODEC_WITH_SINGLETONS.decode(_verified(data) if data.startswith(_DIGEST_MARKER) else data)
    length = len(stored.applied_changes)
    if length % _APPLIED_CHANGE.size:
        raise MalformedMessageError(
            f"applied changes are truncated: {length} bytes, expected a multiple of {_APPLIED_CHANGE.size}"
        )
    changes = (
        AppliedChange(edition, digest)
        for edition, digest in _APPLIED_CHANGE.iter_unpack(stored.applied_changes)
    )
    return ControlState(
        stored.configuration_text,
        stored.edition,
        frozenset(stored.evacuated_zones),
        tuple(changes),
        decode_singleton_state(stored.singleton_state),
    )


def _verified(data: bytes) -> bytes:
    """Return the encoded state after the digest. Raises MalformedMessageError if the digest doesn't match."""
    start = len(_DIGEST_MARKER) + DIGEST_BYTES
    expected = data[len(_DIGEST_MARKER) : start]
    stored = data[start:]
    actual = digest_of(stored)
    if actual != expected:
        raise MalformedMessageError(f"digest of a state: expected {expected.hex()}, got {actual.hex()}")
    return stored
