"""Starts, finds, watches and signals the processes of instances, and holds their listening sockets."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from coveport.net.address import parse_address
from coveport.net.reload_signal import reload_signal_held_for_children
from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.supervisor import locks
from coveport.sidecar.supervisor.instance_state import ExitReason

LISTEN_FD_VARIABLE = "COVEPORT_LISTEN_FD"  # the descriptor of an instance's listening socket
LISTEN_BACKLOG = 512  # pending connections while no process accepts
# Exit codes; any other code is a crash.
EXIT_REASONS = {0: ExitReason.CLEAN, 2: ExitReason.UNUSABLE_FILES, 3: ExitReason.NAME_LOCKED}

OnExit = Callable[[str, str, ExitReason], None]  # name, incarnation, reason


@dataclass(frozen=True, slots=True)
class InstanceProcess:
    """A process of an instance."""

    name: str
    incarnation: str


class ProcessControl(Protocol):
    """The operations of a supervisor on the processes of its host. The testbed simulates them."""

    on_exit: OnExit

    def find_running(self) -> dict[str, str]:
        """Return the incarnations that hold a name's lock, by name; each is watched from now on."""

    def start(self, name: str) -> str:
        """Start a process and return its incarnation; OSError if that fails."""

    def drain(self, incarnation: str) -> None:
        """Send an incarnation SIGTERM; do nothing if it has exited."""

    def kill(self, incarnation: str) -> None:
        """Kill an incarnation; do nothing if it has exited."""

    def close_listener(self, name: str) -> None:
        """Close the listening socket of an instance; its address then refuses connections."""

    def identify(self, pid: int) -> InstanceProcess | None:
        """Return the watched, running process with this PID; None if there is none."""

    def stop_watching(self) -> None:
        """Stop watching all processes and close their listening sockets; the processes keep running."""


@dataclass(frozen=True, slots=True)
class _WatchedProcess:
    process: InstanceProcess
    pidfd: int
    child: subprocess.Popen[bytes] | None  # None if another supervisor started it


