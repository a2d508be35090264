"""Starts a role. Imports nothing that a role does not need: its start is counted."""

from __future__ import annotations

import os
import sys

from coveport.serving.wire.names import SETTINGS_VARIABLE

ROLES = ("coordinator", "proxy")
NO_SETTINGS = 2  # exit code


def run_role(role: str, settings: str | None) -> int:
    """Run a role until it is told to stop; the exit code.

    `settings`: its file; None: the variable names it.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"coveport: name a settings file, or set {SETTINGS_VARIABLE}", file=sys.stderr)
        return NO_SETTINGS
    if role == "coordinator":
        from coveport.serving.coordinator.process import run as run_coordinator

        return run_coordinator(path)
    from coveport.serving.proxy.process import run as run_proxy

    return run_proxy(path)
