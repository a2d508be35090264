"""The program as `run` names it asks the system for no other process and none of the refused calls, ever."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
RUN = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
TRACER = """
import os, sys
REFUSED = ("subprocess.", "os.system", "os.exec", "os.fork", "os.posix_spawn", "os.spawn", "pty.")
def heard(event, args):
    if event.startswith(REFUSED):
        os.write(2, f"REFUSED {event} {args!r}\\n".encode())
sys.addaudithook(heard)
def refused(name):
    def call(*args, **more):
        os.write(2, f"REFUSED {name}\\n".encode())
        raise OSError(38, name)
    return call
for name in ("sendfile", "splice", "fork", "vfork", "copy_file_range"):
    if hasattr(os, name):
        setattr(os, name, refused(name))
"""


def config(path: Path, ports: tuple[int, int]) -> None:
    path.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{ports[0]}",
                "discovery": f"127.0.0.1:{ports[1]}",
                "seed": "7",
                "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
                "known": {"seq": 1, "whole": True, "hosts": []},
                "settings": {
                    "classes": [
                        {
                            "name": "balance",
                            "semantics": "idempotent",
                            "aim_ms": 1000.0,
                            "deadline_ms": 3000.0,
                        }
                    ]
                },
            }
        )
    )


@pytest.mark.parametrize("end", [signal.SIGTERM, signal.SIGINT])
def test_no_life_of_a_sidecar_asks_for_what_is_refused(tmp_path: Path, end: signal.Signals) -> None:
    """Start, an unreachable discovery, a reload, a bad file, counters, the end."""
    assert RUN.startswith("exec ") and not any(sign in RUN for sign in ";&|`$"), "one process, by exec"
    (tmp_path / "sitecustomize.py").write_text(TRACER)
    told = tmp_path / "config.json"
    config(told, (0, 1))
    env = os.environ | {"LB_CONFIG": str(told), "PYTHONPATH": f"{tmp_path}{os.pathsep}{ROOT}"}
    line = RUN.replace(".venv/bin/python", sys.executable)
    with subprocess.Popen(
        ["/bin/sh", "-c", line], env=env, cwd=ROOT, text=True, stderr=subprocess.PIPE
    ) as life:
        assert life.stderr is not None
        said = [life.stderr.readline()]
        while "listening" not in said[-1] and said[-1]:
            said.append(life.stderr.readline())
        for number, text in ((signal.SIGHUP, None), (signal.SIGUSR1, None), (signal.SIGHUP, "{")):
            if text is not None:
                told.write_text(text)
            life.send_signal(number)
            time.sleep(0.2)
        life.send_signal(end)
        said.append(life.stderr.read())
        assert life.wait() == 0, said
    assert "REFUSED" not in "".join(said), said
    assert "counters" in "".join(said), "it lived to its end"


def test_the_tracer_hears_what_is_refused(tmp_path: Path) -> None:
    (tmp_path / "sitecustomize.py").write_text(TRACER)
    env = os.environ | {"PYTHONPATH": str(tmp_path)}
    for bad in ("os.system('true')", "__import__('subprocess').run(['true'])", "os.sendfile(1, 0, 0, 1)"):
        done = subprocess.run(
            [sys.executable, "-c", f"import os\n{bad}"], env=env, text=True, capture_output=True, check=False
        )
        assert "REFUSED" in done.stderr, bad
