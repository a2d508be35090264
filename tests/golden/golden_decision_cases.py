"""Records of the wire between the bench and the decision module, packed here field by field."""

from __future__ import annotations

import struct

from coveport import balancing
from coveport.balancing.simulator_codec import Attach, Halt, Item

INFO = b'{"classes":[{"aim_ms":400}]}'


def batch(*records: bytes) -> bytes:
    """One batch: clock, length, how many records, number."""
    body = b"".join(records)
    return struct.pack("<dIII", 240.5, len(body) + 8, len(records), 77) + body


def _host(host: int, zone: int, cell: int, state: int, weight: float, started: float) -> bytes:
    return struct.pack("<IBBHBfd", host, zone, 0, cell, state, weight, started)


SELECT = struct.pack("<HH", 12, 513)
HOSTS = struct.pack("<HBI", 11, 4, 3) + (
    _host(0x03124A07, 1, 300, 0, 0.5, 12.25) + _host(8, 2, 0, 2, 1.0, 0.0) + _host(9, 0, 1, 99, 1.0, 0.0)
)
ENTRIES = (
    balancing.Endpoint(0x03124A07, 1, 300, balancing.EndpointState.READY, 0.5, 12.25),
    balancing.Endpoint(8, 2, 0, balancing.EndpointState.GONE),
    balancing.Endpoint(9, 0, 1, balancing.EndpointState.DRAINING),  # of a state that is not known
)
REQUEST_ID = 0x0006965B5D9A13C4


def _request(flags: int) -> bytes:
    return struct.pack("<HQQBdHdH", 3, REQUEST_ID, 1 << 60, flags, 1400.5, 2, 12.5, 6)


def _reply(outcome: int) -> bytes:
    return struct.pack("<HQHIHdBB", 5, REQUEST_ID, 1, 9, outcome, 33.25, 1, 2) + struct.pack("<ff", 1.5, 2.0)


# Of each case: the records of a batch, and the item that they tell the instance 513.
ITEMS: dict[str, tuple[tuple[bytes, ...], Item]] = {
    "attach": ((struct.pack("<HQI", 1, 1 << 40, len(INFO)) + INFO,), Attach(1 << 40, INFO)),
    "halt": ((struct.pack("<H", 10),), Halt()),
    "request": ((_request(0),), balancing.Request(REQUEST_ID, 1400.5, 2, 1 << 60, 0.0, 6)),
    "request with every flag": (
        (_request(7),),
        balancing.Request(REQUEST_ID, 1400.5, 2, 1 << 60, 12.5, 6, True, True),
    ),
    "request whose cost is known": (
        (_request(1),),
        balancing.Request(REQUEST_ID, 1400.5, 2, 1 << 60, 12.5, 6, False, False),
    ),
    "request that is a repeat": (
        (_request(2),),
        balancing.Request(REQUEST_ID, 1400.5, 2, 1 << 60, 0.0, 6, True, False),
    ),
    "request that writes": (
        (_request(4),),
        balancing.Request(REQUEST_ID, 1400.5, 2, 1 << 60, 0.0, 6, False, True),
    ),
    "stream started": (
        (struct.pack("<HQHId", 4, REQUEST_ID, 2, 9, 5.5),),
        balancing.StreamStarted(REQUEST_ID, 2, 9),
    ),
    "reply without load": (
        (struct.pack("<HQHIHdBB", 5, REQUEST_ID, 0, 9, 503, 0.5, 0, 0),),
        balancing.Reply(REQUEST_ID, 0, 9, balancing.Outcome.FULL, 0.5, False),
    ),
    "left": ((struct.pack("<HQ", 6, REQUEST_ID),), balancing.ClientDisconnected(REQUEST_ID)),
    "timer": ((struct.pack("<HQ", 7, 5),), balancing.TimerFired(5)),
    "probe result": (
        (struct.pack("<HIHdB", 8, 9, 200, 1.25, 1) + struct.pack("<f", 0.25),),
        balancing.HealthCheckResult(9, balancing.Outcome.OK, 1.25, (0.25,)),
    ),
    "peer message": (
        (struct.pack("<HHH", 9, 3, 4) + b"\x00abc",),
        balancing.PeerMessage(3, b"\x00abc"),
    ),
    "list changes": (
        (HOSTS, struct.pack("<HBIB", 2, 0, 70000, 4)),
        balancing.EndpointUpdate(balancing.EndpointUpdateKind.DELTA, ENTRIES, 70000),
    ),
    "whole list": (
        (HOSTS, struct.pack("<HBIB", 2, 1, 70000, 4)),
        balancing.EndpointUpdate(balancing.EndpointUpdateKind.FULL, ENTRIES, 70000),
    ),
    "cached list": (
        (HOSTS, struct.pack("<HBIB", 2, 2, 70000, 4)),
        balancing.EndpointUpdate(balancing.EndpointUpdateKind.CACHED, ENTRIES, 70000),
    ),
    "failed list": (
        (struct.pack("<HBIB", 2, 3, 70000, 0),),
        balancing.EndpointUpdate(balancing.EndpointUpdateKind.FAILED, (), 70000),
    ),
}
ITEMS.update(
    {
        f"reply {outcome}": (
            (_reply(outcome),),
            balancing.Reply(REQUEST_ID, 1, 9, balancing.Outcome(outcome), 33.25, True, (1.5, 2.0)),
        )
        for outcome in (200, 500, 503, 504, 502, 598, 499, 410)
    }
)

