"""Registers a node with the coordinators: heartbeats, `closing`, and deregistration."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from random import Random
from typing import Final

from coveport.http1 import write_request
from coveport.net.address import Address, parse_address
from coveport.net.transport import Net
from coveport.serving.model.node import NodeState
from coveport.serving.simulation.events import EventLog, HeartbeatAnswered
from coveport.serving.simulation.exchange import CompleteAnswer, call
from coveport.serving.simulation.model_server import ModelServer
from coveport.serving.wire.names import Heartbeat, Path

ANSWER_TIMEOUT_S: Final = 1.0
MAX_ANSWER_BYTES: Final = 4096
MAX_REDIRECTS: Final = 2
UNACKNOWLEDGED_LEAVE_S: Final = 5.0  # a leaving node ends after this time even if no coordinator acknowledged
LINGER_S: Final = 0.3  # additional wait after the bound on draining

MODEL: Final = {Heartbeat.MODEL_NAME: "m", Heartbeat.WEIGHTS: 1, Heartbeat.ADAPTERS: []}

CoordinatorEndpoints = Callable[[], list[Address]]
"""Returns the coordinators' addresses from an external endpoint list, which may be outdated."""


async def call_following(
    net: Net, address: Address, request: bytes, timeout_s: float
) -> tuple[Address, CompleteAnswer] | None:
    """Send a request, following up to two redirects (307); return the answer and its sender, or None."""
    for _ in range(MAX_REDIRECTS + 1):
        answer = await call(net, address, request, timeout_s)
        if answer is None or answer.status != 307:
            return None if answer is None else (address, answer)
        location = answer.headers.get("location", [""])[0]
        try:
            address = parse_address(location.removeprefix("http://").partition("/")[0])
        except ValueError:
            return None
    return None


class Registration:
    """Sends the heartbeats of one incarnation of a node, and deregisters it."""

    def __init__(
        self, net: Net, node: ModelServer, coordinators: CoordinatorEndpoints, heartbeat_ms: float,
        event_log: EventLog, rng: Random,
    ) -> None:  # fmt: skip
        self._net = net
        self._node = node
        self._coordinators = coordinators
        self._period_s = heartbeat_ms / 1000
        self._event_log = event_log
        self._rng = rng
        self._forward_to: Address | None = None
        self._sequence = 0
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start sending heartbeats."""
        self._task = asyncio.get_running_loop().create_task(self._send_heartbeats())

    async def leave_at_once(self, drain_s: float) -> None:
        """Deregister without reporting `closing`; serve until acknowledged and drained, then end."""
        if self._task is not None:
            self._task.cancel()
        self._node.drain()
        until = self._net.now_s() + UNACKNOWLEDGED_LEAVE_S
        while self._net.now_s() < until and not self._node.ended:
            if await self._notify("DELETE", "gone", None):
                await asyncio.sleep(drain_s + LINGER_S)
                break
            await asyncio.sleep(0.1)
        self._node.end(planned=True)

    async def leave(self, drain_s: float, gone_in_s: float | None = None) -> None:
        """Report `closing`, serve until acknowledged and drained, deregister, and end.

        `gone_in_s`: the machine is reclaimed at short notice; the node ends after this time in any case.
        """
        if self._task is not None:
            self._task.cancel()
        self._node.drain()
        loop = asyncio.get_running_loop()
        if gone_in_s is not None:
            loop.call_later(gone_in_s, lambda: self._node.end(planned=True))
        gone_at = None if gone_in_s is None else self._net.now_s() + gone_in_s
        acknowledged = await self._announce_closing(gone_at)
        if acknowledged:
            await asyncio.sleep(drain_s + LINGER_S)
        if not self._node.ended:
            await self._notify("DELETE", "gone", gone_at)
        self._node.end(planned=True)

    async def _announce_closing(self, gone_at: float | None) -> bool:
        until = self._net.now_s() + UNACKNOWLEDGED_LEAVE_S
        while self._net.now_s() < until and not self._node.ended:
            if await self._notify("PUT", "closing", gone_at):
                return True
            await asyncio.sleep(0.1)
        return False

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self._rng.random() * 0.2)
        while not self._node.ended:
            began = self._net.now_s()
            if not self._node.faults.unresponsive:
                await self._notify("PUT", "accepting", None)
            spent = self._net.now_s() - began
            await asyncio.sleep(max(0.05, self._period_s * self._rng.uniform(0.9, 1.1) - spent))

    async def _notify(self, method: str, state: str, gone_at: float | None) -> bool:
        """Send a heartbeat or deregistration to each coordinator in turn until one acknowledges it."""
        candidates = self._coordinators()
        self._rng.shuffle(candidates)
        if self._forward_to is not None:
            candidates = [self._forward_to, *(listed for listed in candidates if listed != self._forward_to)]
        for address in candidates:
            if self._node.ended or self._node.faults.unresponsive:
                return False
            self._sequence += 1
            request = self._request(method, address, gone_at)
            response = await call_following(self._net, address, request, ANSWER_TIMEOUT_S)
            if response is not None and self._acknowledges(response[1]):
                self._record_acknowledgement(state, response[0])
                return True
            self._forward_to = None
        return False

    def _request(self, method: str, address: Address, gone_at: float | None) -> bytes:
        node, figures = self._node, self._node.figures
        heartbeat: dict[str, object] = {
            Heartbeat.SERVICE: figures.service,
            Heartbeat.ADDRESS: "{}:{}".format(*figures.address),
            Heartbeat.ZONE: figures.zone,
            Heartbeat.SOFTWARE: "v1",
            Heartbeat.SLOTS: figures.engine.slots,
            Heartbeat.STATE: Heartbeat.ACCEPTING if node.state is NodeState.ACCEPTING else Heartbeat.CLOSING,
            Heartbeat.WARM_UP_LEFT_MS: round(node.warm_up_left_ms),
            Heartbeat.PHASE: "both",
            Heartbeat.MODELS: [MODEL],
            Heartbeat.SEQUENCE: self._sequence,
        }
        if gone_at is not None:
            heartbeat[Heartbeat.SHUTDOWN_IN_MS] = round(max(0.0, gone_at - self._net.now_s()) * 1000)
        headers = [("Host", "{}:{}".format(*address)), ("Content-Type", "application/json")]
        if method == "DELETE":
            return write_request(method, Path.NODES + node.incarnation, headers[:1])
        return write_request(method, Path.NODES + node.incarnation, headers, json.dumps(heartbeat).encode())

    def _acknowledges(self, answer: CompleteAnswer) -> bool:
        if not 200 <= answer.status < 300 or len(answer.body) > MAX_ANSWER_BYTES:
            return False
        try:
            document = json.loads(answer.body or b"{}")
            forward = document.get(Heartbeat.FORWARD_TO) if isinstance(document, dict) else None
            self._forward_to = parse_address(forward) if forward else self._forward_to
        except ValueError:
            pass  # a malformed body still acknowledges the heartbeat
        return True

    def _record_acknowledgement(self, state: str, address: Address) -> None:
        now = self._net.now_s()
        self._event_log.write(HeartbeatAnswered(now, self._node.incarnation, state, "{}:{}".format(*address)))
