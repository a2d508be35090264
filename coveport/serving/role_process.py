"""Runs a role as a process: reads and checks its settings, handles signals, and returns an exit code.

SIGTERM and SIGINT start the graceful shutdown; SIGHUP reads the settings file again (`settings.reload`). A
SIGHUP before that is possible is held back (`net.reload_signal`).
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable
from typing import Final, Protocol

from coveport.net.reload_signal import release_reload_signal
from coveport.net.transport import Net
from coveport.serving.log import EventLogger, create_logger
from coveport.serving.model.findings import Refusal
from coveport.serving.settings.boot import BootSettings
from coveport.serving.settings.bound_checks import tight_bounds
from coveport.serving.settings.reader import RoleSetting, read_boot_settings
from coveport.serving.settings.reload import ReloadingRole, SettingsReloader

EXIT_CANNOT_START: Final = 1  # for example, because the data directory is unusable
EXIT_INVALID_SETTINGS: Final = 2


class CannotStartError(Exception):
    """A role can't start; the error text is printed as one line on standard error."""


class Role(ReloadingRole, Protocol):
    """A coordinator or proxy, which runs until a signal stops it."""

    async def start(self) -> None:
        """Start to serve; raises OSError if an address can't be bound."""

    async def stop(self) -> None:
        """Shut down gracefully; return once nothing is in flight."""


RoleFactory = Callable[[Net, BootSettings, EventLogger], Role]


def run_process(settings_path: str, required: tuple[RoleSetting, ...], make_role: RoleFactory) -> int:
    """Run a role until a signal stops it; return the exit code.

    `required`: names of the settings that the role needs.
    """
    settings = read_boot_settings(settings_path, required_settings=required)
    if isinstance(settings, Refusal):
        for finding in settings.findings:
            print(f"coveport: settings: {finding}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    try:
        asyncio.run(_run(settings_path, settings, make_role))
    except CannotStartError as error:
        print(f"coveport: {error}", file=sys.stderr)
        return EXIT_CANNOT_START
    return 0


async def _run(settings_path: str, settings: BootSettings, make_role: RoleFactory) -> None:
    loop = asyncio.get_running_loop()
    net = Net(loop)
    log = create_logger(net.now_s)
    role = make_role(net, settings, log)
    shutdown_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, shutdown_requested.set)
    reloader = SettingsReloader(settings_path, settings, role)
    loop.add_signal_handler(signal.SIGHUP, reload_settings, reloader, log)
    release_reload_signal()
    log_tight_bounds(settings, log)
    await role.start()
    await shutdown_requested.wait()
    await role.stop()


def reload_settings(reloader: SettingsReloader, log: EventLogger) -> None:
    """Reload the settings file, and log the changed settings or the faults found in the file."""
    outcome = reloader.reload()
    if isinstance(outcome, Refusal):
        log.error("settings_rejected", findings=[str(finding) for finding in outcome.findings])
    else:
        log.info("settings_changed", applied=list(outcome.applied), at_next_start=list(outcome.at_next_start))


def log_tight_bounds(settings: BootSettings, log: EventLogger) -> None:
    """Log a warning for each bound that is tighter than a time that this system requires."""
    for tight in tight_bounds(settings.bounds):
        log.warning(
            "bound_too_tight", key=tight.key, bound=tight.bound, needed=tight.needed, reason=tight.reason
        )
