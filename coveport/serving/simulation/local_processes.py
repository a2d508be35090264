"""Runs the real programs as local processes on loopback addresses, with settings and logs in a folder."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from contextlib import nullcontext
from pathlib import Path
from typing import Final

import coveport
from coveport.net.reload_signal import reload_signal_held_for_children
from coveport.serving.settings.boot import BootSettings
from coveport.serving.simulation.settings_file import settings_text
from coveport.serving.wire.names import SETTINGS_VARIABLE

EXIT_SLACK_S: Final = 3.0  # additional wait after the grace period


OWN_SOURCE: Final = Path(coveport.__file__).parent.parent


def child_environment(source: Path = OWN_SOURCE) -> dict[str, str]:
    """Return the environment of a child process, with `source` at the front of PYTHONPATH."""
    root = str(source)
    inherited = os.environ.get("PYTHONPATH")
    return {**os.environ, "PYTHONPATH": os.pathsep.join([root, inherited] if inherited else [root])}


class LocalProcess:
    """A process of one role that can be restarted."""

    def __init__(
        self,
        role: str,
        folder: Path,
        settings: Callable[[bool], BootSettings],
        *,
        is_reload_signal_held: bool = False,
    ) -> None:
        """Create a stopped process; `settings(first_boot)` returns its settings.

        `is_reload_signal_held`: start it with SIGHUP blocked, so that one right after the start can't end it.
        """
        self._role = role
        self._is_reload_signal_held = is_reload_signal_held
        self._settings = settings
        first_settings = settings(True)
        self.name = first_settings.name
        self._grace_s = first_settings.bounds.grace_s
        self._file = folder / f"{first_settings.name}.toml"
        self._log = folder / f"{first_settings.name}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._incarnations = 0
        self.source = OWN_SOURCE  # folder that contains the package for the next incarnation

    @property
    def is_up(self) -> bool:
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def exit_code(self) -> int | None:
        """Return the exit code of the last incarnation; None if it still runs or none was started."""
        return None if self._process is None else self._process.returncode

    async def start(self) -> None:
        """Start the process."""
        self._file.write_text(settings_text(self._settings(self._incarnations == 0)), encoding="utf-8")
        self._incarnations += 1
        variables = {**child_environment(self.source), SETTINGS_VARIABLE: str(self._file)}
        held = reload_signal_held_for_children() if self._is_reload_signal_held else nullcontext()
        with self._log.open("ab") as log, held:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "coveport.serving", self._role, env=variables, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL, cwd=self.source,
            )  # fmt: skip

    async def kill(self) -> None:
        """Kill the process."""
        if self._process is not None and self.is_up:
            self._process.kill()
            await self._process.wait()

    @property
    def pid(self) -> int | None:
        """The process id; None if it does not run."""
        return self._process.pid if self._process is not None and self.is_up else None

    def suspend(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self.is_up:
            self._process.send_signal(number)

    async def terminate(self) -> bool:
        """Send SIGTERM and wait; return whether the process ended within the grace period."""
        if self._process is None or not self.is_up:
            return True
        self._process.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(self._grace_s + EXIT_SLACK_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
            return False
        return True

    def log_text(self) -> str:
        """Return the log of all incarnations; empty if there is no log."""
        try:
            return self._log.read_text(encoding="utf-8", errors="replace")
        except OSError:
            return ""

    def last_lines(self, count: int = 5) -> list[str]:
        """Return the last lines of the log."""
        return self.log_text().splitlines()[-count:]
