"""The file of `coveport work export`: a JSON line for each record, each generation once."""

from __future__ import annotations

import contextlib
import json
import os
from collections.abc import Iterator
from pathlib import Path
from typing import TYPE_CHECKING, BinaryIO

from coveport.cli.errors import UnusableError
from coveport.cli.record_output import record_as_json

if TYPE_CHECKING:
    from coveport.sidecar.intent_log.record import Record


@contextlib.contextmanager
def open_for_export(path: Path) -> Iterator[BinaryIO]:
    """Open a file for appending, and sync it to the disk once all is written."""
    with open(path, "ab") as file:
        yield file
        os.fsync(file.fileno())


def append_record(file: BinaryIO, record: Record) -> None:
    """Append a record's line.

    It is one write: a kill leaves a complete line, or a part of one that `read_exported` removes.
    """
    file.write(json.dumps(record_as_json(record), sort_keys=True).encode() + b"\n")
    file.flush()


def read_exported(path: Path) -> set[tuple[str, int]]:
    """Return id and generation of the records in a file, and remove a last line that a kill left incomplete.

    Raises UnusableError where a line is none of an export.
    """
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return set()
    complete = data[: data.rfind(b"\n") + 1]
    if len(complete) < len(data):
        with open(path, "r+b") as file:
            file.truncate(len(complete))
    exported = set()
    for number, line in enumerate(complete.splitlines(), start=1):
        try:
            fields = json.loads(line)
            exported.add((str(fields["id"]), int(fields["lives"])))
        except (ValueError, KeyError, TypeError) as error:
            raise UnusableError(f"{path}:{number}: not a line of an export") from error
    return exported
