"""Reads and writes the golden files: bytes and texts as they stand on a disk or cross a socket.

A golden file holds no name of a class, field or module, so that it stays as it is when those are renamed.
`write_fixtures.py` writes them; tests only read them.
"""

from __future__ import annotations

import gzip
import json
from collections.abc import Mapping
from pathlib import Path

FIXTURES = Path(__file__).parent / "fixtures"


def read_cases(name: str) -> dict[str, bytes]:
    """The bytes of each case in a JSON file of hexadecimal texts."""
    texts: dict[str, str] = json.loads((FIXTURES / name).read_text(encoding="utf-8"))
    return {case: bytes.fromhex(text) for case, text in texts.items()}


def write_cases(name: str, cases: Mapping[str, bytes]) -> None:
    """Keep the bytes of each case as hexadecimal text."""
    texts = {case: data.hex() for case, data in cases.items()}
    write_file(name, (json.dumps(texts, indent=2) + "\n").encode())


def read_file(name: str) -> bytes:
    """A file that is kept as it is."""
    return (FIXTURES / name).read_bytes()


def write_file(name: str, data: bytes) -> None:
    """Keep a file as it is."""
    path = FIXTURES / name
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(data)


def read_folder(name: str) -> dict[str, bytes]:
    """The files of a folder, by name. They are kept compressed, since they hold mostly zeros."""
    paths = sorted((FIXTURES / name).glob("*.gz"))
    return {path.stem: gzip.decompress(path.read_bytes()) for path in paths}


def write_folder(name: str, files: Mapping[str, bytes]) -> None:
    """Keep the files of a folder, compressed."""
    for file_name, data in files.items():
        write_file(f"{name}/{file_name}.gz", gzip.compress(data, mtime=0))
