"""Hollow nodes: many nodes' real heartbeats from one process, over real sockets; they serve nothing."""

from __future__ import annotations

import asyncio
import json
import random
import sys

from coveport.http1 import write_request
from coveport.net.address import Address, parse_address
from coveport.net.transport import Net
from coveport.serving.scale.worker_lines import Line, read_lines, write_line
from coveport.serving.simulation.exchange import call
from coveport.serving.wire.names import Heartbeat, Path

ANSWER_S = 1.0
NODE_PORT = 8080
DRAIN_S = 1.0  # from an acknowledged `closing` to the goodbye
SLOTS = 64


class HollowNode:
    """One node, incarnation after incarnation."""

    def __init__(self, net: Net, told: Line, number: int, counts: NodeCounts) -> None:
        self._net = net
        self._told = told
        self._counts = counts
        self._address = f"{told['addresses'][number]}:{NODE_PORT}"
        self._service: str = told["services"][number]
        self._coordinators = [parse_address(one) for one in told["coordinators"]]
        self._chance = random.Random()
        self.incarnation = ""
        self._sequence = 0
        self._cold_until_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def start(self, cold_s: float = 0.0) -> None:
        """Begin an incarnation."""
        self.stop()
        self.incarnation = f"i-{self._chance.getrandbits(48):012x}"
        self._sequence = 0
        self._cold_until_s = self._net.now_s() + cold_s
        self._task = self._net.loop.create_task(self._beat())

    def stop(self) -> None:
        """Be silent from now on, as one that crashed."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def restart(self, cold_s: float) -> None:
        """The planned way: `closing`, goodbye, and a new incarnation."""
        self.stop()
        self._task = self._net.loop.create_task(self._leave(cold_s))

    async def _beat(self) -> None:
        period_s = self._told["heartbeat_s"]
        await asyncio.sleep(self._chance.random() * period_s)
        while True:
            await self._tell("PUT", Heartbeat.ACCEPTING)
            await asyncio.sleep(period_s * self._chance.uniform(0.9, 1.1))

    async def _leave(self, cold_s: float) -> None:
        while not await self._tell("PUT", Heartbeat.CLOSING):
            await asyncio.sleep(0.1)
        write_line({"saw": "acknowledged", "what": self.incarnation, "at": self._net.now_s()})
        await asyncio.sleep(DRAIN_S)
        await self._tell("DELETE", Heartbeat.CLOSING)
        self._task = None
        self.start(cold_s)

    async def _tell(self, method: str, state: str) -> bool:
        """One report, at one coordinator after the other until one acknowledges it."""
        for address in self._chance.sample(self._coordinators, len(self._coordinators)):
            self._sequence += 1
            request = self._request(method, address, state)
            began_s = self._net.now_s()
            answer = await call(self._net, address, request, ANSWER_S)
            self._counts.note(len(request), self._net.now_s() - began_s, answer is not None)
            if answer is not None and answer.status < 300:
                return True
        return False

    def _request(self, method: str, address: Address, state: str) -> bytes:
        headers = [("Host", f"{address[0]}:{address[1]}"), ("Content-Type", "application/json")]
        if method == "DELETE":
            return write_request(method, Path.NODES + self.incarnation, headers[:1])
        cold_left_s = max(0.0, self._cold_until_s - self._net.now_s())
        body = {
            Heartbeat.SERVICE: self._service,
            Heartbeat.ADDRESS: self._address,
            Heartbeat.ZONE: self._told["zone"],
            Heartbeat.SOFTWARE: "v1",
            Heartbeat.SLOTS: SLOTS,
            Heartbeat.STATE: state,
            Heartbeat.WARM_UP_LEFT_MS: round(cold_left_s * 1000),
            Heartbeat.PHASE: "both",
            Heartbeat.MODELS: [{Heartbeat.MODEL_NAME: "m", Heartbeat.WEIGHTS: 1, Heartbeat.ADAPTERS: []}],
            Heartbeat.SEQUENCE: self._sequence,
        }
        return write_request(method, Path.NODES + self.incarnation, headers, json.dumps(body).encode())


class NodeCounts:
    """Calls of all nodes of a process."""

    def __init__(self) -> None:
        self.calls = self.unanswered = self.request_bytes = 0
        self.slowest_s = 0.0

    def note(self, request_bytes: int, took_s: float, answered: bool) -> None:
        """One call ended."""
        self.calls += 1
        self.request_bytes += request_bytes
        self.unanswered += not answered
        self.slowest_s = max(self.slowest_s, took_s)


class HollowNodes:
    """All of one process."""

    def __init__(self, net: Net, told: Line) -> None:
        self._counts = NodeCounts()
        self._nodes = [
            HollowNode(net, told, number, self._counts) for number in range(len(told["addresses"]))
        ]

    def take(self, line: Line) -> None:
        """Do what the run says."""
        match line["do"]:
            case "start":
                for node in self._nodes:
                    node.start()
            case "lose":
                for number in line["numbers"]:
                    self._nodes[number].stop()
            case "back":
                for number in line["numbers"]:
                    self._nodes[number].start(line["cold_s"])
            case "restart":
                for number in line["numbers"]:
                    self._nodes[number].restart(line["cold_s"])
            case "count":
                write_line({"counted": self._count()})

    def _count(self) -> Line:
        counts = self._counts
        return {
            "incarnations": [node.incarnation for node in self._nodes],
            "calls": counts.calls,
            "unanswered": counts.unanswered,
            "request_bytes": counts.request_bytes,
            "slowest_s": round(counts.slowest_s, 3),
        }


async def _run(told: Line) -> None:
    net = Net(asyncio.get_running_loop())
    nodes = HollowNodes(net, told)
    await read_lines(nodes.take)


if __name__ == "__main__":
    asyncio.run(_run(json.loads(sys.argv[1])))
