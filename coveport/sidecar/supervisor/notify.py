"""Both sides of the service manager's notification protocol, sd_notify(3).

A notification is a datagram of NAME=value lines to a Unix socket. An instance sends them to its supervisor,
and the supervisor to the service manager that started it, if any. The kernel attaches the sender's PID
(SCM_CREDENTIALS), so no process can report on behalf of another.
"""

from __future__ import annotations

import array
import asyncio
import os
import socket
import struct
from collections.abc import Callable, Mapping
from pathlib import Path

MAX_DATAGRAM_BYTES = 4096
MAX_DATAGRAMS_PER_WAKEUP = 256  # limit after which the event loop runs its other callbacks
RECEIVE_BUFFER_BYTES = 1 << 20
_CREDENTIALS = struct.Struct("iII")  # PID, UID, GID
_FILE_DESCRIPTORS_BYTES = 64  # buffer for received descriptors, which are only closed
_FILE_DESCRIPTOR_BYTES = 4

Variables = Mapping[str, str]


class Notifier:
    """Sends notifications to the socket that NOTIFY_SOCKET names; does nothing if the variable is empty."""

    def __init__(self, address: str) -> None:
        self._socket: socket.socket | None = None
        # An abstract address begins with "@" in the variable and with a zero byte for the system.
        self._address = "\0" + address[1:] if address.startswith("@") else address
        if address:
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
            self._socket.setblocking(False)

    @classmethod
    def from_environment(cls, environ: Mapping[str, str]) -> Notifier:
        """Return the notifier for the socket that the environment names."""
        return cls(environ.get("NOTIFY_SOCKET", ""))

    def send(self, **variables: object) -> bool:
        """Send variables without waiting; return whether the socket accepted them."""
        if self._socket is None:
            return False
        data = "\n".join(f"{name}={value}" for name, value in variables.items()).encode()
        try:
            self._socket.sendto(data[:MAX_DATAGRAM_BYTES], self._address)
        except OSError:
            return (
                False  # the receiver is gone, or its queue is full: the next notification repeats the state
            )
        return True

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def watchdog_interval_s(environ: Mapping[str, str], pid: int) -> float:
    """Return the time within which the service manager expects a heartbeat, s; 0 if it expects none."""
    usec = environ.get("WATCHDOG_USEC", "")
    if not usec.isdigit() or environ.get("WATCHDOG_PID", str(pid)) != str(pid):
        return 0.0
    return int(usec) / 1e6


def parse(data: bytes) -> dict[str, str]:
    """Return the variables of a datagram; malformed lines are ignored."""
    variables = {}
    for text in data.decode("utf-8", errors="replace").splitlines():
        name, equals, value = text.partition("=")
        if equals and name.isascii() and name.replace("_", "").isalnum():
            variables[name] = value
    return variables


class NotificationReceiver:
    """Receives notifications; calls `on_notification` with the sender's PID and its variables."""

    def __init__(self, path: Path, on_notification: Callable[[int, dict[str, str]], None]) -> None:
        self.path = path
        self._on_notification = on_notification
        path.unlink(missing_ok=True)  # left by a supervisor that lost the role, or crashed
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_PASSCRED, 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.bind(str(path))
        path.chmod(0o600)
        self._inode = path.stat().st_ino
        asyncio.get_running_loop().add_reader(self._socket, self._read_pending)

    def _read_pending(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_WAKEUP):
            try:
                data, ancillary, flags, _ = self._socket.recvmsg(
                    MAX_DATAGRAM_BYTES,
                    socket.CMSG_SPACE(_CREDENTIALS.size) + socket.CMSG_SPACE(_FILE_DESCRIPTORS_BYTES),
                )
            except OSError:
                return
            pid = _take_ancillary(ancillary)
            if pid and not flags & socket.MSG_TRUNC:
                self._on_notification(pid, parse(data))

    def close(self) -> None:
        """Stop receiving; remove the socket's path unless a successor listens there."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        try:
            if self.path.stat().st_ino == self._inode:
                self.path.unlink()
        except OSError:
            pass


def _take_ancillary(ancillary: list[tuple[int, int, bytes]]) -> int:
    """Return the sender's PID, 0 if unknown, and close the file descriptors that were attached."""
    pid = 0
    for level, kind, data in ancillary:
        if level != socket.SOL_SOCKET:
            continue
        if kind == socket.SCM_CREDENTIALS:
            pid = _CREDENTIALS.unpack(data[: _CREDENTIALS.size])[0]
        elif kind == socket.SCM_RIGHTS:
            # Guards against descriptors that a sender attaches: they would stay open.
            descriptors = array.array("i", data[: len(data) - len(data) % _FILE_DESCRIPTOR_BYTES])
            for descriptor in descriptors:
                os.close(descriptor)
    return pid
