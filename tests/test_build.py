"""The platform's `build` line: one that was cut short is not taken for a whole one by the next."""

from __future__ import annotations

import os
import subprocess
import tomllib
from pathlib import Path

BUILD = tomllib.loads(Path("deploy/balancer.toml").read_text())["build"]
# Stands for python3: makes an environment whose pip fails, or is killed half way, while a file says so.
PYTHON = """#!/bin/sh
echo "$@" >> "$OLDPWD_LOG"
mkdir -p .venv/bin
printf '#!/bin/sh\\ntouch .venv/half\\n[ ! -e ../cut ] || kill -9 $PPID\\n' > .venv/bin/pip
printf '#!/bin/sh\\n[ ! -e ../broken ]\\n' > .venv/bin/python
chmod +x .venv/bin/pip .venv/bin/python
"""


def build(folder: Path) -> tuple[int, int]:
    """Its exit code, and how often an environment was made up to now."""
    log = folder / "log"
    command = ["/bin/sh", "-c", BUILD]
    path = f"{folder / 'bin'}:{os.environ['PATH']}"
    code = subprocess.run(
        command, cwd=folder / "root", env={"PATH": path, "OLDPWD_LOG": str(log)}, check=False, timeout=20
    ).returncode
    return code, len(log.read_text().splitlines()) if log.exists() else 0


def test_a_build_cut_short_begins_anew_and_a_whole_one_is_kept(tmp_path: Path) -> None:
    root, python = tmp_path / "root", tmp_path / "bin" / "python3"
    root.mkdir()
    python.parent.mkdir()
    python.write_text(PYTHON)
    python.chmod(0o755)
    (root / "requirements.txt").write_text("a==1\n")
    for number, hurdle in enumerate(("cut", "broken"), 1):
        (tmp_path / hurdle).touch()
        assert build(tmp_path)[0] != 0 and not (root / ".venv" / ".built").exists()
        (root / ".venv" / "stale").touch()
        (tmp_path / hurdle).unlink()
        assert build(tmp_path) == (0, 2 * number) and not (root / ".venv" / "stale").exists()
        assert build(tmp_path) == (0, 2 * number)  # what is whole stays
        (root / "requirements.txt").write_text(f"a=={number + 1}\n")  # and other needs make it anew
