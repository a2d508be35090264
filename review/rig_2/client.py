"""Stand-ins for clients. They repeat nothing: each request is one try."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter

from rig_2.configuration import HOST
from rig_2.deployment import BOUNDS, DIRECTORY, ZONES, Deployment
from rig_2.http import Address, BrokenError, ClientConnection, Message, call_once, write

NO_ANSWER = 0


class Client:
    """A client with one kept connection to a proxy, opened anew where it can't be used any more."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self._connection: ClientConnection | None = None

    async def send(self, prefix: str, attempt: str, body: bytes) -> Message | None:
        """Send a request; return its answer, None where none comes whole."""
        headers = {"Host": HOST, "Coveport-Try-Id": attempt, "Coveport-Time-Left": "5000"}
        request = write(f"POST {prefix}{attempt} HTTP/1.1", headers, body)
        try:
            if self._connection is None or not self._connection.is_usable:
                self.close()
                self._connection = await ClientConnection.open(self.address)
            return await self._connection.call(request)
        except (BrokenError, OSError, TimeoutError):
            return None

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()


def new_attempt() -> str:
    """Return the id of a new try."""
    return f"{random.getrandbits(64):016x}"


async def send_steadily(addresses: list[Address], prefix: str, rate_s: float, counts: Counter[int]) -> None:
    """Send `rate_s` requests a second, each by an idle client or a new one; count the answers by status."""
    idle: list[Client] = []
    tasks: set[asyncio.Task[None]] = set()

    async def send(client: Client) -> None:
        answer = await client.send(prefix, new_attempt(), b"lines\n")
        counts[NO_ANSWER if answer is None else answer.status] += 1
        idle.append(client)

    while True:
        address = random.choice(addresses)
        client = next((each for each in idle if each.address == address), None)
        if client is None:
            client = Client(address)
        else:
            idle.remove(client)
        task = asyncio.create_task(send(client))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1 / rate_s)


class Directory:
    """A client's look-ups: an answer is held for its TtlS, or for a multiple of it."""

    def __init__(self, deployment: Deployment, zone: str, ttl_factor: float) -> None:
        self._deployment = deployment
        self._zone = zone
        self._ttl_factor = ttl_factor
        self._addresses: list[Address] = []
        self._held_until_s = 0.0

    async def choose(self) -> Address | None:
        """Return one of the addresses that the directory named last; None before its first answer."""
        if time.monotonic() >= self._held_until_s:
            await self._look_up()
        return random.choice(self._addresses) if self._addresses else None

    async def _look_up(self) -> None:
        path = f"/coveport/lookup?Name={HOST}&Region={ZONES[self._zone]}&Zone={self._zone}"
        nearest_first = sorted(self._deployment.coordinators, key=lambda each: each.zone != self._zone)
        for program in nearest_first:
            answer = await call_once((program.ip, DIRECTORY), "GET", path)
            if answer is None or answer.status != 200:
                continue
            body = json.loads(answer.body)
            pairs = (address.rpartition(":") for address in body["Addresses"])
            self._addresses = [(host, int(port)) for host, _, port in pairs]
            ttl_s = min(body["TtlS"], BOUNDS["ttl_max_s"])
            self._held_until_s = time.monotonic() + ttl_s * self._ttl_factor
            return
