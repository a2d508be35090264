"""A supervised fleet on real ground: `coveport fleet run`, its instances, nodes with books, and tills."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from coveport.sidecar.supervisor import locks
from coveport.sidecar.supervisor.control import call
from coveport.testbed.fault_injection.environment import Town
from coveport.testbed.fault_injection.real import SETTINGS, TrialError

UP_S = 60.0  # for what takes a second or two on a machine with nothing else to do


class FleetTrialReal:
    """Supervisors, instances and a town; use as an async context."""

    def __init__(
        self,
        folder: Path,
        instances: int,
        *,
        nodes: int = 4,
        told: Mapping[str, Any] | None = None,
        more: str = "",
    ) -> None:
        """`told`: keys of `[fleet]` beside the usual ones. `more`: further sections of the file."""
        self.folder = folder
        self.count = instances
        self._nodes = nodes
        self._more = more
        self._told = {
            "hold_s": 0.3,
            "hung_s": 3.0,
            "at_once": 8,
            "a_second": 40.0,
            "backoff_s": 0.1,
            "stop_s": 8.0,
            **(told or {}),
        }
        self.supervisors: list[subprocess.Popen[bytes]] = []
        self.statuses: list[int] = []

    async def __aenter__(self) -> FleetTrialReal:
        self.town = await Town.start_ledgers(self._nodes, 6.0)
        self.configure()
        return self

    async def __aexit__(self, *_: object) -> None:
        for one in self.supervisors:
            if one.poll() is None:
                one.kill()  # a stopped one ends by it too
                one.wait()
        for life in locks.locked_names(self.folder / "fleet").values():
            with contextlib.suppress(ProcessLookupError):
                os.kill(locks.pid_of(life), signal.SIGKILL)
        self.town.stop()

    @property
    def file(self) -> Path:
        """The operator's file."""
        return self.folder / "fleet.toml"

    def configure(self, platform: str | None = None) -> None:
        """Write the files. `platform`: what stands in the platform's in the place of what is right."""
        if not hasattr(self, "port"):
            self.port = _ports(max(64, 2 * self.count))
        (self.folder / "platform.json").write_text(
            platform
            if platform is not None
            else json.dumps(
                {
                    "name": "x",
                    "listen": "127.0.0.1:1",
                    "seed": "7",
                    "discovery": f"127.0.0.1:{self.town.discovery.stand.port}",
                    "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
                    "known": {"seq": 0, "whole": True, "hosts": []},
                    "settings": SETTINGS,
                }
            )
        )
        told = {"name": "h", "instances": self.count, "listen": f"127.0.0.1:{self.port}", **self._told}
        self.file.write_text(
            '[instance]\nplatform = "platform.json"\n[store]\nurl = "sqlite:store.db"\n'
            "[leases]\nttl = 1.0\nmargin = 0.1\n"
            + self._more
            + "[fleet]\n"
            + "".join(f"{key} = {json.dumps(value)}\n" for key, value in told.items())
        )

    def supervise(self, *options: str) -> subprocess.Popen[bytes]:
        """A further supervisor."""
        with open(self.folder / "supervisors.out", "ab") as out:
            one = subprocess.Popen(
                [sys.executable, "-m", "coveport", "fleet", "run", str(self.file), *options],
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
            )
        self.supervisors.append(one)
        return one

    async def ask(self, do: str, **words: Any) -> dict[str, Any]:
        """Ask the supervisor; an empty answer where there is none."""
        try:
            return await asyncio.to_thread(
                call,
                self.folder / "fleet" / "control.sock",
                {"do": do, "id": f"{do}{time.monotonic_ns()}", **words},
                15.0,
            )
        except OSError:
            return {}

    async def until(
        self, what: Callable[[dict[str, Any]], object], for_what: str, within_s: float = UP_S
    ) -> dict[str, Any]:
        """Wait until the supervisor's status is so; TrialError where it does not come."""
        end = time.monotonic() + within_s
        told: dict[str, Any] = {}
        while time.monotonic() < end:
            told = await self.ask("status")
            if told and what(told):
                return told
            await asyncio.sleep(0.1)
        raise TrialError(f"waited {within_s:g} s in vain for {for_what}: {json.dumps(told)[:2000]}")

    async def all_serve(self, count: int | None = None) -> dict[str, Any]:
        """Wait until so many serve, and nobody else is there."""
        count = self.count if count is None else count

        def there(told: dict[str, Any]) -> bool:
            rows = told["instances"]
            return (
                bool(told["holds"]) and len(rows) == count and all(row["state"] == "serving" for row in rows)
            )

        return await self.until(there, f"{count} to serve")

    async def load(self, rate: float, seconds: float, wait_s: float = 2.0) -> list[int]:
        """Tills that ask the instances in turn, each with so long a deadline; what they are told."""
        asks = []
        began = time.monotonic()
        for number in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
            at = number % self.count
            asks.append(asyncio.ensure_future(self.town.ask(at, self.port + at, number, wait_s)))
        told = [await one for one in asks]
        self.statuses += told
        return told

    def lives(self) -> dict[str, str]:
        """Who has which name, by the locks alone."""
        return locks.locked_names(self.folder / "fleet")


def _ports(count: int) -> int:
    """The first of so many ports in a row that are free now."""
    while True:
        # Below those that systems give to connections: another's would be in the way when an instance starts.
        first = random.randrange(12_000, 32_000 - count)
        held: list[socket.socket] = []
        try:
            for port in range(first, first + count):
                one = socket.socket()
                held.append(one)
                one.bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
