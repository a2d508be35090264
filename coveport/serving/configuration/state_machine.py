"""Applies commands to the acknowledged state: deterministic, so the primary and every backup agree."""

from __future__ import annotations

from dataclasses import replace
from typing import Final

from coveport.serving.configuration.commands import (
    Command,
    EndEvacuation,
    PatchConfiguration,
    PutConfiguration,
    StartEvacuation,
    decode_command,
)
from coveport.serving.configuration.digest import digest_of
from coveport.serving.configuration.document import Document
from coveport.serving.configuration.json_text import JsonObject, read_object
from coveport.serving.configuration.patch import apply_patch
from coveport.serving.configuration.reader import read_document, render_document, validate_document
from coveport.serving.configuration.route_changes import apply_route_changes
from coveport.serving.configuration.state import (
    MAX_APPLIED_CHANGES,
    AppliedChange,
    ChangeResult,
    ControlState,
)
from coveport.serving.duties.commands import (
    AcquireDuties,
    FixUsageReports,
    RecordFleetOrders,
    SingletonCommand,
)
from coveport.serving.duties.state_machine import CommandRefusal, apply_singleton_command
from coveport.serving.model.findings import Finding, Refusal
from coveport.serving.replication.state_machine import Applied, Refused
from coveport.serving.wire.names import Config

STATUS_OK: Final = 200
STATUS_BAD_REQUEST: Final = 400
STATUS_PRECONDITION_FAILED: Final = 412
STATUS_SERVICE_UNAVAILABLE: Final = 503

ConfigurationCommand = PutConfiguration | PatchConfiguration


def apply(state: ControlState, command: bytes) -> Applied | Refused:
    """Return the state after an encoded command and the answer to the caller, or the refusal.

    Raises MalformedMessageError where the bytes hold no command.
    """
    return apply_command(state, decode_command(command))


def apply_command(state: ControlState, command: Command) -> Applied | Refused:
    """Apply a decoded command; see `apply`."""
    match command:
        case StartEvacuation(zone):
            return _applied(replace(state, evacuated_zones=state.evacuated_zones | {zone}))
        case EndEvacuation(zone):
            return _applied(replace(state, evacuated_zones=state.evacuated_zones - {zone}))
        case PutConfiguration() | PatchConfiguration():
            return _change_configuration(state, command)
        case AcquireDuties() | FixUsageReports() | RecordFleetOrders():
            return _change_singleton_state(state, command)


def _change_singleton_state(state: ControlState, command: SingletonCommand) -> Applied | Refused:
    singleton_state = apply_singleton_command(state.singleton_state, command)
    if isinstance(singleton_state, CommandRefusal):
        return Refused(singleton_state)
    return _applied(replace(state, singleton_state=singleton_state))


def _applied(state: ControlState) -> Applied:
    return Applied(state, ChangeResult(STATUS_OK, state.edition))


def _change_configuration(state: ControlState, command: ConfigurationCommand) -> Applied | Refused:
    digest = _digest_of_change(command)
    if any(change.digest == digest for change in state.applied_changes):
        return _applied(state)
    failed_precondition = _check_if_match(state, command.if_match)
    if failed_precondition is not None:
        return failed_precondition
    document = _put(command) if isinstance(command, PutConfiguration) else _patch(state, command)
    if isinstance(document, Refusal):
        return _refused(state, STATUS_BAD_REQUEST, *document.findings)
    edition = document.configuration.edition
    if edition <= state.edition:
        message = f"must be above the current one, which is {state.edition}"
        return _refused(state, STATUS_BAD_REQUEST, Finding(Config.EDITION, message))
    changes = (*state.applied_changes, AppliedChange(edition, digest))[-MAX_APPLIED_CHANGES:]
    text = render_document(document)
    return _applied(replace(state, configuration_text=text, edition=edition, applied_changes=changes))


def _check_if_match(state: ControlState, if_match: int | None) -> Refused | None:
    """Return a refusal where `if_match` does not allow the change in this state; else None."""
    if if_match is None:
        return _refused(state, STATUS_BAD_REQUEST, Finding("If-Match", "is missing; 0 is the first"))
    if _may_have_been_applied(state, if_match):
        age = f"over {MAX_APPLIED_CHANGES} changes ago"
        message = f"{if_match} was in force {age}: this may have been taken"
        return _refused(state, STATUS_SERVICE_UNAVAILABLE, Finding("If-Match", message))
    if if_match != state.edition:
        message = f"the current edition is {state.edition}"
        return _refused(state, STATUS_PRECONDITION_FAILED, Finding("If-Match", message))
    return None


def _may_have_been_applied(state: ControlState, if_match: int) -> bool:
    """Return whether a change based on this edition may have been applied too long ago to be recognised.

    An applied change that is sent again must not be refused, so the caller gets no definite answer.
    """
    return len(state.applied_changes) == MAX_APPLIED_CHANGES and if_match < state.applied_changes[0].edition


def _refused(state: ControlState, status: int, *findings: Finding) -> Refused:
    return Refused(ChangeResult(status, state.edition, findings))


def _digest_of_change(command: ConfigurationCommand) -> bytes:
    """Return the digest by which a change is recognised when it is sent again."""
    method = b"PUT" if isinstance(command, PutConfiguration) else b"PATCH"
    prefix = b"%s %s " % (method, str(command.if_match).encode())
    return digest_of(prefix + command.body)


def _put(command: PutConfiguration) -> Document | Refusal:
    data = read_object(command.body)
    return data if isinstance(data, Refusal) else validate_document(data)


def _patch(state: ControlState, command: PatchConfiguration) -> Document | Refusal:
    change = read_object(command.body)
    if isinstance(change, Refusal):
        return change
    return _patch_routes(state, change) or _patch_fully(state, change)


def _patch_routes(state: ControlState, change: JsonObject) -> Document | None:
    """Apply a change of only routes; return None if the change affects more or may be invalid."""
    if state.configuration_text is None:
        return None
    document = read_document(state.configuration_text)
    return None if isinstance(document, Refusal) else apply_route_changes(document, change)


def _patch_fully(state: ControlState, change: JsonObject) -> Document | Refusal:
    """Apply any change, and validate the whole resulting configuration."""
    current = read_object(state.configuration_text or b"{}")
    assert not isinstance(current, Refusal)  # the text of a document is valid
    patched = apply_patch(current, change)
    return patched if isinstance(patched, Refusal) else validate_document(patched)
