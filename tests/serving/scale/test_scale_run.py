"""A small run on loopback with real processes and a time limit."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

TIMEOUT_S = 90  # 20 s on an idle machine; processes start slowly on a busy one


def scale(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "coveport.serving", "scale", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False)


def test_a_small_run_completes_without_problems(tmp_path: Path) -> None:
    file, page = tmp_path / "run.json", tmp_path / "run.html"
    size = ("--proxies", "6", "--nodes", "6", "--real-proxies", "1", "--routes", "20")
    completed = scale(*size, "--seconds", "5", "--write", str(file), "--report", str(page))
    assert completed.returncode == 0, completed.stdout + completed.stderr
    result = json.loads(file.read_text())
    assert result["problems"] == []
    assert result["change"]["count"] == 4 * 6
    assert result["closing"]["count"] == 4 * 6
    assert result["change"]["missing"] == result["closing"]["missing"] == 0
    assert 0 < result["takeover"]["worst_s"] < 15
    assert len(result["calm"]["coordinators"]) == 3
    assert 1 < result["calm"]["proxy_received"]["messages_s"] < 50
    assert result["calm"]["node_calls_s"] > 2
    assert result["faults"]["primary_kills"] == 1
    assert page.read_text().count("<svg") > 5


def test_an_invalid_size_is_rejected() -> None:
    completed = scale("--coordinators", "2")
    assert completed.returncode == 2
    assert "coordinators must be 3 to 6" in completed.stderr


def test_slopes_need_two_sizes(tmp_path: Path) -> None:
    completed = scale("slopes", str(tmp_path / "none.json"))
    assert completed.returncode == 2
    assert "none.json" in completed.stderr
