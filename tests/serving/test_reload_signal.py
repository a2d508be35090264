"""A SIGHUP at any moment of a start ends no process; what it asks for is done once the process can do it.

Guards against a process that is ended by a reload that comes right after its start (issue 88).
"""

from __future__ import annotations

import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from threading import Timer

import pytest

from coveport.serving.role_process import EXIT_INVALID_SETTINGS
from coveport.serving.settings.boot import BootSettings
from coveport.serving.simulation.deployment import Deployment, MachineSpot, proxy_settings
from coveport.serving.simulation.local_processes import child_environment
from coveport.serving.simulation.settings_file import settings_text
from coveport.serving.simulation.zones import Zone
from coveport.serving.wire.names import SETTINGS_VARIABLE

START_LIMIT_S = 60.0
# Runs a program, and sends it SIGHUP when it begins to import a module.
PROGRAM = """
import os, runpy, signal, sys

module = sys.argv.pop()

class Sender:
    def find_spec(self, name, path, target=None):
        if name == module:
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Sender())
runpy.run_module(sys.argv.pop(1), run_name="__main__", alter_sys=True)
"""
SERVING_MODULES = (
    "coveport.serving.cli.roles",
    "asyncio",
    "coveport.serving.role_process",
    "coveport.serving.settings.reader",
)


def start(arguments: list[str], module: str, environment: dict[str, str]) -> subprocess.Popen[str]:
    """Start a program that gets SIGHUP at the import of a module."""
    return subprocess.Popen(
        [sys.executable, "-c", PROGRAM, *arguments, module],
        env={**child_environment(), **environment},
        stderr=subprocess.PIPE,
        text=True,
    )


@pytest.mark.parametrize("role", ["coordinator", "proxy"])
@pytest.mark.parametrize("module", SERVING_MODULES)
def test_sighup_during_the_start_does_not_end_a_role(role: str, module: str, tmp_path: Path) -> None:
    missing = {SETTINGS_VARIABLE: str(tmp_path / "missing.toml")}
    process = start(["coveport.serving", role], module, missing)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == EXIT_INVALID_SETTINGS, errors


@pytest.mark.parametrize("module", ["coveport.sidecar.service", "asyncio"])
def test_sighup_during_the_start_does_not_end_the_sidecar(module: str, tmp_path: Path) -> None:
    process = start(["coveport"], module, {"LB_CONFIG": str(tmp_path / "missing.json")})
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 2, errors


@pytest.mark.parametrize(
    "command",
    [["run", "--config"], ["fleet", "run"], ["--debug", "fleet", "run"]],
    ids=["run", "fleet run", "with an option"],
)
@pytest.mark.parametrize("module", ["click", "coveport.cli.operator_options"])
def test_sighup_during_the_start_does_not_end_a_command_that_serves(
    command: list[str], module: str, tmp_path: Path
) -> None:
    file = tmp_path / "operator.toml"
    file.write_text("[unknown]\n", encoding="utf-8")
    process = start(["coveport", *command, str(file)], module, {})
    _, errors = process.communicate(timeout=START_LIMIT_S)
    assert process.returncode == 2, errors


def test_sighup_still_ends_a_command_that_does_not_serve(tmp_path: Path) -> None:
    process = start(["coveport", "check", str(tmp_path / "missing.toml")], "click", {})
    process.communicate(timeout=START_LIMIT_S)
    assert process.returncode == -signal.SIGHUP


def settings_on_free_ports() -> BootSettings:
    """Return the settings of a proxy without coordinators."""
    spot = MachineSpot("p", "127.0.0.1", Zone("z", "r"))
    deployment = Deployment(zones=(spot.zone,), proxies=(1,), nodes=(1,), clients=(1,))
    settings = proxy_settings(deployment, spot, (), True)
    return replace(settings, clients=(spot.ip, 0), readiness=(spot.ip, 0))


def test_sighup_during_the_start_is_followed_by_a_reload(tmp_path: Path) -> None:
    file = tmp_path / "proxy.toml"
    file.write_text(settings_text(settings_on_free_ports()), encoding="utf-8")
    process = start(["coveport.serving", "proxy"], "asyncio", {SETTINGS_VARIABLE: str(file)})
    assert process.stderr is not None
    events = []
    watchdog = Timer(START_LIMIT_S, process.kill)  # ends the loop below if the event never comes
    watchdog.start()
    try:
        for line in process.stderr:
            events.append(line)
            if "settings_changed" in line:
                break
        process.send_signal(signal.SIGTERM)
        assert process.wait(60) == 0, events
    finally:
        watchdog.cancel()
        process.kill()
        process.wait()
        process.stderr.close()
    assert any("settings_changed" in event for event in events), events
