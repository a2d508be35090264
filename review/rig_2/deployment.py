"""A small deployment: coordinators and proxies as processes, started by the commands of the deploy file."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from rig_2.http import Address, call_control, call_once

ROOT = Path(__file__).resolve().parents[2]
ZONES = {"bizkaia-barakaldo": "bizkaia", "asturias-gijon": "asturias", "cantabria-camargo": "cantabria"}
FRONT, READY, CONTROL, DIRECTORY, INNER, NODE = 8263, 8268, 8262, 8264, 7300, 8080
TOLERATED = {"MachineLosses": 1, "Zones": 1, "RegionLosses": 1}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places"]
BEAT_MS = 1200
IN_TOUCH_S, DRAIN_S, CONFIG_APPLY_S = 4.0, 2.5, 2.5
COLD_OVERSHOOT, COLD_SLACK = 1.5, 5

# The figures of the sheet of the first customer (SYSTEM.md).
BOUNDS = {
    "SeedLagS": 3,
    "AddrReuseS": 2,
    "InTouchMs": int(IN_TOUCH_S * 1000),
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": int(DRAIN_S * 1000),
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": int(CONFIG_APPLY_S * 1000),
    "RevertSlackMs": 250,
    "StretchMs": 6000,
    "RetryRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 58,
    "ColdOvershoot": COLD_OVERSHOOT,
    "ColdSlack": COLD_SLACK,
    "EvacuateMs": 5000,
    "RecoverS": 12,
    "pass_ms": 250,
    "again_s": 0,
    "ttl_max_s": 5,
}
CORE_LIMITS = {
    "CpuShare": 0.645,
    "Cores": 2,
    "MemoryMb": 296,
    "MaxFds": 4096,
    "LinkMbps": 1000.0,
    "DiskMb": 128,
}
FRONT_LIMITS = {
    "CpuShare": 0.537,
    "Cores": 2,
    "MemoryMb": 300,
    "MaxFds": 4100,
    "LinkMbps": 1000.0,
    "DiskMb": 0,
}


class CannotRunError(Exception):
    """The case can't run on this machine."""


class Program:
    """One machine's process."""

    def __init__(self, deployment: Deployment, role: str, name: str, ip: str, zone: str) -> None:
        self._deployment = deployment
        self._role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        self._process: subprocess.Popen[bytes] | None = None
        self._starts = 0
        self._changes = 0  # of the settings, while it runs

    @property
    def _is_core(self) -> bool:
        return self._role == "coordinator"

    def _settings(self) -> str:
        deployment = self._deployment
        top: dict[str, object] = {
            "NodeName": self.name,
            "Role": self._role,
            "MachineClass": "sorting" if self._is_core else "counter",
            "Serves": ["dispatch", "registry"] if self._is_core else ["counter"],
            "Ip": self.ip,
            "Zone": self.zone,
            "Region": ZONES[self.zone],
            "InnerPortRange": [INNER, INNER + 15],
            "SeedAddrs": self._seeds(),
            "FirstBoot": self._starts == 0,
            "LossCounted": self._is_core,
            "DiscoverySource": "register",
            "EntryKind": "registry",
            "BeatMs": BEAT_MS,
            "Contracts": CONTRACTS,
        }
        listen = {"FrontHttp": f"{self.ip}:{FRONT}", "Readiness": f"{self.ip}:{READY}"}
        if self._is_core:
            folder = deployment.folder / f"{self.name}.data"
            folder.mkdir(exist_ok=True)
            top["DataDir"] = str(folder)
            listen = {"Control": f"{self.ip}:{CONTROL}", "Directory": f"{self.ip}:{DIRECTORY}"}
        tables: dict[str, dict[str, object]] = {
            "Zones": dict(ZONES),
            "Listen": dict(listen),
            "Limits": dict(CORE_LIMITS if self._is_core else FRONT_LIMITS),
            "Tolerate": dict(TOLERATED),
            "Bounds": dict(BOUNDS),
        }
        # JSON's texts, numbers, flags and lists are TOML's.
        lines = [f"{key} = {json.dumps(value)}" for key, value in top.items()]
        for table, fields in tables.items():
            lines += [f"[{table}]", *(f"{key} = {json.dumps(value)}" for key, value in fields.items())]
        return "\n".join(lines) + "\n"

    def _seeds(self) -> list[str]:
        """Return the seeds, in another order after each change of the settings."""
        seeds = [f"{host}:{port}" for host, port in self._deployment.control]
        at = self._changes % len(seeds)
        return [*seeds[at:], *seeds[:at]]

    def change_settings(self) -> None:
        """Change the settings file: the seeds stand in another order."""
        self._changes += 1
        self._write_settings()

    def _write_settings(self) -> Path:
        file = self._deployment.folder / f"{self.name}.toml"
        file.write_text(self._settings(), encoding="utf-8")
        return file

    def start(self) -> None:
        """Start the process, with the settings of this moment."""
        file = self._write_settings()
        self._starts += 1
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment |= {"COVEPORT_NODE_FILE": str(file), "PYTHONPATH": str(ROOT / "target" / "deps")}
        command = self._deployment.commands[self._role].split(" ")
        with (self._deployment.folder / f"{self.name}.log").open("ab") as log:
            self._process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait()


