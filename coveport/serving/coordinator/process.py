"""Runs a coordinator as a process: opens the storage, and seeds the random source from the system."""

from __future__ import annotations

import random

from coveport.net.transport import Net
from coveport.serving.coordinator.coordinator import Coordinator
from coveport.serving.log import EventLogger
from coveport.serving.replication.errors import UnreadableStateError
from coveport.serving.role_process import CannotStartError, run_process
from coveport.serving.settings.boot import BootSettings
from coveport.serving.storage.errors import UnsupportedFormatError
from coveport.serving.storage.open_store import open_storage


def run(settings_path: str) -> int:
    """Run a coordinator until a signal stops it; return the exit code."""
    return run_process(settings_path, ("data_dir",), _make_coordinator)


def _make_coordinator(net: Net, settings: BootSettings, log: EventLogger) -> Coordinator:
    assert settings.data_dir is not None
    try:
        opened = open_storage(settings.data_dir, settings.first_boot, net.loop.call_soon_threadsafe)
    except (UnsupportedFormatError, OSError, ValueError) as error:
        raise CannotStartError(f"{settings.data_dir}: {error}") from error
    try:
        return Coordinator(net, settings, opened, random.Random(), log)
    except UnreadableStateError as error:
        raise CannotStartError(f"{settings.data_dir}: {error}") from error
