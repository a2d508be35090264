"""The platform's API in simulated time: records calls and rejects outdated fencing tokens."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from dataclasses import dataclass, replace
from math import inf
from typing import Any, Final

from coveport.http1 import Request
from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.serving.simulation.exchange import BACKLOG, MAX_ACCEPTS_PER_TURN, ServerConnection
from coveport.serving.wire.names import CanonicalHeader

USAGE_PATH: Final = "/usage"
FLEET_PATH: Final = "/fleet"
ACCEPTED: Final = 200
FENCED: Final = 409
THROTTLED: Final = 429


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
        """Return the subject within which fencing tokens are compared."""
        if self.path == USAGE_PATH:
            return (self.path,)
        return (self.path, str(self.body.get("Service")), str(self.body.get("Zone")))


class SimulatedPlatform:
    """One platform; its fault settings may change at any time."""

    def __init__(self, net: Net, address: Address) -> None:
        self._net = net
        self._address = address
        self._highest_fences: dict[tuple[str, ...], int] = {}
        self.calls: list[PlatformCallSeen] = []
        self.delay_s = 0.0  # before each answer
        self.is_silent = False  # accepts connections but never answers
        self.is_down = False  # resets each connection
        self.calls_per_s = inf  # calls above this rate are throttled
        self._admitted_s: deque[float] = deque()  # times of the calls admitted in the last second

    async def start(self) -> None:
        """Listen for calls."""
        await self._net.listen(
            lambda: ServerConnection(self._handle, lambda _: None),
            self._address,
            accepts_per_turn=MAX_ACCEPTS_PER_TURN,
            backlog=BACKLOG,
        )

    async def stop(self) -> None:
        """Do nothing: there is no resource to release."""

    async def _handle(self, connection: ServerConnection, request: Request) -> None:
        if self.is_silent:
            await self._net.loop.create_future()
        if self.is_down:
            connection.break_off()
            return
        assert connection.transport is not None
        machine, _ = connection.transport.get_extra_info("peername")
        status = self._record_call(machine, request)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        connection.answer(status, [])

    def _record_call(self, machine: str, request: Request) -> int:
        holder = request.get(CanonicalHeader.HOLDER.lower()) or ""
        fence = int(request.get(CanonicalHeader.FENCE.lower()) or 0)
        body = json.loads(request.body)
        seen = PlatformCallSeen(self._net.now_s(), machine, holder, fence, request.target, body, 0)
        status = THROTTLED if self._is_throttled(seen.at_s) else self._check_fence(seen)
        self.calls.append(replace(seen, status=status))
        return status

    def _is_throttled(self, now_s: float) -> bool:
        while self._admitted_s and self._admitted_s[0] <= now_s - 1.0:
            self._admitted_s.popleft()
        if len(self._admitted_s) >= self.calls_per_s:
            return True
        self._admitted_s.append(now_s)
        return False

    def _check_fence(self, call: PlatformCallSeen) -> int:
        highest = self._highest_fences.get(call.subject, 0)
        self._highest_fences[call.subject] = max(call.fence, highest)
        return FENCED if call.fence < highest else ACCEPTED
