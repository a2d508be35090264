"""A role that can't start prints the reason in one line on standard error, and exits with its code."""

from __future__ import annotations

import os
import signal
import struct
import subprocess
import sys
import zlib
from pathlib import Path

from settings_examples import COORDINATOR

from coveport.serving.role_process import EXIT_CANNOT_START
from coveport.serving.storage.ring_format import FORMAT_VERSION, MAGIC, SALT_BYTES

TIMEOUT_S = 60


def start(tmp_path: Path, data: Path) -> subprocess.Popen[str]:
    settings = tmp_path / "boot.toml"
    lines = [
        f'DataDir = "{data}"' if line.startswith("DataDir") else line for line in COORDINATOR.splitlines()
    ]
    settings.write_text("\n".join(lines).replace("10.1.0.13", "127.0.0.1"), encoding="utf-8")
    command = [sys.executable, "-m", "coveport.serving", "coordinator"]
    environment = {**os.environ, "COVEPORT_NODE_FILE": str(settings)}
    return subprocess.Popen(command, env=environment, stderr=subprocess.PIPE, text=True)


def test_a_newer_format_on_disk_gives_one_line(tmp_path: Path) -> None:
    data = tmp_path / "data"
    data.mkdir()
    process = start(tmp_path, data)
    assert process.stderr is not None
    for line in process.stderr:
        if "coordinator_started" in line:
            break
    process.send_signal(signal.SIGTERM)
    process.communicate(timeout=TIMEOUT_S)
    _upgrade_format(data)
    error_text = start(tmp_path, data).communicate(timeout=TIMEOUT_S)[1]
    assert len(error_text.splitlines()) == 1, error_text
    assert error_text.startswith(f"coveport: {data}: ")


def _upgrade_format(data: Path) -> None:
    """Rewrite each file's header with the next format version."""
    header = struct.Struct(">4sHQ8sI")
    changed = 0
    for path in data.iterdir():
        content = bytearray(path.read_bytes())
        if content[: len(MAGIC)] != MAGIC:
            continue
        _, _, generation, salt, records = header.unpack_from(content)
        new_header = header.pack(MAGIC, FORMAT_VERSION + 1, generation, salt, records)
        content[: header.size + 4] = new_header + struct.pack(">I", zlib.crc32(new_header))
        path.write_bytes(content)
        changed += 1
    assert changed and SALT_BYTES == 8


def test_data_directory_that_cannot_be_created_gives_one_line(tmp_path: Path) -> None:
    file = tmp_path / "file"
    file.write_text("", encoding="utf-8")
    process = start(tmp_path, file / "data")
    error_text = process.communicate(timeout=TIMEOUT_S)[1]
    assert process.returncode == EXIT_CANNOT_START
    assert len(error_text.splitlines()) == 1, error_text
