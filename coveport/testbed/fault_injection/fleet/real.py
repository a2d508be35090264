"""A supervised fleet as processes: `coveport fleet run`, its instances, ledger nodes and clients."""

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
from coveport.testbed.fault_injection.environment import TrialEnvironment
from coveport.testbed.fault_injection.real import SETTINGS, TrialError

WAIT_S = 60.0  # for what takes a second or two on an idle machine
POLL_S = 0.1
REQUEST_TIMEOUT_S = 15.0
MIN_PORTS = 64
# Below the ports of outgoing connections: such a port could be taken when an instance starts.
FIRST_PORT = 12_000
LAST_PORT = 32_000

Status = dict[str, Any]  # as `coveport fleet status --json` shows it


class FleetTrialReal:
    """Supervisors, instances, and the nodes and clients around them; use as an async context.

    `settings`: keys of `[fleet]` beside the usual ones. `sections`: further sections of the file.
    """

    def __init__(
        self,
        folder: Path,
        instances: int,
        *,
        nodes: int = 4,
        settings: Mapping[str, Any] | None = None,
        sections: str = "",
    ) -> None:
        self.folder = folder
        self.count = instances
        self._nodes = nodes
        self._sections = sections
        self._settings = {
            "hold_s": 0.3,
            "hung_s": 3.0,
            "at_once": 8,
            "a_second": 40.0,
            "backoff_s": 0.1,
            "stop_s": 8.0,
            **(settings or {}),
        }
        self.supervisors: list[subprocess.Popen[bytes]] = []
        self.statuses: list[int] = []  # that clients were answered

    async def __aenter__(self) -> FleetTrialReal:
        self.environment = await TrialEnvironment.start_ledgers(self._nodes, 6.0)
        self.port = _free_ports(max(MIN_PORTS, 2 * self.count))  # of the first instance
        self.configure()
        return self

    async def __aexit__(self, *_: object) -> None:
        for supervisor in self.supervisors:
            if supervisor.poll() is None:
                supervisor.kill()  # ends a stopped process too
                supervisor.wait()
        for incarnation in self.incarnations().values():
            with contextlib.suppress(ProcessLookupError):
                os.kill(locks.pid_of(incarnation), signal.SIGKILL)
        self.environment.stop()

    @property
    def file(self) -> Path:
        """The operator's file."""
        return self.folder / "fleet.toml"

    def configure(self, platform: str | None = None) -> None:
        """Write the files. `platform`: the platform's file, in place of a correct one."""
        if platform is None:
            platform = json.dumps(self._platform())
        (self.folder / "platform.json").write_text(platform)
        fleet = {
            "name": "h",
            "instances": self.count,
            "listen": f"127.0.0.1:{self.port}",
            **self._settings,
        }
        self.file.write_text(
            '[instance]\nplatform = "platform.json"\n[store]\nurl = "sqlite:store.db"\n'
            "[leases]\nttl = 1.0\nmargin = 0.1\n"
            + self._sections
            + "[fleet]\n"
            + "".join(f"{key} = {json.dumps(value)}\n" for key, value in fleet.items())
        )

    def _platform(self) -> dict[str, Any]:
        return {
            "name": "x",
            "listen": "127.0.0.1:1",
            "seed": "7",
            "discovery": f"127.0.0.1:{self.environment.discovery.server.port}",
            "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
            "known": {"seq": 0, "whole": True, "hosts": []},
            "settings": SETTINGS,
        }

    def supervise(self, *options: str) -> subprocess.Popen[bytes]:
        """Start a further supervisor."""
        with open(self.folder / "supervisors.out", "ab") as out:
            supervisor = subprocess.Popen(
                [sys.executable, "-m", "coveport", "fleet", "run", str(self.file), *options],
                stdout=out,
                stderr=out,
                stdin=subprocess.DEVNULL,
            )
        self.supervisors.append(supervisor)
        return supervisor

    async def ask(self, action: str, **arguments: Any) -> dict[str, Any]:
        """Send a request to the supervisor; return its answer, empty if there is no supervisor."""
        try:
            return await asyncio.to_thread(
                call,
                self.folder / "fleet" / "control.sock",
                {"do": action, "id": f"{action}{time.monotonic_ns()}", **arguments},
                REQUEST_TIMEOUT_S,
            )
        except OSError:
            return {}

    async def until(
        self, is_reached: Callable[[Status], object], description: str, timeout_s: float = WAIT_S
    ) -> Status:
        """Wait until the supervisor's status is as expected, and return it.

        Raises:
            TrialError: it did not become so in time.

        """
        deadline = time.monotonic() + timeout_s
        status: Status = {}
        while time.monotonic() < deadline:
            status = await self.ask("status")
            if status and is_reached(status):
                return status
            await asyncio.sleep(POLL_S)
        raise TrialError(f"waited {timeout_s:g} s in vain for {description}: {json.dumps(status)[:2000]}")

    async def all_serve(self, count: int | None = None) -> Status:
        """Wait until so many instances serve and no other is there; by default all that are configured."""
        expected = self.count if count is None else count

        def is_reached(status: Status) -> bool:
            rows = status["instances"]
            return (
                bool(status["holds"])
                and len(rows) == expected
                and all(row["state"] == "serving" for row in rows)
            )

        return await self.until(is_reached, f"{expected} to serve")

    async def load(self, rate: float, duration_s: float, wait_s: float = 2.0) -> list[int]:
        """Send requests to the instances in turn, `rate` a second; return the statuses.

        `wait_s`: each request's deadline.
        """
        requests = []
        began = time.monotonic()
        for number in range(int(rate * duration_s)):
            await asyncio.sleep(max(0.0, began + number / rate - time.monotonic()))
            index = number % self.count
            requests.append(
                asyncio.ensure_future(self.environment.ask(index, self.port + index, number, wait_s))
            )
        statuses = [await request for request in requests]
        self.statuses += statuses
        return statuses

    def incarnations(self) -> dict[str, str]:
        """Return the running incarnations by name, by their locks alone."""
        return locks.lock_owners(self.folder / "fleet")


def _free_ports(count: int) -> int:
    """Return the first of so many consecutive ports that are free now."""
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT - count)
        with contextlib.ExitStack() as sockets:
            try:
                for port in range(first, first + count):
                    sockets.enter_context(socket.socket()).bind(("127.0.0.1", port))
            except OSError:
                continue
            return first
