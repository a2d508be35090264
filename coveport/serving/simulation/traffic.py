"""Requests of many clients over a time, in simulated worlds and on real sockets alike."""

from __future__ import annotations

import asyncio
from random import Random

from coveport.net.transport import Net
from coveport.serving.simulation.client import Client, RequestKind


async def drive(
    net: Net, client: Client, kind: RequestKind, rate: float, until_s: float, chance: Random
) -> None:
    """Have a client ask at random moments, so many times a second on average; returns when all have ended."""
    asked: set[asyncio.Task[bool]] = set()
    while True:
        pause_s = chance.expovariate(rate)
        if net.now_s() + pause_s >= until_s:
            break
        await asyncio.sleep(pause_s)
        task = asyncio.get_running_loop().create_task(client.ask(kind))
        asked.add(task)
        task.add_done_callback(asked.discard)
    if asked:
        await asyncio.gather(*asked)
