"""Writes the golden files anew, from the code as it stands: to be run by hand, and only on purpose.

    PYTHONPATH=. python tests/golden/write_fixtures.py GROUP...

A golden file that changes means that what is on a disk or on the wire has changed.
"""

from __future__ import annotations

import sys

import golden_files
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


GROUPS = {"wire": write_wire}

if __name__ == "__main__":
    for group in sys.argv[1:]:
        GROUPS[group]()
