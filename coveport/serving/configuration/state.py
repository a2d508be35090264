"""The acknowledged state, and how commands change it: the same on the primary and on every backup."""

from __future__ import annotations

import hashlib
import struct
from dataclasses import dataclass, replace
from typing import Any, Final

from coveport.serving.configuration.commands import (
    Command,
    EndEvacuation,
    PatchConfiguration,
    PutConfiguration,
    StartEvacuation,
    decode_command,
    encode_command,
)
from coveport.serving.configuration.document import Document, apply_route_changes
from coveport.serving.configuration.json_text import read_object
from coveport.serving.configuration.patch import apply_patch
from coveport.serving.configuration.reader import read_document, render_document, validate_document
from coveport.serving.model.findings import Finding, Refusal
from coveport.serving.replication.outcomes import Applied, Refused
from coveport.serving.wire.codec import MessageCodec
from coveport.serving.wire.errors import MalformedMessageError
from coveport.serving.wire.names import Config

__all__ = [
    "Applied",
    "AppliedChange",
    "ChangeResult",
    "ControlState",
    "EndEvacuation",
    "PatchConfiguration",
    "PutConfiguration",
    "Refused",
    "StartEvacuation",
    "apply",
    "apply_command",
    "decode_state",
    "encode_command",
    "encode_state",
    "initial_state",
]

MAX_APPLIED_CHANGES: Final = 512  # changes that are known again when they are sent again
_DIGEST_BYTES: Final = 16
_TAKEN: Final = struct.Struct(f">Q{_DIGEST_BYTES}s")
_SEALED: Final = b"\xd1"  # begins a state with its digest; without one it begins with the codec's number, 0

OK: Final = 200
INVALID: Final = 400
STALE: Final = 412
UNCLEAR: Final = 503


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """A change of the configuration that has been taken."""

    edition: int
    digest: bytes  # of its method, the edition it was built on, and its body


@dataclass(frozen=True, slots=True)
class ControlState:
    """What the operator has been promised is kept."""

    configuration_text: bytes | None = (
        None  # JSON of the newest whole configuration, exactly as it is handed out
    )
    edition: int = 0  # of that configuration; 0: there is none
    evacuated_zones: frozenset[str] = frozenset()  # zones
    applied_changes: tuple[AppliedChange, ...] = ()  # the newest `MAX_APPLIED_CHANGES`, oldest first


@dataclass(frozen=True, slots=True)
class ChangeResult:
    """What the caller of a command is told."""

    status: int  # an HTTP status
    edition: int  # in force after the command
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class _StoredState:
    """The state as it is written: changes taken in one piece, since they are many and small."""

    configuration_text: bytes | None
    edition: int
    evacuated_zones: tuple[str, ...]
    applied_changes: bytes


_CODEC: Final[MessageCodec[_StoredState]] = MessageCodec((_StoredState,))


def initial_state() -> ControlState:
    """No configuration, no evacuation."""
    return ControlState()


def encode_state(state: ControlState) -> bytes:
    """A state as bytes, with their digest; equal states give equal bytes."""
    taken = b"".join(_TAKEN.pack(change.edition, change.digest) for change in state.applied_changes)
    stored = _CODEC.encode(
        _StoredState(state.configuration_text, state.edition, tuple(sorted(state.evacuated_zones)), taken)
    )
    return _SEALED + _digest_of(stored) + stored


def decode_state(data: bytes) -> ControlState:
    """The state in the bytes; MalformedMessageError where they hold none, or not what was encoded.

    States without a digest were written by programs of before.
    """
    stored = _CODEC.decode(_unsealed(data) if data.startswith(_SEALED) else data)
    if len(stored.applied_changes) % _TAKEN.size:
        raise MalformedMessageError("changes taken are cut short")
    taken = tuple(AppliedChange(*one) for one in _TAKEN.iter_unpack(stored.applied_changes))
    return ControlState(stored.configuration_text, stored.edition, frozenset(stored.evacuated_zones), taken)


def _digest_of(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=_DIGEST_BYTES).digest()


