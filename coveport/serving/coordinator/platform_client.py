"""Calls to the platform's API, each on a connection of its own.

Calls are rare (a few in a minute). With a connection for each call, the bytes of a cancelled call that a
partition has delayed are discarded when its connection is reset.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.serving.duties.duty import CallOutcome, PlatformCall
from coveport.serving.web.http_client import HttpRequest, RequestFailure, send_request
from coveport.serving.wire.names import CanonicalHeader

CALL_TIMEOUT_S: Final = 4.0  # long enough for a slow platform; a call without a response by then is repeated

# After these statuses the same body would be rejected again. After any other error, which may be temporary,
# the call is repeated: a report that is not repeated would be lost.
INVALID_CALL_STATUSES: Final = frozenset(
    {HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE, HTTPStatus.UNPROCESSABLE_ENTITY}
)


@dataclass(frozen=True, slots=True)
class Credentials:
    """Identity of the caller, sent to the platform with each call."""

    holder: str
    fence: int  # fencing token


@dataclass(frozen=True, slots=True)
class CallResult:
    """Outcome of a call, and details of this outcome for the log."""

    outcome: CallOutcome
    detail: str


class PlatformClient:
    """Sends calls; the caller of `post` decides whether a call may be sent."""

    def __init__(self, net: Net, address: Address) -> None:
        self._net = net
        self._address = address

    async def post(
        self, call: PlatformCall, credentials: Credentials, may_send: Callable[[], bool]
    ) -> CallResult:
        """Make a call; if this asyncio task is cancelled, reset the connection of the call.

        `may_send` is checked right before the bytes are sent.
        """
        headers = (
            (CanonicalHeader.HOLDER, credentials.holder),
            (CanonicalHeader.FENCE, str(credentials.fence)),
            ("Content-Type", "application/json"),
        )
        request = HttpRequest("POST", call.path, headers, call.body)
        response = await send_request(self._net, self._address, request, CALL_TIMEOUT_S, may_send)
        if isinstance(response, RequestFailure):
            return CallResult(CallOutcome.UNKNOWN, response.reason)
        return CallResult(_outcome(response.status), f"status {response.status}")


def _outcome(status: int) -> CallOutcome:
    if 200 <= status < 300:
        return CallOutcome.ACCEPTED
    if status == HTTPStatus.CONFLICT:
        return CallOutcome.FENCED
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        return CallOutcome.THROTTLED
    return CallOutcome.REJECTED if status in INVALID_CALL_STATUSES else CallOutcome.UNKNOWN
