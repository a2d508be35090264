"""A small run on this machine's loopback: real processes, bounded in time."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

BOUND_S = 90  # a busy machine starts slowly; alone it takes 20 s


def scale(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "coveport.serving", "scale", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=BOUND_S, check=False)


def test_a_small_run_comes_about_whole(tmp_path: Path) -> None:
    file, page = tmp_path / "run.json", tmp_path / "run.html"
    size = ("--proxies", "6", "--nodes", "6", "--real-proxies", "1", "--routes", "20")
    ran = scale(*size, "--seconds", "5", "--write", str(file), "--report", str(page))
    assert ran.returncode == 0, ran.stdout + ran.stderr
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


def test_a_size_that_cannot_be_is_refused() -> None:
    ran = scale("--coordinators", "2")
    assert ran.returncode == 2
    assert "coordinators must be 3 to 6" in ran.stderr


def test_slopes_need_two_sizes(tmp_path: Path) -> None:
    missing = scale("slopes", str(tmp_path / "none.json"))
    assert missing.returncode == 2
    assert "none.json" in missing.stderr
