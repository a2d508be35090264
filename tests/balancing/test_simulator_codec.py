"""The codec and the loop, on bytes built by the tests."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from coveport import balancing
from coveport.balancing import simulator_codec, simulator_link, simulator_settings

INFO = json.dumps(
    {
        "classes": [
            {
                "aim_ms": 400.0,
                "deadline_ms": 1200.0,
                "gain": 2.0,
                "semantics": "deduplicated",
                "key_scope": "zone",
                "window_ms": 900.0,
                "surprise": [1],
            }
        ],
        "registry_mode": "subscribe",
        "peers_total": 3,
        "zone": 1,
        "novelty": {"x": 1},
        "limits": {"most_tries": 5, "probes": None},
    }
).encode()
ENTRY = struct.pack("<IBBHBfd", 7, 1, 0, 4, 0, 1.0, 0.0)


def batch(*records: bytes, clock: float = 240.0, number: int = 1) -> bytes:
    body = b"".join(records)
    return struct.pack("<dIII", clock, len(body) + 8, len(records), number) + body


def select(instance: int) -> bytes:
    return struct.pack("<HH", 12, instance)


def attach(info: bytes = INFO) -> bytes:
    return struct.pack("<HQI", 1, 42, len(info)) + info


def submit(request: int) -> bytes:
    return struct.pack("<HQQBdHdH", 3, request, 0, 1, 1400.0, 0, 12.0, 0)


HOST_LIST = struct.pack("<HBI", 11, 0, 1) + ENTRY
ENDPOINT_UPDATE = struct.pack("<HBIB", 2, 2, 1, 0)


def run(*batches: bytes) -> list[bytes]:
    sink = io.BytesIO()
    simulator_link.serve(io.BytesIO(b"".join(batches)), sink)
    data, replies = sink.getvalue(), []
    while data:
        count, length, _ = struct.unpack_from("<III", data)
        replies.append(data[: 8 + length])
        data = data[8 + length :]
        assert count >= 0
    return replies


def test_empty_batch_has_the_documented_bytes() -> None:
    assert run(batch())[0] == bytes.fromhex("000000000400000001000000")


def test_actions_have_the_documented_bytes() -> None:
    assert simulator_codec.encode_action(balancing.Send(0x0006965B5D9A13C4, 0x03124A07, 80.0)) == (
        struct.pack("<HQId", 68, 0x0006965B5D9A13C4, 0x03124A07, 80.0)
    )
    assert (
        simulator_codec.encode_action(balancing.SetTimer(500.0, 77)).hex()
        == "46000000000000407f404d00000000000000"
    )
    assert simulator_codec.encode_select(3).hex() == "4c000300"
    assert simulator_codec.encode_action(balancing.Cancel(1, 2)) == struct.pack("<HQH", 69, 1, 2)
    assert simulator_codec.encode_action(balancing.Fail(1)) == struct.pack("<HQ", 72, 1)
    assert simulator_codec.encode_action(balancing.Refuse(1, 5.0)) == struct.pack("<HQd", 74, 1, 5.0)
    assert simulator_codec.encode_action(balancing.HealthCheck(9)) == struct.pack("<HI", 77, 9)
    assert simulator_codec.encode_action(balancing.Subscribe()) == struct.pack("<HB", 75, 1)
    assert simulator_codec.encode_action(balancing.FetchEndpoints()) == struct.pack("<H", 65)


def test_settings_skip_unknown_keys_and_default_absent_ones() -> None:
    parsed = simulator_settings.parse_settings(INFO)
    assert parsed.must_ask and parsed.zone == 1 and parsed.limits.max_attempts == 5
    assert not parsed.limits.probes
    assert (
        parsed.classes[0].effect is balancing.Effect.KEYED
        and parsed.classes[0].group is balancing.DeduplicationScope.ZONE
    )
    assert parsed.classes[0].worth == 2.0 and parsed.rules == balancing.Rules()


def test_an_unknown_effect_or_group_is_read_as_the_strictest() -> None:
    parsed = simulator_settings.parse_settings(
        json.dumps({"classes": [{"semantics": "magic", "key_scope": "rack"}]})
    )
    assert (
        parsed.classes[0].effect is balancing.Effect.UNSAFE
        and parsed.classes[0].group is balancing.DeduplicationScope.CELL
    )


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"classes": []}, "classes"),
        ({"peers_total": 0}, "peers_total"),
        ({"invariants": {"cold_from": 2.0}}, "cold_from"),
        ({"limits": {"most_tries": -1}}, "max_attempts"),
        ({"prices": {"waste": -1.0}}, "waste"),
    ],
)
def test_the_error_on_invalid_settings_names_the_field(change: dict[str, object], key: str) -> None:
    with pytest.raises(ValueError, match=key):
        simulator_settings.parse_settings(json.dumps(json.loads(INFO) | change))


def test_a_request_is_sent_to_the_listed_host() -> None:
    (reply,) = run(batch(select(3), attach(), HOST_LIST, ENDPOINT_UPDATE, submit(99)))
    assert simulator_codec.encode_select(3) in reply
    assert struct.pack("<HQI", 68, 99, 7) in reply


def test_a_halted_instance_is_forgotten() -> None:
    replies = run(
        batch(select(3), attach(), HOST_LIST, ENDPOINT_UPDATE),
        batch(struct.pack("<HH", 12, 3), struct.pack("<H", 10), submit(5)),
    )
    assert struct.unpack_from("<I", replies[1])[0] == 0


def test_every_event_is_decoded() -> None:
    load = struct.pack("<ff", 1.5, 2.0)
    records = [
        select(1),
        struct.pack("<HQHId", 4, 9, 0, 7, 3.0),
        struct.pack("<HQHIHdBB", 5, 9, 0, 7, 200, 3.0, 1, 2) + load,
        struct.pack("<HQ", 6, 9),
        struct.pack("<HQ", 7, 77),
        struct.pack("<HIHdB", 8, 7, 200, 2.0, 0),
        struct.pack("<HHH", 9, 2, 2) + b"hi",
        struct.pack("<HBIB", 2, 3, 8, 99),
    ]
    items = [item for _, item in simulator_codec.Decoder().decode(b"".join(records), len(records))]
    assert items == [
        balancing.StreamStarted(9, 0, 7),
        balancing.Reply(9, 0, 7, balancing.Outcome.OK, 3.0, True, (1.5, 2.0)),
        balancing.ClientDisconnected(9),
        balancing.TimerFired(77),
        balancing.HealthCheckResult(7, balancing.Outcome.OK, 2.0),
        balancing.PeerMessage(2, b"hi"),
        balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED, (), 8),
    ]


def test_an_exception_is_a_fault_with_its_text() -> None:
    (reply,) = run(batch(select(3), attach(b'{"classes": []}')))
    assert b"classes must name at least one class" in reply
    assert reply[16:18] == struct.pack("<H", 66)


@pytest.mark.parametrize(
    ("data", "message"),
    [
        (batch(select(1), submit(4))[:-3], "bytes short"),
        (batch(select(1), submit(4)) + b"\0", "bytes short"),
        (batch(select(1), b"\x63\0"), "unknown record code 99"),
        (batch(submit(4)), "before any instance"),
        (batch(select(1), submit(4)[:-1]), "cut short"),
        (batch(select(1), ENDPOINT_UPDATE), "never sent"),
        (struct.pack("<dIII", 0.0, 2, 0, 1), "length 2"),
        (struct.pack("<dIII", 0.0, 12, 0, 1) + b"\0\0\0\0", "left over"),
        (batch(select(1), struct.pack("<HQHIHdBB", 5, 9, 0, 7, 999, 3.0, 1, 0)), "unknown outcome 999"),
    ],
)
def test_malformed_input_ends_with_a_clear_message(data: bytes, message: str) -> None:
    process = subprocess.run(
        [sys.executable, "-m", "coveport.balancing.simulator_link"],
        input=data,
        capture_output=True,
        check=False,
    )
    assert process.returncode == 2
    assert message in process.stderr.decode() and b"Traceback" not in process.stderr
