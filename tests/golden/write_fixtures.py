"""Writes the golden files anew, from the code as it stands: to be run by hand, and only on purpose.

    PYTHONPATH=. python tests/golden/write_fixtures.py GROUP...

A golden file that changes means that what is on a disk or on the wire has changed.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path

import golden_files
import golden_ring_cases
import golden_wire_cases

from coveport.system.replication.records import RECORDS, Record
from coveport.system.wire.codec import MessageCodec
from coveport.system.wire.frames import write_frame
from coveport.system.wire.messages import CODEC


def write_wire() -> None:
    """Messages, frames and stored records of the serving system."""
    messages = {case: CODEC.encode(message) for case, message in golden_wire_cases.MESSAGES.items()}
    golden_files.write_cases("messages.json", messages)
    golden_files.write_cases("frames.json", {case: write_frame(data) for case, data in messages.items()})
    codec: MessageCodec[Record] = MessageCodec(RECORDS)
    records = {case: codec.encode(record) for case, record in golden_wire_cases.RECORDS.items()}
    golden_files.write_cases("stored_records.json", records)


def write_rings() -> None:
    """Ring buffers of a coordinator's disk, and what opening them leaves."""
    for name, (write, _) in golden_ring_cases.WRITERS.items():
        with tempfile.TemporaryDirectory() as scratch:
            folder = Path(scratch) / "disk"
            write(folder)
            golden_files.write_folder(name, golden_ring_cases.files_in(folder))
            golden_ring_cases.reopen(folder)
            golden_files.write_folder(f"{name}_reopened", golden_ring_cases.files_in(folder))


GROUPS = {"wire": write_wire, "rings": write_rings}

if __name__ == "__main__":
    for group in sys.argv[1:]:
        GROUPS[group]()
