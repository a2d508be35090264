"""Client of the core's control calls: follows redirects, tries other coordinators until a response is final.

docs/operators/command-line.md, "Naming the core", has the rules for clients. A repeated request is identical
byte for byte, so that the core recognizes a repeated change.
"""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final
from urllib.parse import urlsplit

from coveport.http1 import Response
from coveport.net.address import Address, parse_address
from coveport.net.transport import Net
from coveport.serving.web.http_client import HttpRequest, RequestFailure, send_request

MAX_REDIRECTS: Final = 2  # followed in one attempt
RESPONSE_TIMEOUT_S: Final = 1.0  # for one request, before the next coordinator is tried
RESPONSE_TIMEOUT_S_PER_MIB: Final = 1.0  # added to RESPONSE_TIMEOUT_S for each MiB of the body
MIN_TIMEOUT_S: Final = 0.001  # for an attempt that starts at the deadline
INITIAL_BACKOFF_S: Final = 0.1  # doubled after each attempt, up to MAX_BACKOFF_S
MAX_BACKOFF_S: Final = 2.0
MAX_OTHER_REJECTIONS: Final = 3  # a 4xx that is neither final nor retryable ends the request at this count
MAX_REASON_BYTES: Final = 200  # part of a response's body that the reason of a failure quotes
BYTES_PER_MIB: Final = 2**20

# 404 is final: there is no configuration yet, or the zone does not exist.
FINAL_REJECTIONS: Final = frozenset({400, 404, 409, 412, 413, 422})
_RETRYABLE_REJECTIONS: Final = frozenset({408, 429})
_REDIRECT: Final = 307


@dataclass(frozen=True, slots=True)
class CoreResponse:
    """A final response: the request was carried out or rejected."""

    status: int
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether the request was carried out."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class CoreUnavailable:
    """No coordinator gave a final response in time; a change may or may not have been made."""

    reasons: dict[str, str]  # why the last attempt failed, by the coordinator's address


class CoreClient:
    """A client that tries the given coordinators' addresses in turn."""

    def __init__(self, net: Net, addresses: Sequence[Address]) -> None:
        self._net = net
        self._addresses = tuple(addresses)

    async def send(self, request: HttpRequest, within_s: float) -> CoreResponse | CoreUnavailable:
        """Send a request repeatedly until a response is final or `within_s` has passed."""
        deadline_s = self._net.now_s() + within_s
        reasons: dict[str, str] = {}
        other_rejections = 0
        backoff_s = INITIAL_BACKOFF_S
        attempt = 0
        while True:
            address = self._addresses[attempt % len(self._addresses)]
            attempt += 1
            outcome = await self._attempt(address, request, deadline_s)
            if isinstance(outcome, Response):
                other_rejections += _is_other_rejection(outcome.status)
                if _is_final(outcome.status) or other_rejections >= MAX_OTHER_REJECTIONS:
                    return CoreResponse(outcome.status, outcome.body)
            reasons[f"{address[0]}:{address[1]}"] = _failure_reason(outcome)
            if self._net.now_s() + backoff_s >= deadline_s:
                return CoreUnavailable(reasons)
            await asyncio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _attempt(
        self, address: Address, request: HttpRequest, deadline_s: float
    ) -> Response | RequestFailure:
        """Send the request to one coordinator and follow its redirects."""
        timeout_s = RESPONSE_TIMEOUT_S + RESPONSE_TIMEOUT_S_PER_MIB * len(request.body) / BYTES_PER_MIB
        for _ in range(MAX_REDIRECTS + 1):
            remaining_s = max(MIN_TIMEOUT_S, deadline_s - self._net.now_s())
            outcome = await send_request(self._net, address, request, min(timeout_s, remaining_s))
            if isinstance(outcome, RequestFailure) or outcome.status != _REDIRECT:
                return outcome
            target = _redirect_target(outcome)
            if target is None:
                return RequestFailure("sent on to nowhere")
            address = target
        return RequestFailure(f"sent on more than {MAX_REDIRECTS} times")


def _redirect_target(redirect: Response) -> Address | None:
    """Return the address in a redirect's Location, or None if there is no valid one; its path is not used."""
    try:
        return parse_address(urlsplit(redirect.headers.get("location", [""])[0]).netloc)
    except ValueError:
        return None


def _failure_reason(outcome: Response | RequestFailure) -> str:
    if isinstance(outcome, RequestFailure):
        return outcome.reason
    body = outcome.body[:MAX_REASON_BYTES].decode(errors="replace")
    return f"answered {outcome.status}: {body}"


def _is_final(status: int) -> bool:
    return status < 300 or status in FINAL_REJECTIONS


def _is_other_rejection(status: int) -> bool:
    return 400 <= status < 500 and status not in FINAL_REJECTIONS and status not in _RETRYABLE_REJECTIONS
