"""A sound server (a sidecar of a service): berths, a short queue, heartbeats; answers as the pages say."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections.abc import Callable

from stand_ins.deployment import BEAT_MS, REGIONS, Deployment, Record
from stand_ins.http import MAX_LINE_BYTES, ClientConnection, Message, read_message, write_message

QUEUED_MOST = 1  # requests that wait for a berth; beyond that the server is full


class Server:
    """One incarnation of a server. `work_s` gives the time that a request runs, by its path."""

    def __init__(
        self, deployment: Deployment, at: int, service: str, berths: int, work_s: Callable[[str], float],
        record: Record,
    ) -> None:  # fmt: skip
        self.instance = f"i-{random.getrandbits(32):08x}"
        self.runs: dict[str, int] = {}  # how often each request has run, by its id
        self.answers = 0
        self.record = record
        self._deployment = deployment
        self._zone = deployment.zones[at]
        self._address = deployment.ip("node", at), deployment.ports["node"]
        self._service = service
        self._berths = berths
        self._slots = asyncio.Semaphore(berths)
        self._taken = 0  # requests that run or wait
        self._work_s = work_s
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve, and register."""
        self._server = await asyncio.start_server(self._serve, *self._address, limit=MAX_LINE_BYTES)
        self._beats = asyncio.create_task(self._beat())
        self.record.write(f"server {self.instance} of {self._service} serves in {REGIONS[self._zone]}")

    async def stop(self) -> None:
        """End."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    async def _beat(self) -> None:
        while True:
            await self.report()
            await asyncio.sleep(BEAT_MS / 1000)

    async def report(self, first: tuple[str, int] | None = None) -> None:
        """Send a heartbeat, to one coordinator after the other until one acknowledges it."""
        for address in (*([first] if first else []), *self._deployment.control_addresses):
            self._sequence += 1
            if await self._report_to(address):
                return

    def stop_reporting(self) -> None:
        """Send no further heartbeat; serve on."""
        if self._beats is not None:
            self._beats.cancel()

    async def deregister(self) -> bool:
        """Say that this server leaves; return whether that was acknowledged."""
        for address in self._deployment.control_addresses:
            connection = ClientConnection(address)
            start = f"DELETE /coveport/nodes/{self.instance} HTTP/1.1"
            answer = await connection.call(start, {"Host": "core"}, timeout_s=1.0)
            connection.close()
            if isinstance(answer, Message) and answer.status == 200:
                return True
        return False

    async def _report_to(self, address: tuple[str, int]) -> bool:
        body = {
            "Service": self._service, "Address": "{}:{}".format(*self._address), "Zone": self._zone,
            "Edition": "v1", "Berths": self._berths, "State": "accepting", "ColdLeftMs": 0,
            "CallSeq": self._sequence,
        }  # fmt: skip
        connection = ClientConnection(address)
        start = f"PUT /coveport/nodes/{self.instance} HTTP/1.1"
        headers = {"Host": "core", "Content-Type": "application/json"}
        answer = await connection.call(start, headers, json.dumps(body).encode(), timeout_s=1.0)
        connection.close()
        return isinstance(answer, Message) and answer.status == 200

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # A cancellation is the end of the case: asyncio's streams would report it as a fault.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                await self.answer(request, writer)
                await writer.drain()
        writer.close()

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        writer.write(await self.respond(request))

    async def respond(self, request: Message) -> bytes:
        """Run a request, or turn it away; return the answer."""
        method, path, _ = request.start.split(" ")
        if path == "/health":
            return write_message("HTTP/1.1 200 OK", {"Coveport-Instance": self.instance})
        self.answers += 1
        attempt = request.headers.get("coveport-try-id", "")
        echo = {"Coveport-Try-Id": attempt}
        if request.headers.get("coveport-addressee", self.instance) != self.instance:
            return write_message("HTTP/1.1 421 Misdirected Request", {**echo, "Coveport-Not-Run": "1"})
        if self._taken >= self._berths + QUEUED_MOST:
            self.record.write(f"server {self.instance} turns {attempt} away: it is full")
            return write_message("HTTP/1.1 503 Service Unavailable", {**echo, "Coveport-Not-Run": "1"})
        self._taken += 1
        try:
            async with self._slots:
                self.runs[attempt] = self.runs.get(attempt, 0) + 1
                self.record.write(f"server {self.instance} runs {attempt} {method} {path}")
                await asyncio.sleep(self._work_s(path))
        finally:
            self._taken -= 1
        stamp = f"{self.instance}.{attempt}"
        headers = {**echo, "Coveport-Postmark": stamp}
        return write_message("HTTP/1.1 200 OK", headers, b"done " + stamp.encode())
