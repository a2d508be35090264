"""Kept connections keep the size limits of the configuration under which they were opened."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig_2.client import NO_ANSWER, Client, new_attempt
from rig_2.configuration import configuration, route
from rig_2.deployment import CONFIG_APPLY_S, ZONES, Deployment
from rig_2.node import Arrival, Node
from rig_2.runner import Record, has_trouble, run_case, running

PROXIES = 6
CONNECTIONS = 5  # kept connections to each proxy
REST_S = 2.0  # between two requests on a connection: well inside of IdleMs
SMALL_ROUNDS = 3  # of small requests, before the change and after it
OLD_LIMIT, NEW_LIMIT = 64 * 1024, 1024 * 1024
SMALL_BODY, LARGE_BODY = b"x" * 1000, b"x" * 200 * 1024
PREFIX = "/review/"
BERTHS = 64
DENIED_SLACK, DENIED_RATIO = 5, 1 / 500
TOO_LARGE = 413


async def serve(arrival: Arrival) -> None:
    """Serve a request at once."""
    arrival.serve(b"%d bytes\n" % len(arrival.request.body))


async def send_all(record: Record, clients: list[Client], body: bytes) -> list[int]:
    """Send one request on every connection; return the statuses."""

    async def send(client: Client) -> int:
        answer = await client.send(PREFIX, new_attempt(), body)
        status = NO_ANSWER if answer is None else answer.status
        record.write(f"client at {client.address[0]}: {len(body)} bytes are answered {status}")
        return status

    return await asyncio.gather(*(send(client) for client in clients))


async def send_small(record: Record, clients: list[Client]) -> None:
    """Use the kept connections for a while."""
    for _ in range(SMALL_ROUNDS):
        await send_all(record, clients, SMALL_BODY)
        await asyncio.sleep(REST_S)


async def case(record: Record) -> list[str]:
    """Play the case and return the breaks."""
    deployment = Deployment(PROXIES)
    nodes = [Node(deployment, at, zone, serve, BERTHS) for at, zone in enumerate(ZONES)]
    first_limit = OLD_LIMIT if has_trouble() else NEW_LIMIT
    async with running(deployment, nodes):
        first = configuration(route(PREFIX), limits={"MaxBodyBytes": first_limit})
        await deployment.configure(0, first)
        await deployment.wait_until_in_touch()
        clients = [Client(front) for front in deployment.fronts() for _ in range(CONNECTIONS)]
        await send_small(record, clients)
        if has_trouble():
            await deployment.configure(
                1, configuration(route(PREFIX), edition=3, limits={"MaxBodyBytes": NEW_LIMIT})
            )
            record.write(f"operator: edition 3 is acknowledged; MaxBodyBytes {OLD_LIMIT} -> {NEW_LIMIT}")
        await send_small(record, clients)
        assert SMALL_ROUNDS * REST_S > CONFIG_APPLY_S + 1.0
        opened = await send_all(record, [Client(client.address) for client in clients], LARGE_BODY)
        kept = await send_all(record, clients, LARGE_BODY)
    refused_count = kept.count(TOO_LARGE)
    sent_count = 2 * SMALL_ROUNDS * len(clients) + len(kept) + len(opened)
    denied_bound = DENIED_SLACK + DENIED_RATIO * sent_count
    on_new = f"{opened.count(200)} of {len(opened)} on new connections got 200"
    record.write(f"413 on kept connections: {refused_count} of {len(kept)}; {on_new}")
    breaks = []
    if refused_count:
        breaks.append(
            f"CONFIG: {refused_count} of {len(kept)} requests got 413 by edition 1's limit; {on_new}"
        )
    if refused_count > denied_bound:
        breaks.append(f"DENIED: {refused_count} of {sent_count} requests, the bound is {denied_bound:.1f}")
    return breaks


if __name__ == "__main__":
    run_case(__file__, case)
