"""Hollow nodes: heartbeats of many nodes from one process, over real sockets, without traffic."""

from __future__ import annotations

import asyncio
import json
import random
import sys

from coveport.http1 import write_request
from coveport.net.address import Address, parse_address
from coveport.net.transport import Net
from coveport.serving.scale.worker_messages import Message, read_messages, write_message
from coveport.serving.simulation.exchange import call
from coveport.serving.wire.names import Heartbeat, Path

RESPONSE_TIMEOUT_S = 1.0
NODE_PORT = 8080
DRAIN_S = 1.0  # delay from the acknowledgement of `closing` to deregistration
CLOSING_RETRY_S = 0.1
SLOTS = 64


class HollowNode:
    """A node that only sends heartbeats; it can be restarted."""

    def __init__(self, net: Net, settings: Message, number: int, counts: NodeCounts) -> None:
        self._net = net
        self._settings = settings
        self._counts = counts
        self._address = f"{settings['addresses'][number]}:{NODE_PORT}"
        self._service: str = settings["services"][number]
        self._coordinators = [parse_address(address) for address in settings["coordinators"]]
        self._rng = random.Random()
        self.incarnation = ""
        self._sequence = 0
        self._warm_up_until_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self, warm_up_s: float = 0.0) -> None:
        """Start a new incarnation."""
        self.stop()
        self.incarnation = f"i-{self._rng.getrandbits(48):012x}"
        self._sequence = 0
        self._warm_up_until_s = self._net.now_s() + warm_up_s
        self._task = self._net.loop.create_task(self._send_heartbeats())

    def stop(self) -> None:
        """Stop without deregistering, as in a crash."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def restart(self, warm_up_s: float) -> None:
        """Report `closing`, deregister, and start a new incarnation."""
        self.stop()
        self._task = self._net.loop.create_task(self._restart_gracefully(warm_up_s))

    async def _send_heartbeats(self) -> None:
        period_s = self._settings["heartbeat_s"]
        await asyncio.sleep(self._rng.random() * period_s)
        while True:
            await self._report_state("PUT", Heartbeat.ACCEPTING)
            await asyncio.sleep(period_s * self._rng.uniform(0.9, 1.1))

    async def _restart_gracefully(self, warm_up_s: float) -> None:
        while True:
            is_acknowledged = await self._report_state("PUT", Heartbeat.CLOSING)
            if is_acknowledged:
                break
            await asyncio.sleep(CLOSING_RETRY_S)
        write_message({"saw": "acknowledged", "what": self.incarnation, "at": self._net.now_s()})
        await asyncio.sleep(DRAIN_S)
        await self._report_state("DELETE", Heartbeat.CLOSING)
        self._task = None
        self.start(warm_up_s)

    async def _report_state(self, method: str, state: str) -> bool:
        """Try the coordinators in random order until one acknowledges; return whether one did."""
        for address in self._rng.sample(self._coordinators, len(self._coordinators)):
            self._sequence += 1
            request = self._request(method, address, state)
            started_s = self._net.now_s()
            response = await call(self._net, address, request, RESPONSE_TIMEOUT_S)
            self._counts.record(len(request), self._net.now_s() - started_s, response is not None)
            if response is not None and response.status < 300:
                return True
        return False

    def _request(self, method: str, address: Address, state: str) -> bytes:
        headers = [("Host", f"{address[0]}:{address[1]}"), ("Content-Type", "application/json")]
        if method == "DELETE":
            return write_request(method, Path.NODES + self.incarnation, headers[:1])
        warm_up_left_s = max(0.0, self._warm_up_until_s - self._net.now_s())
        body = {
            Heartbeat.SERVICE: self._service,
            Heartbeat.ADDRESS: self._address,
            Heartbeat.ZONE: self._settings["zone"],
            Heartbeat.SOFTWARE: "v1",
            Heartbeat.SLOTS: SLOTS,
            Heartbeat.STATE: state,
            Heartbeat.WARM_UP_LEFT_MS: round(warm_up_left_s * 1000),
            Heartbeat.PHASE: "both",
            Heartbeat.MODELS: [{Heartbeat.MODEL_NAME: "m", Heartbeat.WEIGHTS: 1, Heartbeat.ADAPTERS: []}],
            Heartbeat.SEQUENCE: self._sequence,
        }
        return write_request(method, Path.NODES + self.incarnation, headers, json.dumps(body).encode())


class NodeCounts:
    """Counts of the calls by all nodes of a process."""

    def __init__(self) -> None:
        self.calls = self.unanswered = self.request_bytes = 0
        self.slowest_s = 0.0

    def record(self, request_bytes: int, took_s: float, answered: bool) -> None:
        """Count a call."""
        self.calls += 1
        self.request_bytes += request_bytes
        self.unanswered += not answered
        self.slowest_s = max(self.slowest_s, took_s)


class HollowNodes:
    """All hollow nodes of one process."""

    def __init__(self, net: Net, settings: Message) -> None:
        self._counts = NodeCounts()
        self._nodes = [
            HollowNode(net, settings, number, self._counts) for number in range(len(settings["addresses"]))
        ]

    def handle(self, message: Message) -> None:
        """Execute a command of the scale run."""
        match message["do"]:
            case "start":
                for node in self._nodes:
                    node.start()
            case "lose":
                for number in message["numbers"]:
                    self._nodes[number].stop()
            case "back":
                for number in message["numbers"]:
                    self._nodes[number].start(message["cold_s"])
            case "restart":
                for number in message["numbers"]:
                    self._nodes[number].restart(message["cold_s"])
            case "count":
                write_message({"counted": self._count()})

    def _count(self) -> Message:
        counts = self._counts
        return {
            "incarnations": [node.incarnation for node in self._nodes],
            "calls": counts.calls,
            "unanswered": counts.unanswered,
            "request_bytes": counts.request_bytes,
            "slowest_s": round(counts.slowest_s, 3),
        }


async def _run(settings: Message) -> None:
    net = Net(asyncio.get_running_loop())
    nodes = HollowNodes(net, settings)
    await read_messages(nodes.handle)


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
