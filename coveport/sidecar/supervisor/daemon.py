"""The process of a supervisor: its files, signals, sockets and exit code."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
import uuid
from pathlib import Path
from typing import Any

from coveport.sidecar.config import platform
from coveport.sidecar.config.errors import OperatorFileError, PlatformFileError
from coveport.sidecar.config.operator_file import OperatorFile, load
from coveport.sidecar.config.operator_sections import MAX_INSTANCES
from coveport.sidecar.leases import log_events
from coveport.sidecar.leases.clock import boot_s
from coveport.sidecar.leases.keys import ROLE_PREFIX
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.open_store import open_store
from coveport.sidecar.supervisor import log_stream
from coveport.sidecar.supervisor.control import ControlServer
from coveport.sidecar.supervisor.notify import NotificationReceiver, Notifier, watchdog_interval_s
from coveport.sidecar.supervisor.process_control import Processes
from coveport.sidecar.supervisor.supervisor import Supervisor

TURN_S = 5.0  # how often the stream's size is looked at
FIRST_S = 1.0  # after a start, how long it is waited for whoever holds the duty already
BEATS = 2  # signs to a service manager in the time that it allows


def control_path(told: OperatorFile) -> Path:
    """Where staff reach the supervisor."""
    return told.fleet_folder / "control.sock"


def checked(told: OperatorFile, config: Path) -> str:
    """What is wrong with the files as they are now; empty: nothing."""
    try:
        now = load(config)
        platform.read(
            now.platform.read_text(encoding="utf-8"), {"LB_LISTEN": now.fleet.listen}, where=str(now.platform)
        )
    except (OperatorFileError, PlatformFileError) as problem:
        return " ".join(str(problem).split())
    except (OSError, UnicodeDecodeError) as problem:
        return f"{told.platform}: {problem}"
    return "" if now.fleet.name == told.fleet.name else f"{config}: the fleet has another name by now"


class Daemon:
    """One supervisor's process."""

    def __init__(self, told: OperatorFile, config: Path, standby: bool) -> None:
        self._told = told
        self._config = config
        self._standby = standby
        self.name = f"supervisor-{os.getpid()}-{uuid.uuid4().hex[:6]}"
        self._lines = log_stream.stream_logger(told.fleet_folder, told.log.level, supervisor=self.name)
        self._notifier = Notifier.of(os.environ)
        self._beat_s = watchdog_interval_s(os.environ, os.getpid()) / BEATS
        self._stop = asyncio.Event()
        self._detach = False
        self._control: ControlServer | None = None
        self._receiver: NotificationReceiver | None = None

    def _say(self, event: str, **fields: object) -> None:
        if event in log_events.DEBUG_EVENTS:
            self._lines.debug(event, at=round(boot_s(), 4), **fields)
        elif event in ("fleet_broken", "fleet_stalled", log_events.STORE_RESET):
            self._lines.error(event, at=round(boot_s(), 4), **fields)
        else:
            self._lines.info(event, at=round(boot_s(), 4), **fields)

    async def run(self) -> int:
        """Until SIGTERM; the exit code."""
        told, chance = self._told, random.Random(uuid.uuid4().int)
        lease_client = LeaseClient(
            open_store(told),
            name=self.name,
            incarnation=self.name,
            roles=(f"fleet@{told.fleet.name}",),
            terms=told.terms,
            now_s=boot_s,
            unix_s=time.time,
            history=self._say,
            rng=chance,
            prefix=told.fleet_prefix,
        )
        processes = Processes(told, self._config)
        supervisor = Supervisor(
            told,
            lease_client,
            processes,
            now_s=boot_s,
            chance=chance,
            say=self._say,
            check=lambda: checked(self._told, self._config),
            most=MAX_INSTANCES,
        )
        supervisor.on_holding = lambda holding: self._holds(supervisor, processes, holding)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reread, supervisor, processes)
        loop.add_signal_handler(signal.SIGUSR2, self._leave_them)
        supervisor.start()
        if not self._standby and not await self._first(supervisor):
            await supervisor.leave()
            return 1
        self._notifier.say(READY=1, STATUS="supervises" if supervisor.holding else "stands by")
        beating = asyncio.ensure_future(self._beat(supervisor))
        await self._stop.wait()
        self._notifier.say(STOPPING=1)
        beating.cancel()
        # Where nobody would look after them: a planned end of the whole.
        whole = supervisor.acts and not self._detach and supervisor.alone
        if whole and not await supervisor.stop_all(told.fleet.stop_s + 10.0):
            self._say("fleet_left_some")
        await supervisor.leave()
        await self._close()
        return 0

    async def _first(self, supervisor: Supervisor) -> bool:
        """Wait until the duty is ours; False where another supervisor is at work on this state already."""
        end = boot_s() + FIRST_S + 2 * self._told.leases.ttl
        said = False
        while not supervisor.holding and not self._stop.is_set():
            # One that was just killed is gone within its time to live; one that is there then is at work.
            late = boot_s() > end
            others = [
                name for name in supervisor.lease_client.instances if name != supervisor.lease_client.name
            ]
            held = any(key.startswith(ROLE_PREFIX) for key in supervisor.lease_client.entries)
            if late and others and held:
                self._tell(
                    f"{', '.join(sorted(others))} supervises {self._told.fleet.name} already; "
                    "--standby waits to take over"
                )
                return False
            if late and not said:
                said = True
                self._tell("the store does not answer, or gives the duty to nobody yet; waiting")
            await asyncio.sleep(0.02)
        return True

    @staticmethod
    def _tell(text: str) -> None:
        print(f"coveport: {text}", file=sys.stderr, flush=True)

    async def _holds(self, supervisor: Supervisor, processes: Processes, holding: bool) -> None:
        await self._close()
        if holding:
            self._receiver = NotificationReceiver(processes.notify_path, supervisor.heard)
            self._control = ControlServer(control_path(self._told), supervisor.asked)
            await self._control.open()
        self._notifier.say(STATUS="supervises" if holding else "stands by")

    async def _close(self) -> None:
        if self._receiver is not None:
            self._receiver.close()
            self._receiver = None
        if self._control is not None:
            self._control.close()
            self._control = None

    async def _beat(self, supervisor: Supervisor) -> None:
        turned = 0.0
        while True:
            if self._beat_s:
                self._notifier.say(WATCHDOG=1)
            if supervisor.holding and boot_s() - turned > TURN_S:
                turned = boot_s()
                if log_stream.rotate(self._told.fleet_folder):
                    self._say("stream_turned")
            await asyncio.sleep(self._beat_s or 1.0)

    def _leave_them(self) -> None:
        """End, and let the instances run on: an upgrade of the supervisor."""
        self._detach = True
        self._stop.set()

    def _reread(self, supervisor: Supervisor, processes: Processes) -> None:
        fault = checked(self._told, self._config)
        if fault:
            self._say("fleet_file", fault=fault)
            return
        self._told = load(self._config)
        processes.retune(self._told)
        supervisor.retune(self._told)
        self._say("fleet_file", fault="")


def main(told: OperatorFile, config: Path, standby: bool) -> int:
    """Supervise the fleet of a file until SIGTERM."""
    fault = checked(told, config)
    if fault:
        print(f"coveport: {fault}", file=sys.stderr)
        return 2

    async def run() -> int:
        return await Daemon(told, config, standby).run()

    return asyncio.run(run())


def read_stream(path: Path, names: frozenset[str], most: int) -> list[dict[str, Any]]:
    """The last lines of a stream that are of these instances (none named: of all)."""
    found: list[dict[str, Any]] = []
    try:
        data = path.read_bytes()
    except OSError:
        return []
    for line in data.splitlines():
        try:
            told = json.loads(line)
        except ValueError:
            continue  # cut by a full disk
        if isinstance(told, dict) and (not names or {told.get("instance"), told.get("name")} & names):
            found.append(told)
    return found[-most:]