def _unsealed(data: bytes) -> bytes:
    begin = len(_SEALED) + _DIGEST_BYTES
    stored = data[begin:]
    if _digest_of(stored) != data[len(_SEALED) : begin]:
        raise MalformedMessageError("a state whose digest differs")
    return stored


def apply(state: ControlState, command: bytes) -> Applied | Refused:
    """The state after a command, and what its caller is told."""
    return apply_command(state, decode_command(command))


def apply_command(state: ControlState, command: Command) -> Applied | Refused:
    """As `apply`, of a command that has been decoded."""
    match command:
        case StartEvacuation(zone):
            return _applied(replace(state, evacuated_zones=state.evacuated_zones | {zone}))
        case EndEvacuation(zone):
            return _applied(replace(state, evacuated_zones=state.evacuated_zones - {zone}))
        case PutConfiguration() | PatchConfiguration():
            return _change_configuration(state, command)


def _applied(state: ControlState) -> Applied:
    return Applied(state, ChangeResult(OK, state.edition))


def _change_configuration(
    state: ControlState, command: PutConfiguration | PatchConfiguration
) -> Applied | Refused:
    digest = _digest(command)
    if any(change.digest == digest for change in state.applied_changes):
        return _applied(state)
    if command.if_match is None:
        return _refused(state, INVALID, Finding("If-Match", "is missing; 0 is the first"))
    if _may_have_been_forgotten(state, command.if_match):
        age = f"over {MAX_APPLIED_CHANGES} changes ago"
        message = f"{command.if_match} was in force {age}: this may have been taken"
        return _refused(state, UNCLEAR, Finding("If-Match", message))
    if command.if_match != state.edition:
        return _refused(state, STALE, Finding("If-Match", f"the current edition is {state.edition}"))
    made = _put(command) if isinstance(command, PutConfiguration) else _patch(state, command)
    if isinstance(made, Refusal):
        return _refused(state, INVALID, *made.findings)
    edition = made.configuration.edition
    if edition <= state.edition:
        message = f"must be above the current one, which is {state.edition}"
        return _refused(state, INVALID, Finding(Config.EDITION, message))
    taken = (*state.applied_changes, AppliedChange(edition, digest))[-MAX_APPLIED_CHANGES:]
    return _applied(replace(state, configuration_text=render_document(made), edition=edition, taken=taken))


def _may_have_been_forgotten(state: ControlState, if_match: int) -> bool:
    """Whether a change that builds on this edition may have been taken so long ago that nobody knows.

    One that was taken must not be refused when it is sent again, so it gets no clear answer.
    """
    return len(state.applied_changes) == MAX_APPLIED_CHANGES and if_match < state.applied_changes[0].edition


def _refused(state: ControlState, status: int, *findings: Finding) -> Refused:
    return Refused(ChangeResult(status, state.edition, findings))


def _digest(command: PutConfiguration | PatchConfiguration) -> bytes:
    """Tells one change from another: two with the same digest are the same change, sent again."""
    method = b"PUT" if isinstance(command, PutConfiguration) else b"PATCH"
    head = b"%s %s " % (method, str(command.if_match).encode())
    return _digest_of(head + command.body)


def _put(command: PutConfiguration) -> Document | Refusal:
    data = read_object(command.body)
    return data if isinstance(data, Refusal) else validate_document(data)


def _patch(state: ControlState, command: PatchConfiguration) -> Document | Refusal:
    change = read_object(command.body)
    if isinstance(change, Refusal):
        return change
    return _change_routes(state, change) or _change_whole(state, change)


def _change_routes(state: ControlState, change: dict[str, Any]) -> Document | None:
    """What a change of routes alone makes; None: it is another, or maybe at fault."""
    if state.configuration_text is None:
        return None
    document = read_document(state.configuration_text)
    return None if isinstance(document, Refusal) else apply_route_changes(document, change)


def _change_whole(state: ControlState, change: dict[str, Any]) -> Document | Refusal:
    current = read_object(state.configuration_text or b"{}")
    assert not isinstance(current, Refusal)  # the text of a document
    patched = apply_patch(current, change)
    return patched if isinstance(patched, Refusal) else validate_document(patched)
