"""A stand-in for a server: registers, beats, and serves requests through a function of the case."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from rig_2.configuration import SERVICE
from rig_2.deployment import BEAT_MS, ZONES, Deployment
from rig_2.http import BrokenError, Message, call_control, read_body, read_head, write


@dataclass
class Arrival:
    """One request, and the connection that it came on."""

    request: Message
    writer: asyncio.StreamWriter
    kept: list[bytes]  # what a case keeps for this connection

    @property
    def attempt(self) -> str:
        """The id of the client's try."""
        return self.request.headers["coveport-try-id"]

    def serve(self, body: bytes) -> bytes:
        """Answer with success; return the bytes that were sent."""
        headers = {
            "Coveport-Try-Id": self.attempt,
            "Coveport-Postmark": f"s.{self.attempt}",
            "Keep-Alive": "timeout=5",
            "Content-Type": "text/plain",
        }
        return self._send(write("HTTP/1.1 200 OK", headers, body))

    def reject(self, status: int) -> bytes:
        """Say that the request did not run; return the bytes that were sent."""
        headers = {"Coveport-Try-Id": self.attempt, "Coveport-Not-Run": "1", "Keep-Alive": "timeout=5"}
        return self._send(write(f"HTTP/1.1 {status} Rejected", headers))

    def begin_stream(self) -> None:
        """Send the head of a stream of events."""
        lines = [
            "HTTP/1.1 200 OK",
            f"Coveport-Try-Id: {self.attempt}",
            f"Coveport-Postmark: s.{self.attempt}",
            "Keep-Alive: timeout=5",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    def send_event(self, number: int) -> None:
        """Send one event."""
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        if not self.writer.is_closing():
            self.writer.write(b"%x\r\n%b\r\n" % (len(event), event))

    def end_stream(self) -> None:
        """End the stream."""
        if not self.writer.is_closing():
            self.writer.write(b"0\r\n\r\n")

    def _send(self, answer: bytes) -> bytes:
        self.writer.write(answer)
        return answer


Serve = Callable[[Arrival], Awaitable[None]]


class Node:
    """One incarnation of a server."""

    def __init__(self, deployment: Deployment, number: int, zone: str, serve: Serve, berths: int) -> None:
        self.zone = zone
        self.incarnation = f"i-{random.getrandbits(32):08x}"
        self._deployment = deployment
        self._address = deployment.node_address(number)
        self._serve = serve
        self._berths = berths
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._open: set[asyncio.StreamWriter] = set()  # connections
        self._busy: set[asyncio.StreamWriter] = set()  # those with a request at work

    async def start(self) -> None:
        """Serve, and beat."""
        self._server = await asyncio.start_server(self._accept, *self._address, backlog=512)
        self._beats = asyncio.create_task(self._beat())

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        kept: list[bytes] = []
        self._open.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request, is_response=False)
                await self._handle(Arrival(request, writer, kept))
        except (BrokenError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _handle(self, arrival: Arrival) -> None:
        if arrival.request.headers.get("coveport-addressee") not in (None, self.incarnation):
            arrival.reject(421)
            return
        self._busy.add(arrival.writer)
        try:
            await self._serve(arrival)
            await arrival.writer.drain()
        finally:
            self._busy.discard(arrival.writer)

    # Registration.

    @property
    def path(self) -> str:
        """The path of this incarnation's calls."""
        return f"/coveport/nodes/{self.incarnation}"

    def cold_left_ms(self) -> int:
        """Return how much longer the node is cold."""
        return 0

    def heartbeat(self) -> bytes:
        """Return the body of the next beat."""
        self._sequence += 1
        body = {
            "Service": SERVICE,
            "Address": f"{self._address[0]}:{self._address[1]}",
            "Zone": self.zone,
            "Edition": "v1",
            "Berths": self._berths,
            "State": "accepting",
            "ColdLeftMs": self.cold_left_ms(),
            "CallSeq": self._sequence,
        }
        return json.dumps(body).encode()

    async def before_beat(self) -> None:
        """Wait before a beat; a case may make one late."""

    async def _beat(self) -> None:
        own = list(ZONES).index(self.zone)
        control = self._deployment.control
        nearest_first = [control[own], *control[:own], *control[own + 1 :]]
        while True:
            await self.before_beat()
            headers = {"Content-Type": "application/json"}
            answer = await call_control(nearest_first, "PUT", self.path, headers, self.heartbeat())
            await asyncio.sleep(BEAT_MS / 1000 if answer is not None else 0.2)

    async def say_goodbye(self) -> int:
        """Send DELETE to the coordinators in turn until it is acknowledged; return the status."""
        return await self._deployment.order("DELETE", self.path)

    # Ends.

    def stop_beats(self) -> None:
        """Send no further beat."""
        if self._beats is not None:
            self._beats.cancel()

    def end(self) -> int:
        """End and close all connections; return how many of them had a request at work."""
        busy_count = len(self._busy)
        for writer in list(self._open):
            writer.transport.abort()
        self.stop_beats()
        if self._server is not None:
            self._server.close()
        return busy_count
