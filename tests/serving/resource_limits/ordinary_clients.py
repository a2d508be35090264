"""Ordinary clients of each port: one request on a new connection, and requests on a kept connection."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum

from small_deployment import CALL_TIMEOUT_S, HOST, LoweredLimits, SmallDeployment

from coveport import http1
from coveport.net.address import Address
from coveport.serving.simulation.exchange import CallerConnection, ConnectionBrokenError, dial
from coveport.serving.wire.names import Path as WirePath

PROMISES = frozenset({408, 429, 503})  # "the request has not run and never will"
TRIES = 10  # "clients retry a few times"; each waits for as long as the response says
NO_ADVICE_S = 0.2  # wait after a rejection without Retry-After, or after a closed connection
SMALL_BODY_BYTES = 1024
LOOKUP = f"{WirePath.LOOKUP}?Name={HOST}&Region=asturias&Zone=gijon"


class Target(Enum):
    """The ports of both roles that callers reach."""

    CLIENTS = "the proxy's port for clients"
    READINESS = "the proxy's port for the platform"
    LOOKUPS = "the coordinator's port for clients"
    CONTROL = "the coordinator's port for operators and nodes"
    INNER = "the coordinator's port for the system's own processes; ordinary clients look up proxies"

    def address(self, deployment: SmallDeployment) -> Address:
        """Return the address to which the crowd connects."""
        return deployment.inner if self is Target.INNER else self.ordinary_address(deployment)

    def ordinary_address(self, deployment: SmallDeployment) -> Address:
        """Return the address to which ordinary clients connect."""
        addresses = {
            Target.CLIENTS: deployment.clients,
            Target.READINESS: deployment.readiness,
            Target.LOOKUPS: deployment.lookups,
            Target.CONTROL: deployment.control,
            Target.INNER: deployment.lookups,
        }
        return addresses[self]

    @property
    def path(self) -> str:
        """The path to which bodies are sent."""
        return "/echo/x" if self is Target.CLIENTS else WirePath.CONFIG

    def ordinary_body_bytes(self, limits: LoweredLimits) -> tuple[int, ...]:
        """Return the lengths of the bodies of ordinary requests: without one, small, and the largest."""
        if self is Target.CLIENTS:
            return 0, SMALL_BODY_BYTES, limits.clients.body_bytes
        return (0,)

    def ordinary_request(self, body_bytes: int) -> bytes:
        """Return an ordinary request."""
        if self is Target.CLIENTS:
            headers = [("Host", HOST), ("Coveport-Try-Id", "o")]
            return http1.write_request("POST", "/echo/x", headers, bytes(body_bytes))
        targets = {
            Target.READINESS: WirePath.READY,
            Target.LOOKUPS: LOOKUP,
            Target.INNER: LOOKUP,
            Target.CONTROL: WirePath.CONFIG,
        }
        return http1.write_request("GET", targets[self], [("Host", HOST)])


async def ordinary_answer(
    deployment: SmallDeployment, target: Target, body_bytes: int, tries: int = TRIES
) -> int:
    """Send an ordinary request, again after a rejection or a close; return the last status, 0 for none."""
    request = target.ordinary_request(body_bytes)
    status = 0
    for _ in range(tries):
        status, wait_s = await _send_once(deployment, target, request, body_bytes)
        if status not in PROMISES and status != 0:
            break
        await asyncio.sleep(wait_s)
    return status


async def _send_once(
    deployment: SmallDeployment, target: Target, request: bytes, body_bytes: int
) -> tuple[int, float]:
    """Return the status, 0 if the connection was closed, and the wait before the next try in seconds."""
    connection = None
    try:
        async with asyncio.timeout(CALL_TIMEOUT_S):
            connection = await dial(deployment.net, target.ordinary_address(deployment))
            connection.send(request)
            answer = await connection.head()
            body = await connection.body()
    except ConnectionBrokenError:
        return 0, NO_ADVICE_S
    finally:
        if connection is not None:
            connection.close()
    if answer.status == 200 and target is Target.CLIENTS:
        assert body == bytes(body_bytes)
    return answer.status, float(answer.get("retry-after") or NO_ADVICE_S)


@dataclass(slots=True)
class KeptConnection:
    """A connection of an ordinary client that is used again and again."""

    deployment: SmallDeployment
    target: Target
    connection: CallerConnection

    @classmethod
    async def open(cls, deployment: SmallDeployment, target: Target) -> KeptConnection:
        """Open the connection."""
        return cls(deployment, target, await dial(deployment.net, target.ordinary_address(deployment)))

    async def check(self, tries: int = TRIES) -> None:
        """Send a request: it is served or rejected with a promise; a closed connection is opened again."""
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                if not self.connection.is_open:
                    address = self.target.ordinary_address(self.deployment)
                    self.connection = await dial(self.deployment.net, address)
                self.connection.send(self.target.ordinary_request(0))
                answer = await self.connection.head()
                await self.connection.body()
                assert answer.status == 200 or answer.status in PROMISES, answer.status
        except ConnectionBrokenError:
            assert await ordinary_answer(self.deployment, self.target, 0, tries) == 200