class HostProcesses:
    """The processes of this host. `config`: the path of the operator's file."""

    def __init__(self, operator_file: OperatorFile, config: Path) -> None:
        self._operator_file = operator_file
        self._config = config
        self._folder = operator_file.fleet_folder
        self._watched: dict[str, _WatchedProcess] = {}  # by incarnation
        self._incarnations: dict[int, str] = {}  # of the watched processes, by PID
        self._listeners: dict[str, socket.socket] = {}  # by name
        self.notify_path = self._folder / "notify.sock"
        self.on_exit: OnExit = lambda name, incarnation, reason: None
        (self._folder / "run").mkdir(parents=True, exist_ok=True)
        (self._folder / "log").mkdir(parents=True, exist_ok=True)

    def update_settings(self, operator_file: OperatorFile) -> None:
        """Use a reloaded operator's file."""
        self._operator_file = operator_file

    # Running processes.

    def find_running(self) -> dict[str, str]:
        """Return the incarnations that hold a lock, by name, also if another supervisor started them."""
        fleet = self._operator_file.fleet
        return {
            name: incarnation
            for name, incarnation in locks.lock_owners(self._folder).items()
            if fleet.number(name)
            and (incarnation in self._watched or self._watch(InstanceProcess(name, incarnation), None))
        }

    def identify(self, pid: int) -> InstanceProcess | None:
        """Return the watched, running process with this PID; None if there is none."""
        watched = self._watched.get(self._incarnations.get(pid, ""))
        return None if watched is None else watched.process

    def _watch(self, process: InstanceProcess, child: subprocess.Popen[bytes] | None) -> bool:
        """Watch for the exit of a process; return whether it still runs."""
        pid = locks.pid_of(process.incarnation)
        try:
            pidfd = os.pidfd_open(pid)
        except OSError:
            return False
        # Checked after opening: from then on the descriptor can't refer to another process.
        if locks.incarnation_of(pid) != process.incarnation:
            os.close(pidfd)
            return False
        self._watched[process.incarnation] = _WatchedProcess(process, pidfd, child)
        self._incarnations[pid] = process.incarnation
        asyncio.get_running_loop().add_reader(pidfd, self._on_pidfd_readable, process.incarnation)
        return True

    def _on_pidfd_readable(self, incarnation: str) -> None:
        watched = self._unwatch(incarnation)
        if watched is None:
            return
        name = watched.process.name
        if watched.child is not None:
            code: int | None = watched.child.wait()  # returns at once: the process has exited
        else:
            code = locks.exit_code_of(self._folder, name, incarnation)
        self.on_exit(name, incarnation, _exit_reason(code))

    def _unwatch(self, incarnation: str) -> _WatchedProcess | None:
        watched = self._watched.pop(incarnation, None)
        if watched is not None:
            self._incarnations.pop(locks.pid_of(incarnation), None)
            asyncio.get_running_loop().remove_reader(watched.pidfd)
            os.close(watched.pidfd)
        return watched

    def stop_watching(self) -> None:
        """Stop watching all processes and close their listening sockets; the processes keep running."""
        for incarnation in list(self._watched):
            self._unwatch(incarnation)
        for name in list(self._listeners):
            self.close_listener(name)

    # Start and signals.

    def start(self, name: str) -> str:
        """Start a process that inherits the instance's listening socket; return its incarnation."""
        listener = self._open_listener(name)
        child = self._spawn(name, listener)
        incarnation = locks.incarnation_of(child.pid)
        self._limit_descriptors(name, child.pid)
        if not incarnation or not self._watch(InstanceProcess(name, incarnation), child):
            # The process has already exited: the event loop reports that, as for any other exit.
            incarnation = incarnation or f"{child.pid}.gone"
            asyncio.get_running_loop().call_soon(self._report_exit, name, incarnation, child)
        return incarnation

    def _spawn(self, name: str, listener: socket.socket) -> subprocess.Popen[bytes]:
        environ = os.environ | {
            "LB_CONFIG": "",
            "NOTIFY_SOCKET": str(self.notify_path),
            LISTEN_FD_VARIABLE: str(listener.fileno()),
            "WATCHDOG_USEC": str(int(self._operator_file.fleet.hung_s * 1e6)),
        }
        environ.pop("WATCHDOG_PID", None)  # set by the service manager for the supervisor only
        log = self._folder / "log" / f"{name}.out"
        with open(log, "ab") as out, reload_signal_held_for_children():
            return subprocess.Popen(
                [sys.executable, "-m", "coveport", "run", "--config", str(self._config), "--as", name],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env=environ,
                pass_fds=(listener.fileno(),),
                start_new_session=True,  # Ctrl-C at the supervisor's terminal must not signal the instances
            )

    def _limit_descriptors(self, name: str, pid: int) -> None:
        fleet = self._operator_file.fleet
        overrides = fleet.each.get(name)
        limit = (overrides.sockets if overrides is not None else 0) or fleet.sockets
        if limit:
            with contextlib.suppress(OSError, ValueError):
                resource.prlimit(pid, resource.RLIMIT_NOFILE, (limit, limit))

    def _report_exit(self, name: str, incarnation: str, child: subprocess.Popen[bytes]) -> None:
        self.on_exit(name, incarnation, _exit_reason(child.wait()))

    def drain(self, incarnation: str) -> None:
        """Send SIGTERM."""
        self._signal(incarnation, signal.SIGTERM)

    def kill(self, incarnation: str) -> None:
        """Send SIGKILL, which also ends a process stopped by SIGSTOP."""
        self._signal(incarnation, signal.SIGKILL)

    def _signal(self, incarnation: str, number: int) -> None:
        watched = self._watched.get(incarnation)
        if watched is not None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(watched.pidfd, number)

    # Listening sockets.

    def _open_listener(self, name: str) -> socket.socket:
        address = parse_address(self._operator_file.fleet.address(name))
        host, port = address
        listener = self._listeners.get(name)
        if listener is not None and listener.getsockname()[:2] != address and port:
            self.close_listener(name)  # the address was changed in the file
            listener = None
        if listener is None:
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            listener = socket.create_server(address, family=family, backlog=LISTEN_BACKLOG, reuse_port=True)
            listener.setblocking(False)
            self._listeners[name] = listener
        return listener

    def close_listener(self, name: str) -> None:
        """Close the listening socket of an instance; its address then refuses connections."""
        listener = self._listeners.pop(name, None)
        if listener is not None:
            listener.close()


def _exit_reason(code: int | None) -> ExitReason:
    return ExitReason.CRASH if code is None else EXIT_REASONS.get(code, ExitReason.CRASH)
