"""Processes that start again together are ready in time, whatever discovery does meanwhile."""

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

TOGETHER, WITHIN_S, TENTHS = 20, 10.0, 9
# A process on the platform has part of a core: a tenth of one gives a second of it within the time.
CPU_MOST_S = 1.0


def ready(address: tuple[str, int]) -> bool:
    try:
        with socket.create_connection(address, timeout=1) as conn:
            conn.sendall(request("GET /_health"))
            return receive(conn)[0] == 200
    except (OSError, AssertionError):
        return False


@pytest.mark.parametrize("discovery", ["hangs", "silent", "refuses", "refused"])
def test_nine_in_ten_of_those_that_are_killed_together(tmp_path: Path, discovery: str) -> None:
    node, known = Server(served), Discovery()
    known.put("s-0", node.address)
    there = {
        "hangs": Clogged().address,
        "silent": Peer().address,
        "refused": "127.0.0.1:1",
        "refuses": Server(lambda seen: reply(503)).address,
    }[discovery]
    with contextlib.ExitStack() as stack:
        began, late = time.monotonic(), 0
        logs = []
        for number in range(TOGETHER):
            folder = tmp_path / str(number)
            folder.mkdir()
            config = folder / "config.json"
            config.write_text(configuration(known, there))
            logs.append(stack.enter_context(program(config))[1])
        for log in logs:
            address = listening(log)
            while not ready(address) and time.monotonic() < began + 60:
                time.sleep(0.02)
            late += time.monotonic() > began + WITHIN_S
        assert late <= TOGETHER - TOGETHER * TENTHS // 10


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
    # The sums grow by a process each; the cheapest of them says what a start costs.
    each = min(after - before for before, after in pairwise(costs))
    assert each < CPU_MOST_S, costs
