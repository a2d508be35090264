"""The platform's API in simulated time: takes calls of the duties, refuses lower fences, records all."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Final

from coveport.http1 import Request
from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.serving.simulation.exchange import ACCEPT_MOST, WAITING_MOST, ServerConnection
from coveport.serving.wire.names import CanonicalHeader

USAGE_PATH: Final = "/usage"
FLEET_PATH: Final = "/fleet"


@dataclass(frozen=True, slots=True)
class PlatformCallSeen:
    """A call that reached the platform."""

    at_s: float
    machine: str  # IP of the caller
    holder: str
    fence: int
    path: str
    body: dict[str, Any]
    status: int

    @property
    def subject(self) -> tuple[str, ...]:
        """What the fences of this call are compared by."""
        if self.path == USAGE_PATH:
            return (self.path,)
        return (self.path, str(self.body.get("Service")), str(self.body.get("Zone")))


class SimulatedPlatform:
    """One platform; `delay_s` and `is_silent` may be set at any moment."""

    def __init__(self, net: Net, address: Address) -> None:
        self._net = net
        self._address = address
        self._highest_fences: dict[tuple[str, ...], int] = {}
        self.calls: list[PlatformCallSeen] = []
        self.delay_s = 0.0  # of each answer
        self.is_silent = False  # takes no call, and answers nothing

    async def start(self) -> None:
        """Listen for calls."""
        await self._net.listen(
            lambda: ServerConnection(self._handle, lambda _: None),
            self._address,
            accepts_per_turn=ACCEPT_MOST,
            backlog=WAITING_MOST,
        )

    async def stop(self) -> None:
        """End at once."""

    async def _handle(self, connection: ServerConnection, request: Request) -> None:
        if self.is_silent:
            await self._net.loop.create_future()
        assert connection.transport is not None
        machine, _ = connection.transport.get_extra_info("peername")
        status = self._take(machine, request)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        connection.answer(status, [])

    def _take(self, machine: str, request: Request) -> int:
        holder = request.get(CanonicalHeader.HOLDER.lower()) or ""
        fence = int(request.get(CanonicalHeader.FENCE.lower()) or 0)
        body = json.loads(request.body)
        seen = PlatformCallSeen(self._net.now_s(), machine, holder, fence, request.target, body, 0)
        highest = self._highest_fences.get(seen.subject, 0)
        status = 409 if fence < highest else 200
        self._highest_fences[seen.subject] = max(fence, highest)
        self.calls.append(PlatformCallSeen(seen.at_s, machine, holder, fence, request.target, body, status))
        return status


def judge_platform_calls(calls: Iterable[PlatformCallSeen], lease_s: float) -> list[str]:
    """Return what breaks the rules of the duties: one line for each breach."""
    breaches = []
    holders: dict[tuple[tuple[str, ...], int], str] = {}
    reports: dict[int, object] = {}
    accepted: list[PlatformCallSeen] = []
    for call in calls:
        if holders.setdefault((call.subject, call.fence), call.machine) != call.machine:
            breaches.append(f"{call.at_s:.2f}: fence {call.fence} is sent by two machines")
        if call.status != 200:
            continue
        if call.path == USAGE_PATH:
            window, counts = call.body["WindowNo"], call.body["Counts"]
            if reports.setdefault(window, counts) != counts:
                breaches.append(f"{call.at_s:.2f}: window {window} has two reports that differ")
        accepted.append(call)
    return breaches + _returns(accepted, lease_s)


def _returns(accepted: list[PlatformCallSeen], lease_s: float) -> list[str]:
    """Return where one machine acted, another, and the first again within a lease."""
    breaches = []
    newest: dict[str, float] = {}  # time of the newest call of each machine
    last = ""
    for call in accepted:
        if call.machine != last and call.at_s - newest.get(call.machine, float("-inf")) < lease_s:
            breaches.append(f"{call.at_s:.2f}: {call.machine} acts again within a lease")
        newest[call.machine] = call.at_s
        last = call.machine
    return breaches
