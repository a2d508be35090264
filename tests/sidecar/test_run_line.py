"""The program, started by the deploy file's `run` line, starts no process and makes no refused call."""

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
def check_event(event, args):
    if event.startswith(REFUSED):
        os.write(2, f"REFUSED {event} {args!r}\\n".encode())
sys.addaudithook(check_event)
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


@pytest.mark.parametrize("stop_signal", [signal.SIGTERM, signal.SIGINT])
def test_a_sidecar_makes_no_refused_call(tmp_path: Path, stop_signal: signal.Signals) -> None:
    """Covers the start, an unreachable discovery, a reload, a bad file, the counters and the shutdown."""
    assert RUN.startswith("exec ") and not any(sign in RUN for sign in ";&|`$"), "one process, by exec"
    (tmp_path / "sitecustomize.py").write_text(TRACER)
    config_path = tmp_path / "config.json"
    config(config_path, (0, 1))
    env = os.environ | {"LB_CONFIG": str(config_path), "PYTHONPATH": f"{tmp_path}{os.pathsep}{ROOT}"}
    line = RUN.replace(".venv/bin/python", sys.executable)
    with subprocess.Popen(
        ["/bin/sh", "-c", line], env=env, cwd=ROOT, text=True, stderr=subprocess.PIPE
    ) as process:
        assert process.stderr is not None
        lines = [process.stderr.readline()]
        while "listening" not in lines[-1] and lines[-1]:
            lines.append(process.stderr.readline())
        for signal_number, text in ((signal.SIGHUP, None), (signal.SIGUSR1, None), (signal.SIGHUP, "{")):
            if text is not None:
                config_path.write_text(text)
            process.send_signal(signal_number)
            time.sleep(0.2)
        process.send_signal(stop_signal)
        lines.append(process.stderr.read())
        assert process.wait() == 0, lines
    assert "REFUSED" not in "".join(lines), lines
    assert "counters" in "".join(lines), "it ran until its shutdown"


def test_the_tracer_reports_refused_calls(tmp_path: Path) -> None:
    (tmp_path / "sitecustomize.py").write_text(TRACER)
    env = os.environ | {"PYTHONPATH": str(tmp_path)}
    for bad in ("os.system('true')", "__import__('subprocess').run(['true'])", "os.sendfile(1, 0, 0, 1)"):
        result = subprocess.run(
            [sys.executable, "-c", f"import os\n{bad}"], env=env, text=True, capture_output=True, check=False
        )
        assert "REFUSED" in result.stderr, bad
