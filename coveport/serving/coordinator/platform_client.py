"""Calls to the platform's API, each on a connection of its own.

Calls are rare (a few in a minute), and a new connection carries no bytes from before: what a partition held
up of a call that was given up is lost with the reset of its connection.
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

CALL_TIMEOUT_S: Final = 4.0  # a slow platform answers within it; a silent one is asked again after it

# The same body would be rejected again. Any other error may pass, and a report that was given up is lost.
INVALID_CALL_STATUSES: Final = frozenset(
    {HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE, HTTPStatus.UNPROCESSABLE_ENTITY}
)


@dataclass(frozen=True, slots=True)
class Credentials:
    """Who calls, as the platform is told."""

    holder: str
    fence: int


@dataclass(frozen=True, slots=True)
class CallResult:
    """How a call ended, and what was seen, for the log."""

    outcome: CallOutcome
    detail: str


class PlatformClient:
    """Sends one call; who may send is decided by its caller."""

    def __init__(self, net: Net, address: Address) -> None:
        self._net = net
        self._address = address

    async def post(
        self, call: PlatformCall, credentials: Credentials, may_send: Callable[[], bool]
    ) -> CallResult:
        """Make a call; `may_send` is asked right before its bytes go. Cancelled, it resets the connection."""
        headers = (
            (CanonicalHeader.HOLDER, credentials.holder),
            (CanonicalHeader.FENCE, str(credentials.fence)),
            ("Content-Type", "application/json"),
        )
        request = HttpRequest("POST", call.path, headers, call.body)
        answer = await send_request(self._net, self._address, request, CALL_TIMEOUT_S, may_send)
        if isinstance(answer, RequestFailure):
            return CallResult(CallOutcome.UNKNOWN, answer.reason)
        return CallResult(_outcome(answer.status), f"status {answer.status}")


def _outcome(status: int) -> CallOutcome:
    if 200 <= status < 300:
        return CallOutcome.ACCEPTED
    if status == HTTPStatus.CONFLICT:
        return CallOutcome.FENCED
    if status == HTTPStatus.TOO_MANY_REQUESTS:
        return CallOutcome.THROTTLED
    return CallOutcome.REJECTED if status in INVALID_CALL_STATUSES else CallOutcome.UNKNOWN
