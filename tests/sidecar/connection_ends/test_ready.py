"""Processes that restart together are ready in time, even if discovery is unreachable."""

from __future__ import annotations

import contextlib
import os
import resource
import socket
import subprocess
import sys
import time
from itertools import pairwise
from pathlib import Path

import pytest
from scripted import Clogged, Peer, listening
from world import Discovery, Server, configuration, program, receive, reply, request, served

PROCESSES, READY_WITHIN_S, READY_TENTHS = 20, 10.0, 9
# A process on the platform has a part of a core: a tenth of a core gives 1 s of CPU within READY_WITHIN_S.
MAX_START_CPU_S = 1.0


def ready(address: tuple[str, int]) -> bool:
    try:
        with socket.create_connection(address, timeout=1) as conn:
            conn.sendall(request("GET /_health"))
            return receive(conn)[0] == 200
    except (OSError, AssertionError):
        return False


@pytest.mark.parametrize("discovery", ["hangs", "silent", "refuses", "refused"])
def test_nine_in_ten_processes_that_restart_together_are_ready_in_time(
    tmp_path: Path, discovery: str
) -> None:
    node, known = Server(served), Discovery()
    known.put("s-0", node.address)
    address_of_discovery = {
        "hangs": Clogged().address,
        "silent": Peer().address,
        "refused": "127.0.0.1:1",
        "refuses": Server(lambda seen: reply(503)).address,
    }[discovery]
    with contextlib.ExitStack() as stack:
        began, late = time.monotonic(), 0
        logs = []
        for number in range(PROCESSES):
            folder = tmp_path / str(number)
            folder.mkdir()
            config = folder / "config.json"
            config.write_text(configuration(known, address_of_discovery))
            logs.append(stack.enter_context(program(config))[1])
        for log in logs:
            address = listening(log)
            while not ready(address) and time.monotonic() < began + 60:
                time.sleep(0.02)
            late += time.monotonic() > began + READY_WITHIN_S
        assert late <= PROCESSES - PROCESSES * READY_TENTHS // 10


def test_a_start_costs_little_of_a_core(tmp_path: Path) -> None:
    known, config = Discovery(), tmp_path / "config.json"
    known.put("s-0", "127.0.0.1:1")
    config.write_text(configuration(known, known.server.address))
    costs = []
    for _ in range(3):
        process = subprocess.Popen(
            [sys.executable, "-m", "coveport"],
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "LB_CONFIG": str(config)},
        )
        assert process.stderr is not None
        for line in process.stderr:
            if "serving" in line:
                break
        process.terminate()
        process.communicate(timeout=20)
        used = resource.getrusage(resource.RUSAGE_CHILDREN)
        costs.append(used.ru_utime + used.ru_stime)
    # The sums grow by one process each; the cheapest process gives the cost of a start.
    each = min(after - before for before, after in pairwise(costs))
    assert each < MAX_START_CPU_S, costs
