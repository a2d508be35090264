"""The service manager's notification protocol, both sides: datagrams of NAME=value lines to a Unix socket.

An instance speaks it to its supervisor, and the supervisor to a service manager where one has started it. The
kernel tells who sent a datagram (SCM_CREDENTIALS), so nobody speaks for another.
"""

from __future__ import annotations

import array
import asyncio
import os
import socket
import struct
from collections.abc import Callable, Mapping
from pathlib import Path

MOST = 4096  # bytes of a datagram
A_TURN = 256  # datagrams read in one turn of the loop
_CREDENTIALS = struct.Struct("iII")


class Notifier:
    """Speaks to whoever NOTIFY_SOCKET names; where that is nobody, nothing is said."""

    def __init__(self, address: str) -> None:
        self._socket: socket.socket | None = None
        # An abstract name begins with "@" in the variable and with a zero byte for the system.
        self._address = "\0" + address[1:] if address.startswith("@") else address
        if address:
            self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
            self._socket.setblocking(False)

    @classmethod
    def of(cls, environ: Mapping[str, str]) -> Notifier:
        """The one that the environment names."""
        return cls(environ.get("NOTIFY_SOCKET", ""))

    def say(self, **words: object) -> bool:
        """Send words; False where nobody took them. Never waits."""
        if self._socket is None:
            return False
        data = "\n".join(f"{name}={value}" for name, value in words.items()).encode()[:MOST]
        try:
            self._socket.sendto(data, self._address)
        except OSError:
            return False  # it is gone or has no room: the next word says more
        return True

    def close(self) -> None:
        """Say nothing more."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None


def watchdog_interval_s(environ: Mapping[str, str], pid: int) -> float:
    """How often a sign of us is wanted at the least, s; 0: it is not."""
    usec = environ.get("WATCHDOG_USEC", "")
    if not usec.isdigit() or environ.get("WATCHDOG_PID", str(pid)) != str(pid):
        return 0.0
    return int(usec) / 1e6


def read(data: bytes) -> dict[str, str]:
    """A datagram's words; what is no word is passed over."""
    words = {}
    for line in data.decode("utf-8", errors="replace").splitlines():
        name, equals, value = line.partition("=")
        if equals and name.isascii() and name.replace("_", "").isalnum():
            words[name] = value
    return words


class NotificationReceiver:
    """Hears what instances say. `heard` is called with the sender's pid and its words."""

    def __init__(self, path: Path, heard: Callable[[int, dict[str, str]], None]) -> None:
        self.path = path
        self._heard = heard
        path.unlink(missing_ok=True)  # another supervisor's, whose duty is ours now, or a dead one's
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM | socket.SOCK_CLOEXEC)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_PASSCRED, 1)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._socket.bind(str(path))
        path.chmod(0o600)
        self._inode = path.stat().st_ino
        asyncio.get_running_loop().add_reader(self._socket, self.drain)

    def drain(self) -> None:
        """Hear what waits."""
        for _ in range(A_TURN):
            try:
                data, beside, flags, _ = self._socket.recvmsg(
                    MOST, socket.CMSG_SPACE(_CREDENTIALS.size) + socket.CMSG_SPACE(64)
                )
            except OSError:
                return
            pid = 0
            for level, kind, told in beside:
                if level != socket.SOL_SOCKET:
                    continue
                if kind == socket.SCM_CREDENTIALS:
                    pid = _CREDENTIALS.unpack(told[: _CREDENTIALS.size])[0]
                elif kind == socket.SCM_RIGHTS:
                    # Guards against descriptors that somebody sends along: nobody would ever close them.
                    sent = array.array("i", told[: len(told) - len(told) % 4])
                    for one in sent:
                        os.close(one)
            if pid and not flags & socket.MSG_TRUNC:
                self._heard(pid, read(data))

    def close(self) -> None:
        """Hear nothing more."""
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        try:
            if self.path.stat().st_ino == self._inode:  # else it is a successor's by now
                self.path.unlink()
        except OSError:
            pass
