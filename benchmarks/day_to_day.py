"""Day-to-day service on real sockets: a small operation's cost, how soon INFO answers, what long bodies hold.

    python -m benchmarks.day_to_day cost --beside DIR    CPU of an ordinary small operation, side by side
    python -m benchmarks.day_to_day info                 answer time of INFO at full load
    python -m benchmarks.day_to_day memory               peak memory, many long answers at once

`cost`: sidecars of this checkout and of another one are asked in turn, the same number of operations each, by
the same clients; their own CPU time is read from the system. Sought: not up by more than 5%. `info`: kept
clients ask as fast as they are answered, which takes all that one core gives; sought: each answer within 1 s.
`memory`: readers take an answer of 32 MB each at a fixed pace, many times as much as the process may hold;
sought: the limit told, minus a tenth. Ends with 1 where what is sought was not reached.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from pathlib import Path

from benchmarks.common import ROOT, machine, table

CLIENTS, OPERATIONS, ROUNDS = 16, 4000, 11
INFO_S, INFO_CALLS = 8.0, 200
READERS, LONG, PACE = 64, 32_000_000, 4_000_000  # clients; bytes of an answer; bytes a second that each reads
MEMORY_MB = 80
TICK = os.sysconf("SC_CLK_TCK")


def free_port() -> int:
    """One that nobody listens at."""
    with socket.create_server(("127.0.0.1", 0)) as one:
        port: int = one.getsockname()[1]
        return port


async def head(reader: asyncio.StreamReader) -> tuple[str, int]:
    """A message's first line, and the length of its body, which is left unread."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    lengths = [int(line.partition(":")[2]) for line in lines if line.lower().startswith("content-length:")]
    return lines[0], lengths[0] if lengths else 0


class Around:
    """A ledger node and a discovery, in this process."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.servers = list[asyncio.Server]()

    async def start(self) -> tuple[int, int]:
        """Their ports."""
        for handle in (self._node, self._discovery):
            self.servers.append(await asyncio.start_server(handle, "127.0.0.1", 0))
        node, discovery = (one.sockets[0].getsockname()[1] for one in self.servers)
        self.listed = json.dumps(
            {
                "seq": 1,
                "whole": True,
                "hosts": [
                    {
                        "host": "s-0",
                        "dial": f"127.0.0.1:{node}",
                        "site": "a",
                        "class": "m",
                        "block": 1,
                        "health": "active",
                        "share": 1.0,
                        "born_ms": 0,
                    }
                ],
            }
        ).encode()
        return node, discovery

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body: bytes) -> None:
        # A handler that is cancelled at the end would have that told as a fault.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                line, size = await head(reader)
                await reader.readexactly(size)
                if "wait_ms=" in line and not line.endswith("wait_ms=0"):
                    await asyncio.sleep(2)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        writer.close()

    async def _node(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._serve(reader, writer, self.body)

    async def _discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._serve(reader, writer, self.listed)


@dataclass
class Sidecar:
    """A process, and where clients and staff reach it."""

    process: subprocess.Popen[bytes]
    port: int
    staff: int

    def cpu_s(self) -> float:
        """CPU time that it has used."""
        parts = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(parts[11]) + int(parts[12])) / TICK

    def peak_mb(self) -> float:
        """The most memory that it ever held."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("VmHWM")) / 1024

    async def ask_staff(self, line: bytes) -> bytes:
        """What the console answers."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.staff)
        writer.write(line)
        told = await reader.read()
        writer.close()
        return told


@contextlib.asynccontextmanager
async def sidecar(checkout: Path, discovery: int, cpu: int | None = None) -> AsyncIterator[Sidecar]:
    """A sidecar of a checkout, serving; `cpu`: the one core that it runs on."""
    port, staff = free_port(), free_port()
    classes = [
        {"name": "balance", "aim_ms": 20_000, "deadline_ms": 60_000, "gain": 1, "semantics": "idempotent"}
    ]
    told = {
        "name": "n0",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "1",
        "console": f"127.0.0.1:{staff}",
        "limits": {"cores": 1, "memory_mb": MEMORY_MB, "sockets": 1024},
        "settings": {
            "classes": classes,
            "limits": {"cancel": True, "most_tries": 3},
            "round_ms": 1,
            "localities": ["a"],
            "zone": 0,
            "registry_mode": "automatic",
        },
    }
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(told))
        process = subprocess.Popen(
            [sys.executable, "-m", "coveport"],
            cwd=checkout,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "LB_CONFIG": str(config), "PYTHONPATH": str(checkout)},
            preexec_fn=(lambda: os.sched_setaffinity(0, {cpu})) if cpu is not None else None,
        )
        try:
            for _ in range(200):
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                    line, _ = await head(reader)
                    writer.close()
                    if " 200 " in line:
                        break
                await asyncio.sleep(0.05)
            yield Sidecar(process, port, staff)
        finally:
            process.kill()
            process.wait()


async def ask(port: int, often: Callable[[], bool], number: int, pace: float = 0.0) -> None:
    """Ask on one connection as long as `often` says so; `pace`: bytes a second that are read, 0: at once."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 16)
    count = 0
    while often():
        count += 1
        writer.write(
            b"GET /balance HTTP/1.1\r\nHost: a\r\nX-Request-Id: %d-%d\r\nX-Deadline: 60000m\r\n\r\n"
            % (number, count)
        )
        line, size = await head(reader)
        assert " 200 " in line, line
        while size:
            data = await reader.read(min(size, 1 << 16))
            assert data, "cut off"
            size -= len(data)
            if pace:
                await asyncio.sleep(len(data) / pace)
    writer.close()


