"""Open-loop load of one client, in simulated time or on real sockets."""

from __future__ import annotations

import asyncio
from random import Random

from coveport.net.transport import Net
from coveport.serving.simulation.client import Client, RequestKind


async def drive(
    net: Net, client: Client, kind: RequestKind, rate: float, until_s: float, rng: Random
) -> None:
    """Send requests as a Poisson process with `rate` per second; return when all of them have ended."""
    requests: set[asyncio.Task[bool]] = set()
    while True:
        interval_s = rng.expovariate(rate)
        if net.now_s() + interval_s >= until_s:
            break
        await asyncio.sleep(interval_s)
        task = asyncio.get_running_loop().create_task(client.send_request(kind))
        requests.add(task)
        task.add_done_callback(requests.discard)
    if requests:
        await asyncio.gather(*requests)