class Deployment:
    """Three coordinators, and proxies in the three zones."""

    def __init__(self, proxies: int) -> None:
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands: dict[str, str] = {name: role["run"] for name, role in roles.items()}
        if not (ROOT / "target" / "deps").is_dir():
            raise CannotRunError("target/deps is missing: run the build line of deploy/system.toml")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.block = _free_block()
        zones = list(ZONES)
        self.coordinators = [
            Program(self, "coordinator", f"sorting-{zone}-1", f"{self.block}.{11 + index}", zone)
            for index, zone in enumerate(zones)
        ]
        self.proxies = [
            Program(
                self,
                "proxy",
                f"counter-{zones[index % 3]}-{index // 3 + 1}",
                f"{self.block}.{21 + index}",
                zones[index % 3],
            )
            for index in range(proxies)
        ]

    @property
    def programs(self) -> list[Program]:
        """All machines' processes."""
        return [*self.coordinators, *self.proxies]

    @property
    def control(self) -> list[Address]:
        """The coordinators' control addresses."""
        return [(program.ip, CONTROL) for program in self.coordinators]

    def fronts(self, zone: str | None = None) -> list[Address]:
        """Return the proxies' addresses for clients, of one zone or of all."""
        return [(program.ip, FRONT) for program in self.proxies if zone in (None, program.zone)]

    def node_address(self, number: int) -> Address:
        """Return the address of a node."""
        return f"{self.block}.{60 + number}", NODE

    def start(self) -> None:
        """Start all processes."""
        for program in self.programs:
            program.start()

    async def order(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        within_s: float = 15.0,
    ) -> int:
        """Give an operator's order, again until it is answered; return the status."""
        until_s = time.monotonic() + within_s
        while time.monotonic() < until_s:
            addresses = random.sample(self.control, len(self.control))
            answer = await call_control(addresses, method, path, headers, body)
            if answer is not None:
                return answer.status
            await asyncio.sleep(0.2)
        raise CannotRunError(f"{method} {path} was not answered within {within_s} s")

    async def configure(self, if_match: int, configuration: dict[str, object]) -> None:
        """Put a configuration until it is acknowledged."""
        body = json.dumps(configuration).encode()
        headers = {"If-Match": str(if_match), "Content-Type": "application/json"}
        status = await self.order("PUT", "/coveport/config", headers, body)
        if status != 200:
            raise CannotRunError(f"the configuration was answered with {status}")

    async def wait_until_in_touch(self, within_s: float = 20.0) -> None:
        """Wait until every proxy says that it is ready, and then until all machines are in touch."""
        until_s = time.monotonic() + within_s
        for program in self.proxies:
            while not await self._is_ready(program):
                if time.monotonic() > until_s:
                    raise CannotRunError(f"{program.name} was not ready within {within_s} s")
                await asyncio.sleep(0.1)
        await asyncio.sleep(IN_TOUCH_S + 1.0)

    async def _is_ready(self, program: Program) -> bool:
        answer = await call_once((program.ip, READY), "GET", "/coveport/ready")
        return answer is not None and answer.status == 200

    def stop(self) -> None:
        """Kill all processes, and remove their folder."""
        for program in self.programs:
            program.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def _free_block() -> str:
    """Return the first three bytes of loopback addresses of which nobody uses the ports."""
    for _ in range(50):
        block = f"127.{random.randint(1, 254)}.{random.randint(1, 254)}"
        if _is_free(f"{block}.11"):
            return block
    raise CannotRunError("no block of loopback addresses is free")


def _is_free(ip: str) -> bool:
    try:
        for port in (FRONT, READY, CONTROL, DIRECTORY, INNER, NODE):
            with socket.socket() as trial:
                trial.bind((ip, port))
    except OSError:
        return False
    return True
