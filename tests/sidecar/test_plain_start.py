"""`python -m coveport` without arguments imports the modules listed here and no others.

A sidecar runs beside every point of sale, so its memory and start-up time matter: the modules of the command
line and of the testbed stay out of it. A module that the sidecar itself needs is added to the list; a module
of the command line, of the testbed or of another package never is.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest
from world import Server, served, world

EXPECTED = """
coveport coveport.balancing coveport.balancing.actions coveport.balancing.balancer
coveport.balancing.balancer_state coveport.balancing.endpoint_discovery coveport.balancing.events
coveport.balancing.host coveport.balancing.host_selection coveport.balancing.load_shedding
coveport.balancing.locality coveport.balancing.outlier_ejection coveport.balancing.pending_requests
coveport.balancing.request_state coveport.balancing.retry_policy coveport.balancing.settings
coveport.balancing.slow_start coveport.balancing.subsetting coveport.balancing.simulator_settings
coveport.http1 coveport.http1.errors coveport.http1.fields coveport.http1.message_parser
coveport.http1.messages coveport.http1.request_parser coveport.http1.response_parser
coveport.http1.writers coveport.net coveport.net.address coveport.net.clock
coveport.net.errors coveport.net.listening coveport.net.reload_signal coveport.net.sockets
coveport.net.transport coveport.sidecar
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
MAX_RESIDENT_MIB = 40  # peak of the process after it has served; it was 23 when the limit was set


def import_log(*command: str) -> str:
    """Return the standard error of a process that logs its imports."""
    return subprocess.run(
        [sys.executable, "-X", "importtime", *command],
        stderr=subprocess.PIPE,
        text=True,
        timeout=20,
        check=False,
    ).stderr


def third_party_modules(log: str) -> set[str]:
    """Return the imported modules that are not in the standard library."""
    names = {line.rpartition("|")[2].strip() for line in log.splitlines() if line.startswith("import time:")}
    return {name for name in names if name.partition(".")[0] not in sys.stdlib_module_names} - {
        "imported package"
    }


@pytest.fixture(scope="module")
def baseline() -> set[str]:
    """The modules that the environment and the standard library import, or try to."""
    return third_party_modules(import_log("-c", "import copy"))


def test_a_wrong_configuration_imports_nothing_else(
    baseline: set[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("LB_CONFIG", "")
    log = import_log("-m", "coveport")
    assert "LB_CONFIG is not set" in log and third_party_modules(log) - baseline == set(EXPECTED.split())


def test_a_serving_sidecar_imports_nothing_else(
    baseline: set[str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("PYTHONPROFILEIMPORTTIME", "1")
    node = Server(served)
    with world(tmp_path, node.address) as sidecar:
        assert sidecar.ask("GET /balance")[0] == 200
        status = Path(f"/proc/{sidecar.process.pid}/status")
        if status.exists():
            peak = next(line for line in status.read_text().splitlines() if line.startswith("VmHWM"))
            assert int(peak.split()[1]) < MAX_RESIDENT_MIB * 1024
        assert sidecar.stop() == 0
        assert third_party_modules(sidecar.log.read_text()) - baseline == set(EXPECTED.split())
