"""The operators' side of the core: commands in, HTTP answers out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from coveport.net.transport import Net
from coveport.serving.configuration.state import ChangeResult, ControlState
from coveport.serving.configuration.state_codec import decode_state, encode_state
from coveport.serving.configuration.state_machine import apply
from coveport.serving.coordinator.replica_runtime import ReplicaRuntime
from coveport.serving.replication.events import (
    Applied,
    Done,
    Newest,
    NotPrimary,
    Outcome,
    OutcomeUnknown,
    Refused,
    StateMachine,
    UnreadableStateError,
)
from coveport.serving.replication.outcomes import Applied as Taken
from coveport.serving.web.messages import ApiResponse, json_response
from coveport.serving.wire.errors import MalformedMessageError
from coveport.serving.wire.names import ERROR, Config

PRIMARY_WAIT_S = 0.88  # callers move on after a second of silence; the way takes up to 0.1 s of it
PRIMARY_LOOK_S = 0.02
ANSWER_S = 4.0  # after which nobody waits for a command any more
HOLD_S = 0.15  # of an order without a version: more than a round trip, within which its caller's end is seen


def _apply(state: Any, command: bytes) -> Applied | Refused:
    outcome = apply(state, command)
    if isinstance(outcome, Taken):
        return Applied(outcome.state, outcome.result)
    return Refused(outcome.result)


def _decode(data: bytes) -> ControlState:
    try:
        return decode_state(data)
    except MalformedMessageError as problem:
        raise UnreadableStateError(str(problem)) from problem


STATE_MACHINE = StateMachine(_apply, encode_state, _decode)


class Control:
    """Submits commands to the core of this coordinator."""

    def __init__(self, net: Net, core: ReplicaRuntime, describe: Callable[[], dict[str, Any]]) -> None:
        self._net = net
        self._core = core
        self._describe = describe

    def is_primary(self) -> bool:
        """Whether this coordinator leads."""
        return self._core.member.is_primary

    def describe(self) -> dict[str, Any]:
        """The state of the core for people."""
        return self._describe()

    async def primary_elsewhere(self) -> str | None:
        """The primary's inner address if that is another; waits a moment for one to be there."""
        until_s = self._net.now_s() + PRIMARY_WAIT_S
        while self._net.now_s() < until_s:
            member = self._core.member
            if self._leads():
                return None
            if not member.is_primary and member.primary_address is not None:
                return member.primary_address
            await asyncio.sleep(PRIMARY_LOOK_S)
        return None

    def _leads(self) -> bool:
        """Whether this is the primary and hears a majority: one that is cut off can only hold its callers."""
        member = self._core.member
        return member.is_primary and member.has_quorum(self._net.now_s())

    async def hold(self) -> None:
        """Wait a moment; ends with the call where its caller leaves meanwhile."""
        await asyncio.sleep(HOLD_S)

    async def submit(self, command: bytes) -> ApiResponse:
        """Run a command here; 503 where this doesn't lead, or it is unclear what became of it."""
        if not self._leads():
            return _reply(NotPrimary(None))
        return _reply(await self._within(self._core.submit(command)))

    async def read_configuration(self) -> ApiResponse:
        """The newest configuration; 503 where this doesn't lead."""
        if not self._leads():
            return _reply(NotPrimary(None))
        outcome = await self._within(self._core.read_newest())
        if not isinstance(outcome, Newest):
            return _reply(outcome)
        state: ControlState = outcome.state
        if state.configuration_text is None:
            return json_response(404, {ERROR: "there is no configuration yet"})
        return ApiResponse(200, state.configuration_text, (("Content-Type", "application/json"),))

    async def _within(self, asking: Any) -> Outcome:
        try:
            async with asyncio.timeout(ANSWER_S):
                outcome: Outcome = await asking
                return outcome
        except TimeoutError:
            return OutcomeUnknown()


def _reply(outcome: Outcome) -> ApiResponse:
    match outcome:
        case Done(ChangeResult() as result) | Refused(ChangeResult() as result):
            findings = [str(finding) for finding in result.findings]
            body: dict[str, Any] = {Config.EDITION: result.edition}
            if findings:
                body[ERROR] = findings
            return json_response(result.status, body)
        case NotPrimary():
            return json_response(503, {ERROR: "no primary for now"})
        case _:
            return json_response(503, {ERROR: "it is unclear whether the change was taken; send it again"})
