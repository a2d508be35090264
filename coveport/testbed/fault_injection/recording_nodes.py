"""Run ledger nodes that record what they ran and clients that retry, and compare the two.

The records of the nodes are the evidence: no instance writes them. A node drops duplicates of a key by the
table of its cell, within the window from the arrival of the first one, as PROTOCOL has it.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from coveport.testbed.fault_injection.http_stub import HttpStub, Request, Response
from coveport.testbed.fault_injection.judge import Finding

CLASSES = {"balance": "safe", "earn": "keyed", "redeem": "unsafe"}


@dataclass(slots=True)
class Ran:
    """Record an operation that a node ran, or dropped as a duplicate."""

    at: float
    node: int
    cls: str
    key: str  # of the operation, as the client has it: in its body
    id: str
    repeat: bool  # dropped: the response to the first was sent again


@dataclass
class Cell:
    """Hold what the nodes of one cell share: keys and the responses to them."""

    window_s: float
    seen: dict[str, tuple[float, bytes]] = field(default_factory=dict)  # arrival of the first, its response


class LedgerNode:
    """Serve as a ledger node: run each complete operation, and respond after `service_s`."""

    def __init__(self, number: int, cell: Cell, block: int, service_s: float = 0.01) -> None:
        self.number = number
        self.cell = cell
        self.block = block
        self.service_s = service_s
        self.ran: list[Ran] = []
        self.probes = 0
        self.mute = False  # it runs operations and sends no response
        self.server = HttpStub(self._answer)

    async def _answer(self, request: Request) -> Response:
        path = urlsplit(request.target).path
        if path == "/ping":
            self.probes += 1
            return 200, b"{}"
        cls = path.split("/")[1]
        told = json.loads(request.body or b"{}")
        key, now = str(told.get("key", "")), time.monotonic()
        dedupe = request.headers.get("idempotency-key", "")
        first = self.cell.seen.get(dedupe) if CLASSES.get(cls) == "keyed" else None
        repeat = first is not None and now - first[0] < self.cell.window_s
        self.ran.append(Ran(now, self.number, cls, key, request.headers.get("x-request-id", ""), repeat))
        body = json.dumps({"node": self.number, "key": key, "run": len(self.ran)}).encode()
        if repeat and first is not None:
            body = first[1]
        elif CLASSES.get(cls) == "keyed":
            self.cell.seen[dedupe] = (now, body)
        await asyncio.sleep(self.service_s)
        if self.mute:
            await asyncio.sleep(3600)
        return 200, body


@dataclass(slots=True)
class Asked:
    """Record a request of a client and the response to it."""

    at: float
    instance: int
    cls: str
    key: str
    id: str
    status: int  # 0: no response
    body: bytes = b""
    retry_after: float | None = None
    took_s: float = 0.0


@dataclass
class Tills:
    """Send operations to instances, and record the responses."""

    asked: list[Asked] = field(default_factory=list)
    _count: int = 0

    async def ask(
        self,
        instance: int,
        port: int,
        cls: str,
        key: str,
        *,
        wait_s: float = 1.0,
        body: bytes | None = None,
        keyed: bool | None = None,
        again: bool = False,
    ) -> Asked:
        """Send one operation to an instance.

        `key` identifies it, and is sent as Idempotency-Key where `keyed`; `again` marks a retry. Waits
        `wait_s` for the connection, and a second more for the response.
        """
        self._count += 1
        identity = f"t{self._count}"
        one = Asked(time.monotonic(), instance, cls, key, identity, 0)
        data = json.dumps({"key": key}).encode() if body is None else body
        lines = [
            f"POST /{cls}/7 HTTP/1.1",
            "Host: x",
            f"X-Request-Id: {identity}",
            f"X-Deadline: {wait_s * 1000:.0f}m",
            f"Content-Length: {len(data)}",
            "Connection: close",
        ]
        if CLASSES[cls] == "keyed" if keyed is None else keyed:
            lines.append(f"Idempotency-Key: {key}")
        if again:
            lines.append("X-Retry: 1")
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), wait_s)
            try:
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
                whole = await asyncio.wait_for(reader.read(-1), wait_s + 1.0)
                head, _, one.body = whole.partition(b"\r\n\r\n")
                one.status = int(head.split()[1]) if head else 0
                for line in head.decode("latin-1").split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    if name.lower() == "retry-after":
                        one.retry_after = float(value)
            finally:
                writer.transport.abort()
        except (OSError, TimeoutError, ValueError, IndexError):
            pass
        one.took_s = time.monotonic() - one.at
        self.asked.append(one)
        return one


def judge(
    asked: Iterable[Asked],
    ran: Iterable[Ran],
    ends: Mapping[str, str] | None = None,
    unrecorded: frozenset[str] = frozenset(),
) -> list[Finding]:
    """Compare what clients saw with what nodes ran, operation by operation.

    `ends` gives the final status of the record of each operation, by key. `unrecorded` are keys that were
    served while the store was unavailable, for which nothing is guaranteed.
    """
    asked, found = list(asked), list[Finding]()
    runs: dict[str, list[Ran]] = {}
    for one in ran:
        runs.setdefault(one.key, []).append(one)
    for key, mine in runs.items():
        whole = [one for one in mine if not one.repeat]
        if len(whole) > 1 and key not in unrecorded:
            found.append(Finding("twice", whole[1].at, f"{mine[0].cls} {key} ran {len(whole)} times"))
        if len(mine) > 1 and mine[0].cls == "redeem" and key not in unrecorded:
            found.append(Finding("twice", mine[1].at, f"redeem {key} was sent {len(mine)} times"))
    for till in asked:
        mine = runs.get(till.key, [])
        if till.status == 200:
            made = [one for one in mine if one.cls == till.cls]
            told = json.loads(till.body or b"{}")
            by = {one.node for one in made}
            if str(told.get("key")) != till.key or told.get("node") not in by:
                found.append(Finding("answer", till.at, f"{till.key}: no node made {till.body!r}"))
    for key, end in (ends or {}).items():
        whole = [one for one in runs.get(key, []) if not one.repeat]
        if end in ("never-run", "refused") and whole:
            found.append(Finding("never-run", whole[0].at, f"{key} is told as {end}, and it ran"))
        if end == "served" and not whole:
            found.append(Finding("served", 0.0, f"{key} is told as served, and no node ran it"))
    return found
