"""A coordinator on loopback in a thread: the real API over the real state, without replication."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from coveport.net.transport import Net
from coveport.serving.configuration.state import initial_state
from coveport.serving.configuration.state_machine import apply
from coveport.serving.coordinator.operator_api import OperatorApi
from coveport.serving.replication.state_machine import Applied
from coveport.serving.resource_budget import ResourceBudget
from coveport.serving.settings.boot import ProcessLimits
from coveport.serving.web.messages import ApiResponse, json_response
from coveport.serving.web.router import Router
from coveport.serving.web.server import MAX_CONFIGURATION_BYTES, HttpServer

HOST = "127.0.0.1"
STATUS = {
    "name": "core-1",
    "connected": True,
    "core": {
        "role": "primary",
        "epoch": 3,
        "primary": "10.0.0.1:7300",
        "replicas": ["10.0.0.2:7300"],
        "members": ["10.0.0.1:7300", "10.0.0.2:7300", "10.0.0.3:7300"],
    },
    "coordinators": ["10.0.0.3:7300", "10.0.0.4:7300"],
    "duties": {
        "phase": "holding",
        "fence": 12,
        "last_call": {"path": "/usage", "outcome": "accepted", "ago_s": 1.5},
        "fleet_orders": [
            {"service": "model", "zone": "hall", "wanted": 6},
            {"service": "model", "zone": "mill", "wanted": 2},
        ],
    },
    "proxies": [{"name": "p-1", "address": "10.0.1.1:80", "zone": "hall", "ready": True}],
    "nodes": [
        {
            "incarnation": "i-1",
            "service": "model",
            "address": "10.0.2.1:80",
            "zone": "hall",
            "state": "accepting",
            "silent_s": 0.4,
        }
    ],
}


class LoopbackCore:
    """A coordinator.

    `responses_lost`: number of further changes that are applied but answered with 503.
    """

    def __init__(self) -> None:
        self.state = initial_state()
        self.responses_lost = 0
        self.changes_sent = 0

    async def submit(self, command: bytes) -> ApiResponse:
        self.changes_sent += 1
        outcome = apply(self.state, command)
        self.state = outcome.state if isinstance(outcome, Applied) else self.state
        if self.responses_lost:
            self.responses_lost -= 1
            return json_response(503, {"Error": "unclear"})
        result = outcome.result
        return json_response(result.status, {"Error": [str(finding) for finding in result.findings]})

    async def read_configuration(self) -> ApiResponse:
        text = self.state.configuration_text
        return json_response(404, {"Error": "none yet"}) if text is None else ApiResponse(200, text)

    async def wait_for_disconnect(self) -> None:
        """Return at once: the clients of this core do not disconnect."""

    async def find_other_primary(self) -> str | None:
        return None

    def describe(self) -> dict[str, Any]:
        return STATUS


@contextmanager
def serving(core: LoopbackCore) -> Iterator[str]:
    """Serve the core, and yield its control address."""
    loop = asyncio.new_event_loop()
    net = Net(loop)
    router = Router(OperatorApi(core, 0, frozenset({"hall"})))
    budget = ResourceBudget(ProcessLimits().capacity, net.now_s)
    server = HttpServer(net, (HOST, 0), router.dispatch, budget, max_body_bytes=MAX_CONFIGURATION_BYTES)
    loop.run_until_complete(server.start())
    assert server._listening is not None
    port = server._listening.port
    thread = threading.Thread(target=loop.run_forever)
    thread.start()
    try:
        yield f"{HOST}:{port}"
    finally:
        loop.call_soon_threadsafe(server.stop)
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()
