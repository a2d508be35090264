"""Calls a core as the operators' protocol asks: follows redirects, asks again where unclear."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final
from urllib.parse import urlsplit

from coveport.http1.codec import Response
from coveport.net.address import Address, parse_address
from coveport.net.transport import Net
from coveport.serving.cli.http_call import Failed, HttpCall, send_call

REDIRECTS_MOST: Final = 2  # of one try
ANSWER_S: Final = 1.0  # silence after which another coordinator is asked ...
ANSWER_S_PER_MIB: Final = 1.0  # ... and more for what is sent
PAUSE_S: Final = 0.1  # before the next try, doubled each time ...
PAUSE_MOST_S: Final = 2.0
OTHER_REFUSALS_MOST: Final = 3  # answers of 4xx that aren't final by themselves
FINAL: Final = frozenset({400, 404, 409, 412, 413, 422})  # 404: no configuration yet, or no such zone
_UNCLEAR_4XX: Final = frozenset({408, 429})
_REDIRECT: Final = 307


@dataclass(frozen=True, slots=True)
class Answer:
    """A clear answer."""

    status: int
    body: bytes

    @property
    def is_success(self) -> bool:
        """Whether what was asked is done."""
        return 200 <= self.status < 300


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """None of the coordinators gave a clear answer in time; `reasons` by address, the last of each."""

    reasons: dict[str, str]


class CoreCaller:
    """Asks the coordinators at some addresses, in turn."""

    def __init__(self, net: Net, addresses: Sequence[Address]) -> None:
        self._net = net
        self._addresses = tuple(addresses)

    async def call(self, call: HttpCall, within_s: float) -> Answer | NoAnswer:
        """Ask until there is a clear answer, unchanged each time, or the time is over."""
        until_s = self._net.now_s() + within_s
        reasons: dict[str, str] = {}
        refusals = 0
        pause_s = PAUSE_S
        turn = 0
        while True:
            address = self._addresses[turn % len(self._addresses)]
            turn += 1
            outcome = await self._try(address, call, until_s)
            if isinstance(outcome, Response):
                refusals += _is_other_refusal(outcome.status)
                if _is_clear(outcome.status) or refusals >= OTHER_REFUSALS_MOST:
                    return Answer(outcome.status, outcome.body)
                outcome = Failed(f"answered {outcome.status}: {outcome.body[:200].decode(errors='replace')}")
            reasons[f"{address[0]}:{address[1]}"] = outcome.reason
            if self._net.now_s() + pause_s >= until_s:
                return NoAnswer(reasons)
            await asyncio.sleep(pause_s)
            pause_s = min(2 * pause_s, PAUSE_MOST_S)

    async def _try(self, address: Address, call: HttpCall, until_s: float) -> Response | Failed:
        """One try, redirects included."""
        for _ in range(REDIRECTS_MOST + 1):
            patience_s = ANSWER_S + ANSWER_S_PER_MIB * len(call.body) / 2**20
            left_s = max(0.001, until_s - self._net.now_s())
            outcome = await send_call(self._net, address, call, min(patience_s, left_s))
            if isinstance(outcome, Failed) or outcome.status != _REDIRECT:
                return outcome
            onward = _location(outcome)
            if onward is None:
                return Failed("sent on to nowhere")
            address = onward
        return Failed(f"sent on more than {REDIRECTS_MOST} times")


def _location(redirect: Response) -> Address | None:
    """Where a redirect leads; the path stays as it is."""
    try:
        return parse_address(urlsplit(redirect.headers.get("location", [""])[0]).netloc)
    except ValueError:
        return None


def _is_clear(status: int) -> bool:
    return status < 300 or status in FINAL


def _is_other_refusal(status: int) -> bool:
    return 400 <= status < 500 and status not in FINAL and status not in _UNCLEAR_4XX
