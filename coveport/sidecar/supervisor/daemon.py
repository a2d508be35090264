"""The process of a supervisor: its files, signals, sockets and exit code."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
import uuid
from pathlib import Path

from coveport.net.reload_signal import hold_reload_signal, release_reload_signal
from coveport.sidecar.config import platform
from coveport.sidecar.config.errors import OperatorFileError, PlatformFileError
from coveport.sidecar.config.operator_file import OperatorFile, load
from coveport.sidecar.leases import log_events as lease_events
from coveport.sidecar.leases.clock import boot_s
from coveport.sidecar.leases.keys import ROLE_PREFIX
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.open_store import open_store
from coveport.sidecar.supervisor import log_events, log_stream
from coveport.sidecar.supervisor.control import ControlServer, control_path
from coveport.sidecar.supervisor.desired_state_role import ROLE_NAME_PREFIX
from coveport.sidecar.supervisor.notify import NotificationReceiver, Notifier, watchdog_interval_s
from coveport.sidecar.supervisor.process_control import HostProcesses
from coveport.sidecar.supervisor.supervisor import Supervisor

EXIT_OK = 0
EXIT_ROLE_HELD = 1
EXIT_UNUSABLE_FILES = 2

ROTATION_CHECK_INTERVAL_S = 5.0
ACQUIRE_MARGIN_S = 1.0  # added to two times to live: how long to wait for the role
ACQUIRE_POLL_S = 0.02
HEARTBEATS_PER_TIMEOUT = 2  # heartbeats to the service manager within its watchdog time-out
MAINTENANCE_INTERVAL_S = 1.0  # used if no service manager expects heartbeats
STOP_MARGIN_S = 10.0  # added to `stop_s` for the exit of all instances

ERROR_EVENTS = log_events.ERROR_EVENTS | {lease_events.STORE_RESET}


def check_files(operator_file: OperatorFile, config: Path) -> str:
    """Return the error in the present operator's file or platform file; empty if both are usable.

    `operator_file` is the content in use: the fleet must keep its name. `config` is the file's path.
    """
    try:
        current = load(config)
        platform.read(
            current.platform.read_text(encoding="utf-8"),
            {"LB_LISTEN": current.fleet.listen},
            where=str(current.platform),
        )
    except (OperatorFileError, PlatformFileError) as error:
        return " ".join(str(error).split())
    except (OSError, UnicodeDecodeError) as error:
        return f"{operator_file.platform}: {error}"
    if current.fleet.name != operator_file.fleet.name:
        return f"{config}: the fleet has another name by now"
    return ""


class SupervisorDaemon:
    """The process of one supervisor. `standby`: whether it waits while another supervisor holds the role."""

    def __init__(self, operator_file: OperatorFile, config: Path, standby: bool) -> None:
        self._operator_file = operator_file
        self._config = config
        self._standby = standby
        self.name = f"supervisor-{os.getpid()}-{uuid.uuid4().hex[:6]}"
        self._logger = log_stream.stream_logger(
            operator_file.fleet_folder, operator_file.log.level, supervisor=self.name
        )
        self._notifier = Notifier.from_environment(os.environ)
        self._heartbeat_interval_s = watchdog_interval_s(os.environ, os.getpid()) / HEARTBEATS_PER_TIMEOUT
        self._stop = asyncio.Event()
        self._keep_instances = False
        self._control: ControlServer | None = None
        self._receiver: NotificationReceiver | None = None

    async def run(self) -> int:
        """Supervise until SIGTERM; return the exit code."""
        processes = HostProcesses(self._operator_file, self._config)
        supervisor = self._build_supervisor(processes)
        supervisor.on_role_changed = lambda holds_role: self._on_role_changed(
            supervisor, processes, holds_role
        )
        self._handle_signals(supervisor, processes)
        supervisor.start()
        if not self._standby and not await self._wait_for_role(supervisor):
            await supervisor.leave()
            return EXIT_ROLE_HELD
        self._notifier.send(READY=1, STATUS=_status_text(supervisor.holds_role))
        maintenance = asyncio.ensure_future(self._maintain(supervisor))
        await self._stop.wait()
        self._notifier.send(STOPPING=1)
        maintenance.cancel()
        await self._shut_down(supervisor)
        return EXIT_OK

    def _build_supervisor(self, processes: HostProcesses) -> Supervisor:
        rng = random.Random(uuid.uuid4().int)
        lease_client = LeaseClient(
            open_store(self._operator_file),
            name=self.name,
            incarnation=self.name,
            roles=(ROLE_NAME_PREFIX + self._operator_file.fleet.name,),
            terms=self._operator_file.terms,
            now_s=boot_s,
            unix_s=time.time,
            history=self._log,
            rng=rng,
            prefix=self._operator_file.fleet_prefix,
        )
        return Supervisor(
            self._operator_file,
            lease_client,
            processes,
            now_s=boot_s,
            rng=rng,
            log=self._log,
            check_files=lambda: check_files(self._operator_file, self._config),
        )

    def _handle_signals(self, supervisor: Supervisor, processes: HostProcesses) -> None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload, supervisor, processes)
        release_reload_signal()
        loop.add_signal_handler(signal.SIGUSR2, self._stop_without_instances)

    def _log(self, event: str, **fields: object) -> None:
        if event in lease_events.DEBUG_EVENTS:
            write = self._logger.debug
        elif event in ERROR_EVENTS:
            write = self._logger.error
        else:
            write = self._logger.info
        write(event, at=round(boot_s(), 4), **fields)

    async def _wait_for_role(self, supervisor: Supervisor) -> bool:
        """Wait until the role is acquired; return False if a running supervisor holds it.

        The session of a killed supervisor expires within its time to live; a session that remains after that
        belongs to a running supervisor.
        """
        deadline = boot_s() + ACQUIRE_MARGIN_S + 2 * self._operator_file.leases.ttl
        is_reported = False
        while not supervisor.holds_role and not self._stop.is_set():
            lease_client = supervisor.lease_client
            is_late = boot_s() > deadline
            other_supervisors = [name for name in lease_client.instances if name != lease_client.name]
            is_role_owned = any(key.startswith(ROLE_PREFIX) for key in lease_client.entries)
            if is_late and other_supervisors and is_role_owned:
                _print_error(
                    f"{', '.join(sorted(other_supervisors))} already supervises "
                    f"{self._operator_file.fleet.name}; use --standby to wait and take over"
                )
                return False
            if is_late and not is_reported:
                is_reported = True
                _print_error("the store does not answer, or no supervisor has acquired the role yet; waiting")
            await asyncio.sleep(ACQUIRE_POLL_S)
        return True

    async def _on_role_changed(
        self, supervisor: Supervisor, processes: HostProcesses, holds_role: bool
    ) -> None:
        self._close_sockets()
        if holds_role:
            self._receiver = NotificationReceiver(processes.notify_path, supervisor.on_notification)
            self._control = ControlServer(control_path(self._operator_file), supervisor.handle_request)
            await self._control.open()
        self._notifier.send(STATUS=_status_text(holds_role))

    def _close_sockets(self) -> None:
        if self._receiver is not None:
            self._receiver.close()
            self._receiver = None
        if self._control is not None:
            self._control.close()
            self._control = None

    async def _maintain(self, supervisor: Supervisor) -> None:
        """Send heartbeats to the service manager; rotate the log stream."""
        checked_at = 0.0
        while True:
            if self._heartbeat_interval_s:
                self._notifier.send(WATCHDOG=1)
            if supervisor.holds_role and boot_s() - checked_at > ROTATION_CHECK_INTERVAL_S:
                checked_at = boot_s()
                if log_stream.rotate(self._operator_file.fleet_folder):
                    self._log(log_events.LOG_ROTATED)
            await asyncio.sleep(self._heartbeat_interval_s or MAINTENANCE_INTERVAL_S)

    async def _shut_down(self, supervisor: Supervisor) -> None:
        """Stop, with the instances unless they are to keep running or a standby supervisor takes over."""
        stops_instances = supervisor.may_act and not self._keep_instances and supervisor.is_only_supervisor
        timeout_s = self._operator_file.fleet.stop_s + STOP_MARGIN_S
        if stops_instances and not await supervisor.stop_all(timeout_s):
            self._log(log_events.SHUTDOWN_INCOMPLETE)
        await supervisor.leave()
        self._close_sockets()

    def _stop_without_instances(self) -> None:
        """Stop, and leave the instances running, as for an upgrade of the supervisor."""
        self._keep_instances = True
        self._stop.set()

    def _reload(self, supervisor: Supervisor, processes: HostProcesses) -> None:
        fault = check_files(self._operator_file, self._config)
        if fault:
            self._log(log_events.FILE_RELOADED, fault=fault)
            return
        self._operator_file = load(self._config)
        processes.update_settings(self._operator_file)
        supervisor.update_settings(self._operator_file)
        self._log(log_events.FILE_RELOADED, fault="")


def main(operator_file: OperatorFile, config: Path, standby: bool) -> int:
    """Supervise the fleet of an operator's file until SIGTERM; return the exit code."""
    hold_reload_signal()
    fault = check_files(operator_file, config)
    if fault:
        _print_error(fault)
        return EXIT_UNUSABLE_FILES

    async def run() -> int:
        return await SupervisorDaemon(operator_file, config, standby).run()

    return asyncio.run(run())


def _status_text(holds_role: bool) -> str:
    return "supervises" if holds_role else "stands by"


def _print_error(text: str) -> None:
    print(f"coveport: {text}", file=sys.stderr, flush=True)
