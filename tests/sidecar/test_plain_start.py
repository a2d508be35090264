"""`python -m coveport` without arguments loads what is written here, and nothing more.

A sidecar stands beside every till, and its memory and its start are counted: what the command line and the
lab need stays out of it. A module that the sidecar itself comes to need is added to the list; one of the
command line, of the lab or of somebody else's never is.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from world import Server, served, world

LOADED = """
coveport coveport.balancing coveport.balancing.actions coveport.balancing.balancer
coveport.balancing.balancer_state coveport.balancing.endpoint_discovery coveport.balancing.events
coveport.balancing.host coveport.balancing.host_selection coveport.balancing.load_shedding
coveport.balancing.locality coveport.balancing.outlier_ejection coveport.balancing.pending_requests
coveport.balancing.request_state coveport.balancing.retry_policy coveport.balancing.settings
coveport.balancing.slow_start coveport.balancing.subsetting coveport.balancing.simulator_settings
coveport.http1 coveport.http1.errors coveport.http1.fields coveport.http1.message_parser
coveport.http1.messages coveport.http1.request_parser coveport.http1.response_parser
coveport.http1.writers coveport.net coveport.net.address coveport.net.clock
coveport.net.errors coveport.net.listening coveport.net.sockets coveport.net.transport coveport.sidecar
coveport.sidecar.admin
coveport.sidecar.admin.codec coveport.sidecar.admin.errors coveport.sidecar.admin.server
coveport.sidecar.config
coveport.sidecar.config.errors coveport.sidecar.config.platform coveport.sidecar.config.reload_checks
coveport.sidecar.discovery
coveport.sidecar.discovery.discovery_client coveport.sidecar.discovery.discovery_connection
coveport.sidecar.discovery.endpoint_reader coveport.sidecar.discovery.endpoint_source
coveport.sidecar.discovery.errors coveport.sidecar.downstream
coveport.sidecar.downstream.client_connection coveport.sidecar.downstream.client_table
coveport.sidecar.downstream.context coveport.sidecar.downstream.limits
coveport.sidecar.downstream.listener coveport.sidecar.downstream.operation_client
coveport.sidecar.downstream.operation_reader
coveport.sidecar.downstream.sweep_timer coveport.sidecar.downstream.upload_timing
coveport.sidecar.descriptor_limits coveport.sidecar.open_operation
coveport.sidecar.operation_interfaces coveport.sidecar.effects
coveport.sidecar.reducer coveport.sidecar.reducer.endpoint
coveport.sidecar.reducer.messages coveport.sidecar.reducer.operation coveport.sidecar.reducer.phases
coveport.sidecar.reducer.reducer coveport.sidecar.reducer.streams coveport.sidecar.service
coveport.sidecar.telemetry coveport.sidecar.telemetry.counters coveport.sidecar.telemetry.log
coveport.sidecar.upstream coveport.sidecar.upstream.connection_pool
coveport.sidecar.upstream.attempt coveport.sidecar.upstream.http1_connection
coveport.sidecar.upstream.http1_messages coveport.sidecar.upstream.protocol
"""
HELD_MIB = 40  # the whole process, once it has served; it was 23 when this was written


def run(*command: str) -> str:
    """What a process says of its imports."""
    return subprocess.run(
        [sys.executable, "-X", "importtime", *command],
        stderr=subprocess.PIPE,
        text=True,
        timeout=20,
        check=False,
    ).stderr


def loaded(said: str) -> set[str]:
    """The modules that were imported from outside the standard library."""
    names = {line.rpartition("|")[2].strip() for line in said.splitlines() if line.startswith("import time:")}
    return {name for name in names if name.partition(".")[0] not in sys.stdlib_module_names} - {
        "imported package"
    }


@pytest.fixture(scope="module")
def usual() -> set[str]:
    """What the environment and the standard library import, or try to."""
    return loaded(run("-c", "import copy"))


def test_a_wrong_configuration_loads_no_more(usual: set[str], monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("LB_CONFIG", "")
    said = run("-m", "coveport")
    assert "LB_CONFIG is not set" in said and loaded(said) - usual == set(LOADED.split())


def test_a_sidecar_that_serves_loads_no_more(
    usual: set[str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")
    node = Server(served)
    with world(tmp_path, node.address) as one:
        assert one.ask("GET /balance")[0] == 200
        status = Path(f"/proc/{one.process.pid}/status")
        if status.exists():
            held = next(line for line in status.read_text().splitlines() if line.startswith("VmHWM"))
            assert int(held.split()[1]) < HELD_MIB * 1024
        assert one.stop() == 0
        assert loaded(one.log.read_text()) - usual == set(LOADED.split())
