"""Runs a role as a process: settings read and checked, signals, an exit code.

SIGTERM and SIGINT begin the planned end; SIGHUP has the settings file read again (`settings.reload`).
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Any, Protocol

from coveport.net.transport import Net
from coveport.serving.log import create_logger
from coveport.serving.model.findings import Refusal
from coveport.serving.settings.boot import BootSettings
from coveport.serving.settings.reader import RoleSetting, read_boot_settings
from coveport.serving.settings.reload import reload_settings

CANNOT_START = 1  # exit code: the disk can't be used
WRONG_SETTINGS = 2  # exit code


class CannotStartError(Exception):
    """Something that a role needs can't be used; its text is the one line that is said."""


class Role(Protocol):
    """What is run."""

    async def start(self) -> None:
        """Begin to serve."""

    async def stop(self) -> None:
        """The planned end; returns when nothing is owed."""


Make = Callable[[Net, BootSettings, Any], Role]


def run_process(settings_path: str, needed: tuple[RoleSetting, ...], make: Make) -> int:
    """Run the role that `make` gives (of net, settings and log) until it is told to stop; the exit code.

    `needed`: settings that this role can't be without.
    """
    settings = read_boot_settings(settings_path, needed=needed)
    if isinstance(settings, Refusal):
        for finding in settings.findings:
            print(f"coveport: settings: {finding}", file=sys.stderr)
        return WRONG_SETTINGS
    try:
        asyncio.run(_run(settings_path, settings, make))
    except CannotStartError as problem:
        print(f"coveport: {problem}", file=sys.stderr)
        return CANNOT_START
    return 0


async def _run(path: str, settings: BootSettings, make: Make) -> None:
    loop = asyncio.get_running_loop()
    net = Net(loop)
    log = create_logger(net.now_s)
    role = make(net, settings, log)
    stopping = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, path, settings, log)
    await role.start()
    await stopping.wait()
    await role.stop()
