"""A SIGHUP right after the start of an instance doesn't end it.

Guards against an instance that a reload ends before its interpreter has run a line of the program (issue 88).
"""

from __future__ import annotations

import asyncio
import os
import signal
import socket
from pathlib import Path

from coveport.sidecar.config.operator_file import read
from coveport.sidecar.supervisor import locks
from coveport.sidecar.supervisor.instance_state import ExitReason
from coveport.sidecar.supervisor.process_control import HostProcesses

NAME = "h-1"
START_LIMIT_S = 60.0
FLEET = """
instance.platform = "platform.json"
store.url = "sqlite:store.db"
fleet = {{name = "h", instances = 1, listen = "127.0.0.1:{port}"}}
"""


def free_port() -> int:
    """Return a port on loopback."""
    with socket.create_server(("127.0.0.1", 0)) as probe:
        return int(probe.getsockname()[1])


async def exit_after_reload(folder: Path) -> ExitReason:
    """Start an instance whose file is unusable, send it SIGHUP at once, and return why it ended."""
    unusable = folder / "operator.toml"
    unusable.write_text("[unknown]\n", encoding="utf-8")
    processes = HostProcesses(read(FLEET.format(port=free_port()), folder), unusable)
    ended: asyncio.Future[ExitReason] = asyncio.get_running_loop().create_future()
    processes.on_exit = lambda name, incarnation, reason: ended.set_result(reason)
    try:
        os.kill(locks.pid_of(processes.start(NAME)), signal.SIGHUP)
        async with asyncio.timeout(START_LIMIT_S):
            return await ended
    finally:
        processes.stop_watching()


def test_sighup_right_after_the_start_of_an_instance_does_not_end_it(tmp_path: Path) -> None:
    assert asyncio.run(exit_after_reload(tmp_path)) is ExitReason.UNUSABLE_FILES


def test_the_supervisor_itself_still_gets_sighup_after_a_start(tmp_path: Path) -> None:
    asyncio.run(exit_after_reload(tmp_path))
    assert signal.SIGHUP not in signal.pthread_sigmask(signal.SIG_BLOCK, ())