ACTIONS: dict[str, balancing.Action] = {
    "send": balancing.Send(REQUEST_ID, 0x03124A07, 80.5),
    "cancel": balancing.Cancel(REQUEST_ID, 2),
    "fail": balancing.Fail(REQUEST_ID),
    "refuse": balancing.Refuse(REQUEST_ID, 5.25),
    "set timer": balancing.SetTimer(12.5, 1 << 33),
    "probe": balancing.HealthCheck(9),
    "subscribe": balancing.Subscribe(),
    "fetch the list": balancing.FetchEndpoints(),
}

SETTINGS_TEXT = b"""{
  "classes": [
    {"name": "a", "aim_ms": 400.5, "deadline_ms": 1200, "gain": 2.5, "late_share": 0.25, "aim_stretch": 1.5,
     "window_ms": 900, "stream": true, "semantics": "deduplicated", "key_scope": "zone", "surprise": [1]},
    {"semantics": "idempotent", "key_scope": "unheard of"},
    {"semantics": "at_most_once", "key_scope": "cell"},
    {}
  ],
  "registry_mode": "subscribe", "value_by": "work", "zone": 1, "peers_total": 3, "round_ms": 2.5,
  "telemetry": {"fields": ["load", "queue"]},
  "limits": {"most_tries": 5, "second_copies": true, "cancel": true, "probes": null, "retry_after": true,
             "max_retry_after_ms": 70, "connect_timeout_ms": 80},
  "invariants": {"answer_slack_ms": 1, "stop_sending_within_ms": 2, "ask_within_ms": 3, "cold_from": 0.5,
                 "warm_after_ms": 4, "overload_factor": 5, "fall_ms": 6},
  "prices": {"cross_zone": 0.1, "waste": 0.2, "late_fail": 0.3, "probe": 0.4},
  "novelty": {"x": 1}
}
"""
SETTINGS = balancing.Settings(
    classes=(
        balancing.RequestClass(
            "a",
            400.5,
            1200,
            2.5,
            0.25,
            1.5,
            balancing.Effect.KEYED,
            balancing.DeduplicationScope.ZONE,
            window_ms=900,
            stream=True,
        ),
        balancing.RequestClass(effect=balancing.Effect.SAFE, group=balancing.DeduplicationScope.CELL),
        balancing.RequestClass(effect=balancing.Effect.UNSAFE, group=balancing.DeduplicationScope.CELL),
        balancing.RequestClass(),
    ),
    zone=1,
    peers_total=3,
    must_ask=True,
    worth_by_work=True,
    tick_ms=2.5,
    load_fields=("load", "queue"),
    limits=balancing.Limits(5, True, True, False, True, 70, 80),
    rules=balancing.Rules(1, 2, 3, 0.5, 4, 5, 6),
    prices=balancing.Prices(0.1, 0.2, 0.3, 0.4),
)


def item_batches() -> dict[str, bytes]:
    """Each case as a batch for the instance 513."""
    return {case: batch(SELECT, *records) for case, (records, _) in ITEMS.items()}
