"""Runs operators' commands on the replica of this coordinator, and turns outcomes into HTTP responses."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, Final

from coveport.net.transport import Net
from coveport.serving.configuration.state import ChangeResult, ControlState
from coveport.serving.coordinator.replica_runtime import ReplicaRuntime
from coveport.serving.replication.events import Done, Newest, NotPrimary, Outcome, OutcomeUnknown
from coveport.serving.replication.state_machine import Refused
from coveport.serving.web.messages import ApiResponse, json_response
from coveport.serving.wire.names import ERROR, Config

PRIMARY_TIMEOUT_S: Final = 0.88  # callers time out after 1 s, of which the network takes up to 0.1 s
PRIMARY_POLL_S: Final = 0.02
OUTCOME_TIMEOUT_S: Final = 4.0  # time limit for the outcome of a command; by then its callers have timed out
DISCONNECT_WAIT_S: Final = 0.15  # longer than the round trip within which a caller's disconnect arrives


class ControlService:
    """Submits commands and reads on behalf of `OperatorApi`; owns no state."""

    def __init__(self, net: Net, runtime: ReplicaRuntime, describe: Callable[[], dict[str, Any]]) -> None:
        """Create a service; `describe` returns the body of the operators' status call."""
        self._net = net
        self._runtime = runtime
        self._describe = describe

    def describe(self) -> dict[str, Any]:
        """Return the status of this coordinator, as JSON-compatible values."""
        return self._describe()

    async def find_other_primary(self) -> str | None:
        """Return the inner address of the primary if another coordinator is the primary.

        Wait for a primary for up to `PRIMARY_TIMEOUT_S`. Return None where this coordinator is the primary,
        or where none was elected in that time.
        """
        until_s = self._net.now_s() + PRIMARY_TIMEOUT_S
        while self._net.now_s() < until_s:
            replica = self._runtime.replica
            if self._is_primary_with_quorum():
                return None
            if not replica.is_primary and replica.primary_address is not None:
                return replica.primary_address
            await asyncio.sleep(PRIMARY_POLL_S)
        return None

    def _is_primary_with_quorum(self) -> bool:
        """Return whether this coordinator is the primary and has a quorum.

        A primary without a quorum can't commit anything: its callers would wait until they time out.
        """
        replica = self._runtime.replica
        return replica.is_primary and replica.has_quorum(self._net.now_s())

    async def wait_for_disconnect(self) -> None:
        """Wait long enough to notice a caller that has disconnected; its request is cancelled meanwhile."""
        await asyncio.sleep(DISCONNECT_WAIT_S)

    async def submit(self, command: bytes) -> ApiResponse:
        """Run a command and return its response.

        The status is 503 where this coordinator is not a primary with a quorum, or the outcome is unknown.
        """
        if not self._is_primary_with_quorum():
            return _response(NotPrimary(None))
        return _response(await self._with_timeout(self._runtime.submit(command)))

    async def read_configuration(self) -> ApiResponse:
        """Return the newest configuration; status 404 where there is none, 503 as for `submit`."""
        if not self._is_primary_with_quorum():
            return _response(NotPrimary(None))
        outcome = await self._with_timeout(self._runtime.read_newest())
        if not isinstance(outcome, Newest):
            return _response(outcome)
        state: ControlState = outcome.state
        if state.configuration_text is None:
            return json_response(404, {ERROR: "there is no configuration yet"})
        return ApiResponse(200, state.configuration_text, (("Content-Type", "application/json"),))

    async def _with_timeout(self, call: Awaitable[Outcome]) -> Outcome:
        try:
            async with asyncio.timeout(OUTCOME_TIMEOUT_S):
                return await call
        except TimeoutError:
            return OutcomeUnknown()


def _response(outcome: Outcome) -> ApiResponse:
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
