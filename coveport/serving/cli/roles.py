"""Starts a role. Imports only what the role needs, to keep its start short."""

from __future__ import annotations

import os
import sys

from coveport.serving.wire.names import SETTINGS_VARIABLE

NO_SETTINGS_EXIT_CODE = 2


def run_role(role: str, settings: str | None) -> int:
    """Run a role until a signal stops it, and return its exit code.

    `settings`: path of the settings file; None: the environment variable names it.
    """
    path = settings or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(f"coveport: name a settings file, or set {SETTINGS_VARIABLE}", file=sys.stderr)
        return NO_SETTINGS_EXIT_CODE
    if role == "coordinator":
        from coveport.serving.coordinator.process import run as run_coordinator

        return run_coordinator(path)
    from coveport.serving.proxy.process import run as run_proxy

    return run_proxy(path)
