"""The replicated state machine: applies commands by `configuration.state_machine`."""

from __future__ import annotations

from typing import Final

from coveport.serving.configuration.state import ControlState
from coveport.serving.configuration.state_codec import decode_state, encode_state
from coveport.serving.configuration.state_machine import apply
from coveport.serving.replication.errors import UnreadableStateError
from coveport.serving.replication.state_machine import StateMachine
from coveport.serving.wire.errors import MalformedMessageError


def _decode(data: bytes) -> ControlState:
    try:
        return decode_state(data)
    except MalformedMessageError as error:
        raise UnreadableStateError(str(error)) from error


STATE_MACHINE: Final = StateMachine(apply, encode_state, _decode)
