"""Writes the golden files anew, from the code as it stands: to be run by hand, and only on purpose.

    PYTHONPATH=. python tests/golden/write_fixtures.py GROUP...

A golden file that changes means that what is on a disk or on the wire has changed.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path
from unittest import mock

import golden_decision_cases
import golden_files
import golden_fleet_cases
import golden_lease_cases
import golden_operation_cases
import golden_ring_cases
import golden_settings_cases
import golden_store_cases
import golden_wire_cases
import msgspec

from coveport.balancing import simulator_codec as decision_wire
from coveport.serving.configuration.commands import encode_command
from coveport.serving.configuration.state import initial_state
from coveport.serving.configuration.state_codec import encode_state
from coveport.serving.configuration.state_machine import apply
from coveport.serving.replication.records import RECORDS, Record
from coveport.serving.simulation.settings_file import settings_text
from coveport.serving.wire.codec import MessageCodec
from coveport.serving.wire.frames import write_frame
from coveport.serving.wire.messages import CODEC
from coveport.sidecar.intent_log.encryption import KeyRing
from coveport.sidecar.intent_log.payloads import PayloadCodec
from coveport.sidecar.intent_log.record_codec import encode
from coveport.sidecar.intent_log.record_layout import digest_of, id_of
from coveport.sidecar.supervisor import snapshot


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
    codec = PayloadCodec(KeyRing(cases.SEAL_KEYS), 1000)
    with mock.patch("os.urandom", return_value=cases.NONCE):
        sealed = {
            "request": codec.encode_request(cases.ID, cases.ASKED),
            "short request": codec.encode_request(cases.ID, cases.ASKED_LITTLE),
            "answer": codec.encode_response(cases.ID, cases.GIVEN),
            "short answer": codec.encode_response(cases.ID, cases.GIVEN_LITTLE),
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
        golden_files.write_file(f"fleet/{name}", text.replace("LIFE", cases.LOCK_INCARNATION).encode())
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


def write_leases() -> None:
    """A leases file, and its tables as text."""
    with tempfile.TemporaryDirectory() as scratch:
        path = Path(scratch) / "leases.sqlite"
        asyncio.run(golden_lease_cases.write_leases(path))
        golden_files.write_file("leases/leases.sqlite", path.read_bytes())
        golden_files.write_file("leases/tables.txt", golden_lease_cases.dump(path).encode())


def write_decisions() -> None:
    """The wire of the decision module."""
    cases = golden_decision_cases
    golden_files.write_cases("decision_batches.json", cases.item_batches())
    golden_files.write_file("decision_settings.json", cases.SETTINGS_TEXT)
    replies = {case: decision_wire.encode_action(action) for case, action in cases.ACTIONS.items()}
    selection = decision_wire.encode_select(513)
    whole = {
        "selection": selection,
        "fault": decision_wire.encode_fault("it failed: größe"),
        "reply": decision_wire.encode_reply(77, [selection, *replies.values()]),
        "empty reply": decision_wire.encode_reply(78, []),
    }
    golden_files.write_cases("decision_replies.json", replies | whole)


def write_settings() -> None:
    """Boot settings, configurations, commands and the acknowledged state."""
    cases = golden_settings_cases
    golden_files.write_file("settings/coordinator.toml", cases.COORDINATOR_TEXT.encode())
    golden_files.write_file("settings/proxy.toml", cases.PROXY_TEXT.encode())
    golden_files.write_file("settings/coordinator_written.toml", settings_text(cases.COORDINATOR).encode())
    golden_files.write_file("settings/proxy_written.toml", settings_text(cases.PROXY).encode())
    golden_files.write_file("configuration/sent.json", cases.CONFIGURATION_SENT.encode())
    golden_files.write_file("configuration/written.json", cases.CONFIGURATION_WRITTEN.encode())
    commands = {case: encode_command(command) for case, command in cases.COMMANDS.items()}
    golden_files.write_cases("commands.json", commands)
    states = {case: encode_state(state) for case, state in cases.STATES.items()}
    # A mark and a digest of 16 bytes stand in front of what older programs wrote alone.
    states["with everything, without its digest"] = states["with everything"][17:]
    last = initial_state()
    for case in ("put", "patch", "start an evacuation"):
        last = apply(last, commands[case]).state  # type: ignore[union-attr]
    states["after all commands"] = encode_state(last)
    golden_files.write_file("configuration/patched.json", last.configuration_text or b"")
    golden_files.write_cases("states.json", states)


def write_store_values() -> None:
    """What duties and instances keep in the store as JSON."""
    values = {case: msgspec.json.encode(value) for case, value in golden_store_cases.VALUES.items()}
    golden_files.write_cases("store_values.json", values)


GROUPS = {
    "store_values": write_store_values,
    "settings": write_settings,
    "leases": write_leases,
    "decisions": write_decisions,
    "wire": write_wire,
    "rings": write_rings,
    "operations": write_operations,
    "fleet": write_fleet,
    "console": write_console,
}

if __name__ == "__main__":
    for group in sys.argv[1:]:
        GROUPS[group]()
