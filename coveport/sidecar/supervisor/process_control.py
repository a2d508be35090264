"""The supervisor's hands: processes started, found, watched and told, and the addresses held for them."""

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
from pathlib import Path
from typing import Protocol

from coveport.net.address import parse_address
from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.supervisor import locks
from coveport.sidecar.supervisor.instance_state import ExitReason

LISTEN_FD = "COVEPORT_LISTEN_FD"  # tells an instance the descriptor that it is to accept at
WAITING_MOST = 512  # connections that wait at an address that nobody takes from at the moment
ENDS = {
    0: ExitReason.CLEAN,
    2: ExitReason.UNUSABLE,
    3: ExitReason.HELD,
}  # exit codes of an instance; any other is a crash


class ProcessControl(Protocol):
    """What a supervisor does to the world. The lab has another, on simulated time."""

    ended: Callable[[str, str, ExitReason], None]  # name, life, how

    def found(self) -> dict[str, str]:
        """Names that somebody has, and the lives; each is watched from then on."""

    def start(self, name: str) -> str:
        """Start a process; its life. OSError where that can't be."""

    def drain(self, life: str) -> None:
        """Tell it to end; nothing where it is gone."""

    def kill(self, life: str) -> None:
        """End it; nothing where it is gone."""

    def close_listener(self, name: str) -> None:
        """Nobody is to serve at this one's address for now: who connects is refused."""

    def incarnation_of(self, pid: int) -> tuple[str, str]:
        """Name and life of a process of ours that speaks; empty where it is none."""

    def release(self) -> None:
        """Watch nothing more; what runs runs on."""


class _Watched:
    """A life that we would hear of the end of."""

    __slots__ = ("child", "file", "life", "name")

    def __init__(self, name: str, life: str, file: int, child: subprocess.Popen[bytes] | None) -> None:
        self.name = name
        self.life = life
        self.file = file
        self.child = child


class Processes:
    """The hands of a real supervisor. `config`: the operator's file, by its path."""

    def __init__(self, told: OperatorFile, config: Path) -> None:
        self._told = told
        self._config = config
        self._folder = told.fleet_folder
        self._watched: dict[str, _Watched] = {}
        self._by_pid: dict[int, str] = {}
        self._sockets: dict[str, socket.socket] = {}
        self._children: list[subprocess.Popen[bytes]] = []  # that ended before they were watched
        self.notify_path = self._folder / "notify.sock"
        self.ended: Callable[[str, str, ExitReason], None] = lambda name, life, how: None
        (self._folder / "run").mkdir(parents=True, exist_ok=True)
        (self._folder / "log").mkdir(parents=True, exist_ok=True)

    def retune(self, told: OperatorFile) -> None:
        """The file was read anew."""
        self._told = told

    # Who is there.

    def found(self) -> dict[str, str]:
        """By their locks, whoever started them."""
        fleet = self._told.fleet
        found = {name: life for name, life in locks.locked_names(self._folder).items() if fleet.number(name)}
        return {
            name: life
            for name, life in found.items()
            if life in self._watched or self._watch(name, life, None)
        }

    def _watch(self, name: str, life: str, child: subprocess.Popen[bytes] | None) -> bool:
        pid = locks.pid_of(life)
        try:
            file = os.pidfd_open(pid)
        except OSError:
            return False
        # Only now, as the descriptor holds on to whatever has the pid.
        if locks.incarnation_of(pid) != life:
            os.close(file)
            return False
        self._watched[life] = _Watched(name, life, file, child)
        self._by_pid[pid] = life
        asyncio.get_running_loop().add_reader(file, self._over, life)
        return True

    def _over(self, life: str) -> None:
        one = self._forget(life)
        if one is None:
            return
        # A child has ended by now, so this does not wait.
        code = one.child.wait() if one.child is not None else locks.exit_code_of(self._folder, one.name, life)
        self.ended(one.name, life, ExitReason.CRASH if code is None else ENDS.get(code, ExitReason.CRASH))

    def _forget(self, life: str) -> _Watched | None:
        one = self._watched.pop(life, None)
        if one is not None:
            self._by_pid.pop(locks.pid_of(life), None)
            asyncio.get_running_loop().remove_reader(one.file)
            os.close(one.file)
        return one

    def incarnation_of(self, pid: int) -> tuple[str, str]:
        """By its pid, which is known to be alive, as it speaks."""
        one = self._watched.get(self._by_pid.get(pid, ""))
        return ("", "") if one is None else (one.name, one.life)

    # What is done to them.

    def start(self, name: str) -> str:
        """Start a process of that name, with its address in hand."""
        fleet = self._told.fleet
        held = self._hold(name)
        environ = os.environ | {
            "LB_CONFIG": "",
            "NOTIFY_SOCKET": str(self.notify_path),
            LISTEN_FD: str(held.fileno()),
            "WATCHDOG_USEC": str(int(fleet.hung_s * 1e6)),
        }
        environ.pop("WATCHDOG_PID", None)  # a service manager's word to us, not to them
        with open(self._folder / "log" / f"{name}.out", "ab") as out:
            child = subprocess.Popen(
                [sys.executable, "-m", "coveport", "run", "--config", str(self._config), "--as", name],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env=environ,
                pass_fds=(held.fileno(),),
                start_new_session=True,
            )  # a Ctrl-C at our terminal is ours to pass on
        life = locks.incarnation_of(child.pid)
        own = fleet.each.get(name)
        sockets = (own.sockets if own is not None else 0) or fleet.sockets
        if sockets:
            with contextlib.suppress(OSError, ValueError):
                resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (sockets, sockets))
        if not life or not self._watch(name, life, child):
            # It has ended already: told of in a later turn, as any other end.
            life = life or f"{child.pid}.gone"
            asyncio.get_running_loop().call_soon(self._was_over, name, life, child)
        return life

    def _was_over(self, name: str, life: str, child: subprocess.Popen[bytes]) -> None:
        self.ended(name, life, ENDS.get(child.wait(), ExitReason.CRASH))

    def drain(self, life: str) -> None:
        """SIGTERM."""
        self._signal(life, signal.SIGTERM)

    def kill(self, life: str) -> None:
        """SIGKILL; one that was stopped ends by it too."""
        self._signal(life, signal.SIGKILL)

    def _signal(self, life: str, number: int) -> None:
        one = self._watched.get(life)
        if one is not None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(one.file, number)

    # Addresses.

    def _hold(self, name: str) -> socket.socket:
        one = self._sockets.get(name)
        address = parse_address(self._told.fleet.address(name))
        if one is not None and one.getsockname()[:2] != address and address[1]:
            self.close_listener(name)  # the file has it elsewhere by now
            one = None
        if one is None:
            family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
            one = socket.create_server(address, family=family, backlog=WAITING_MOST, reuse_port=True)
            one.setblocking(False)
            self._sockets[name] = one
        return one

    def close_listener(self, name: str) -> None:
        """Close its address."""
        one = self._sockets.pop(name, None)
        if one is not None:
            one.close()

    def release(self) -> None:
        """Watch nothing more."""
        for life in list(self._watched):
            self._forget(life)
        for name in list(self._sockets):
            self.close_listener(name)
