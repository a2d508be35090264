"""Writes the golden files anew, from the code as it stands: to be run by hand, and only on purpose.

    PYTHONPATH=. python tests/golden/write_fixtures.py GROUP...

A golden file that changes means that what is on a disk or on the wire has changed.
"""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from unittest import mock

import golden_files
import golden_fleet_cases
import golden_operation_cases
import golden_ring_cases
import golden_wire_cases

from coveport.fleet import snapshot
from coveport.system.replication.records import RECORDS, Record
from coveport.system.wire.codec import MessageCodec
from coveport.system.wire.frames import write_frame
from coveport.system.wire.messages import CODEC
from coveport.work.record import encode
from coveport.work.record_layout import digest_of, id_of
from coveport.work.seal import Kept, Seal


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


def write_operations() -> None:
    """Records of operations, what is sealed of them, and the keys under which they stand."""
    cases = golden_operation_cases
    golden_files.write_cases("operations.json", {case: encode(one) for case, one in cases.RECORDS.items()})
    kept = Kept(Seal(cases.SEAL_KEYS), 1000)
    with mock.patch("os.urandom", return_value=cases.NONCE):
        sealed = {
            "request": kept.asked(cases.ID, cases.ASKED),
            "short request": kept.asked(cases.ID, cases.ASKED_LITTLE),
            "answer": kept.given(cases.ID, cases.GIVEN),
            "short answer": kept.given(cases.ID, cases.GIVEN_LITTLE),
        }
    golden_files.write_cases("sealed.json", sealed)
    moves = {case: cases.transaction_text(told) for case, told in cases.transactions().items()}
    golden_files.write_cases("operation_transactions.json", moves)
    ids = {
        "by its key": id_of("order-17", "request-5").encode(),
        "by its request": id_of("", "request-5").encode(),
        "digest": digest_of(cases.ID, "POST", "/orders", b"body").encode(),
    }
    golden_files.write_cases("operation_ids.json", ids)


def write_fleet() -> None:
    """A fleet's snapshots, lock files and notifications."""
    cases = golden_fleet_cases
    golden_files.write_file("fleet/snapshot", snapshot.encode(cases.SNAPSHOT))
    golden_files.write_file("fleet/snapshot_empty", snapshot.encode(cases.EMPTY_SNAPSHOT))
    for name, text in (("lock", cases.LOCK_TEXT), ("lock_at_end", cases.LOCK_TEXT_AT_END)):
        golden_files.write_file(f"fleet/{name}", text.replace("LIFE", cases.LOCK_LIFE).encode())
    datagrams = {
        case: "\n".join(f"{name}={value}" for name, value in words.items()).encode()
        for case, words in cases.DATAGRAMS.items()
    }
    golden_files.write_cases("notifications.json", datagrams)


def write_console() -> None:
    """Lines of the console, spelled out: what a caller types does not depend on the code."""
    known = "PING INFO LAMEDUCK REJOIN"
    lines = {
        "ping": "PING\n",
        "info": "INFO\n",
        "lame duck": "LAMEDUCK\n",
        "rejoin": "REJOIN\n",
        "unknown call": "ping\n",
        "answer to an unknown call": f"NAK unknown call; known: {known}\n",
        "half a call": "PIN",
        "answer to half a call": "NAK half a line; a call ends with a line feed\n",
        "done": "ACK\n",
        "done, nothing to tell": "ACK\n--\n",
        "done, with rows": "ACK\nstate serving\ngröße 3\n--\n",
        "not done": "NAK lame duck already\n",
    }
    golden_files.write_cases("console.json", {case: line.encode() for case, line in lines.items()})


GROUPS = {
    "wire": write_wire,
    "rings": write_rings,
    "operations": write_operations,
    "fleet": write_fleet,
    "console": write_console,
}

if __name__ == "__main__":
    for group in sys.argv[1:]:
        GROUPS[group]()
