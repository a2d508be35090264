"""Stand-ins for clients. They repeat nothing: each request is one try."""

from __future__ import annotations

import asyncio
import random
from collections import Counter

from rig_2.configuration import HOST
from rig_2.http import Address, BrokenError, ClientConnection, Message, write

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