def limited(most: int) -> Callable[[], bool]:
    """Says yes so often, to all that ask it together."""
    left = iter(range(most))
    return lambda: next(left, None) is not None


async def cost(beside: Path) -> bool:
    """An ordinary small operation, side by side."""
    around = Around(b"x" * 200)
    _, discovery = await around.start()
    rows, ratios = [], list[float]()
    cores = sorted(os.sched_getaffinity(0))
    os.sched_setaffinity(0, set(cores[:-1]))  # the last one is the sidecars': they run one after the other
    async with sidecar(ROOT, discovery, cores[-1]) as ours, sidecar(beside, discovery, cores[-1]) as theirs:
        for turn in range(ROUNDS + 1):
            used = []
            for one in (ours, theirs) if turn % 2 else (theirs, ours):
                before, often = one.cpu_s(), limited(OPERATIONS)
                await asyncio.gather(*(ask(one.port, often, turn * 100 + at) for at in range(CLIENTS)))
                used.append((one is ours, (one.cpu_s() - before) / OPERATIONS * 1e6))
            mine, other = dict(used)[True], dict(used)[False]
            if turn:  # the first one warms up
                ratios.append(mine / other)
                rows.append([str(turn), f"{mine:.0f}", f"{other:.0f}", f"{mine / other:.3f}"])
    print(table(["round", "here, us", "beside, us", "ratio"], rows))
    middle = statistics.median(ratios)
    print(f"\nmedian ratio {middle:.3f}, {min(ratios):.3f} to {max(ratios):.3f}; 1.05 at the most is sought")
    return middle <= 1.05


async def info() -> bool:
    """INFO at full load."""
    around = Around(b"x" * 200)
    _, discovery = await around.start()
    async with sidecar(ROOT, discovery) as one:
        end = time.monotonic() + INFO_S
        load = [
            asyncio.create_task(ask(one.port, lambda: time.monotonic() < end, client))
            for client in range(4 * CLIENTS)
        ]
        silent = [await asyncio.open_connection("127.0.0.1", one.staff) for _ in range(8)]
        await asyncio.sleep(1)
        took, before, began = list[float](), one.cpu_s(), time.monotonic()
        for _ in range(INFO_CALLS):
            asked = time.monotonic()
            assert (await one.ask_staff(b"INFO\n")).endswith(b"--\n")
            took.append(1000 * (time.monotonic() - asked))
        share = (one.cpu_s() - before) / (time.monotonic() - began)
        await asyncio.gather(*load)
        for _, writer in silent:
            writer.close()
    took.sort()
    print(
        f"{INFO_CALLS} calls of INFO while {4 * CLIENTS} clients ask without a pause (CPU {share:.2f} of a "
        f"core): median {statistics.median(took):.1f} ms, 99% {took[int(len(took) * 0.99)]:.1f} ms, "
        f"most {took[-1]:.1f} ms"
    )
    return took[-1] < 1000


async def memory() -> bool:
    """Many long answers at once."""
    around = Around(b"x" * LONG)
    _, discovery = await around.start()
    async with sidecar(ROOT, discovery) as one:
        before = one.peak_mb()
        often = limited(READERS)
        await asyncio.gather(*(ask(one.port, often, client, PACE) for client in range(READERS)))
        peak = one.peak_mb()
    print(
        f"{READERS} answers of {LONG / 1e6:.0f} MB at once ({READERS * LONG / 1e6:.0f} MB offered), each "
        f"read at {PACE / 1e6:.0f} MB/s: peak {peak:.0f} MB, {before:.0f} MB before them, "
        f"{MEMORY_MB} MB allowed"
    )
    return peak < 0.9 * MEMORY_MB


def main() -> int:
    """Measure one thing; 1 where what is sought was not reached."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("what", choices=["cost", "info", "memory"])
    parser.add_argument("--beside", type=Path, help="another checkout, for `cost`")
    told = parser.parse_args()
    print(machine(), "\n")
    if told.what == "cost":
        if told.beside is None:
            parser.error("cost wants --beside, the checkout to hold this one against")
        return int(not asyncio.run(cost(told.beside.resolve())))
    return int(not asyncio.run(info() if told.what == "info" else memory()))


if __name__ == "__main__":
    sys.exit(main())
