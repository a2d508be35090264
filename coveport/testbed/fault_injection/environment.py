"""Run what surrounds the instances of a trial: discovery, ledger nodes and clients."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

from coveport.testbed.fault_injection.http_stub import HttpStub, Request, Response
from coveport.testbed.fault_injection.recording_nodes import Cell, LedgerNode


@dataclass(frozen=True, slots=True)
class Ran:
    """Record an operation that a node ran."""

    at: float
    node: int
    id: str
    cls: str


class Node:
    """Serve as a ledger node: run each operation after `service_s` and record it."""

    def __init__(self, number: int, service_s: float = 0.01) -> None:
        self.number = number
        self.service_s = service_s
        self.ran: list[Ran] = []
        self.probes = 0
        self.failing = False
        self.server = HttpStub(self._answer)

    async def _answer(self, request: Request) -> Response:
        path = urlsplit(request.target).path
        if path == "/ping":
            self.probes += 1
            return 200, b"{}"
        self.ran.append(
            Ran(time.time(), self.number, request.headers.get("x-request-id", ""), path.split("/")[1])
        )
        await asyncio.sleep(self.service_s)
        if self.failing:
            return 500, b"{}"
        return 200, json.dumps({"node": self.number}).encode()


class Discovery:
    """Serve as the discovery service: the full endpoint list at each call, or when it changes."""

    def __init__(self) -> None:
        self.hosts: list[dict[str, object]] = []
        self.seq = 1
        self._changed = asyncio.Event()
        self.server = HttpStub(self._answer)

    def tell(self, hosts: list[dict[str, object]]) -> None:
        """Publish another endpoint list."""
        self.hosts = hosts
        self.seq += 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def _answer(self, request: Request) -> Response:
        query = parse_qs(urlsplit(request.target).query)
        after = int(query.get("after", ["0"])[0])
        if after == self.seq:
            wait = int(query.get("wait_ms", ["0"])[0]) / 1000
            try:
                await asyncio.wait_for(self._changed.wait(), wait)
            except TimeoutError:
                return 200, json.dumps({"seq": self.seq, "whole": False, "hosts": []}).encode()
        return 200, json.dumps({"seq": self.seq, "whole": True, "hosts": self.hosts}).encode()


@dataclass
class Asked:
    """Record the outcome of a request of a client."""

    at: float
    instance: int
    status: int  # 0: no answer


@dataclass
class TrialEnvironment:
    """Run ledger nodes, discovery, and clients that send requests to instances."""

    nodes: list[Any]  # Node, or LedgerNode
    discovery: Discovery = field(default_factory=Discovery)
    asked: list[Asked] = field(default_factory=list)

    @classmethod
    async def start(cls, nodes: int) -> TrialEnvironment:
        """Start plain nodes and discovery."""
        environment = cls([Node(number) for number in range(nodes)])
        for node in environment.nodes:
            await node.server.start()
        await environment.discovery.server.start()
        environment.list_all()
        return environment

    @classmethod
    async def start_ledgers(cls, nodes: int, window_s: float) -> TrialEnvironment:
        """Start recording ledger nodes, two to a cell, and discovery; keys are kept for `window_s`."""
        cells = [Cell(window_s) for _ in range((nodes + 1) // 2)]
        environment = cls([LedgerNode(number, cells[number // 2], number // 2) for number in range(nodes)])
        for node in environment.nodes:
            await node.server.start()
        await environment.discovery.server.start()
        environment.list_all()
        return environment

    def hosts(
        self, ports: Mapping[int, int] | None = None, born_ms: Mapping[int, float] | None = None
    ) -> list[dict[str, object]]:
        """Return the endpoint list.

        `ports` replaces the ports of nodes by number; `born_ms` gives when nodes started (Unix ms).
        """
        at = {node.number: node.server.port for node in self.nodes} | dict(ports or {})
        return [
            {
                "host": f"n{node.number}",
                "dial": f"127.0.0.1:{at[node.number]}",
                "site": "bilbao",
                "class": "toy",
                "block": getattr(node, "block", 0),
                "health": "active",
                "share": 1.0,
                "born_ms": (born_ms or {}).get(node.number, 0),
            }
            for node in self.nodes
        ]

    def list_all(self, born_ms: Mapping[int, float] | None = None) -> None:
        """Publish all nodes; `born_ms` gives when nodes started (Unix ms)."""
        self.discovery.tell(self.hosts(born_ms=born_ms))

    def stop(self) -> None:
        """Stop all servers."""
        for node in self.nodes:
            node.server.stop()
        self.discovery.server.stop()

    async def ask(self, instance: int, port: int, number: int, wait_s: float = 1.0) -> int:
        """Send one operation to an instance; return the status, 0 for no response."""
        status = 0
        began = time.time()
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), wait_s)
            try:
                writer.write(
                    b"GET /balance/7 HTTP/1.1\r\nHost: x\r\nX-Request-Id: t%d\r\nX-Deadline: %dm\r\n"
                    b"Connection: close\r\n\r\n" % (number, wait_s * 1000)
                )
                line = await asyncio.wait_for(reader.readline(), wait_s + 0.5)
                status = int(line.split()[1]) if line else 0
            finally:
                writer.transport.abort()
        except (OSError, TimeoutError, ValueError, IndexError):
            pass
        self.asked.append(Asked(began, instance, status))
        return status
