"""Writers for what the project only reads: TOML, and the simulator's batches of events. Pure.

They are written from the formats and not from the readers, so that a reader is held against something else.
"""

from __future__ import annotations

import json
import struct
from collections.abc import Sequence
from typing import Any

from coveport import balancing
from coveport.balancing import simulator_codec


def toml(tables: dict[str, Any]) -> str:
    """A TOML text (v1.0.0) of plain values: a line a key, tables inline."""
    return "".join(f"{_key(key)} = {_value(value)}\n" for key, value in tables.items())


def _key(key: str) -> str:
    return _value(key)


def _value(value: Any) -> str:
    if isinstance(value, dict):
        return "{" + ", ".join(f"{_key(key)} = {_value(one)}" for key, one in value.items()) + "}"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(map(_value, value)) + "]"
    if isinstance(value, str):
        return json.dumps(value, ensure_ascii=False).replace("\x7f", "\\u007f")
    return "true" if value is True else "false" if value is False else repr(value)


def shown(taken: tuple[int, simulator_codec.Item]) -> str:
    """An instance and its item as a text that tells all of them apart, and NaN from nothing."""
    instance, item = taken
    if isinstance(item, simulator_codec.Attach):
        return f"{instance} Attach {item.seed} {item.info!r}"
    return f"{instance} {'Halt' if isinstance(item, simulator_codec.Halt) else repr(item)}"


def batch(now: float, number: int, taken: Sequence[tuple[int, simulator_codec.Item]]) -> bytes:
    """A batch of events with its header; each host list stands right in front of the event that names it."""
    records = list[bytes]()
    for instance, item in taken:
        records.append(struct.pack("<HH", 12, instance))
        if (
            isinstance(item, balancing.EndpointUpdate)
            and item.kind is not balancing.EndpointUpdateKind.FAILED
        ):
            entries = [
                struct.pack(
                    "<IBBHBfd", one.host, one.zone, 0, one.cell, one.state, one.weight, one.started_ms
                )
                for one in item.entries
            ]
            records.append(struct.pack("<HBI", 11, 7, len(entries)) + b"".join(entries))
        records.append(_record(item))
    body = b"".join(records)
    return struct.pack("<dIII", now, len(body) + 8, len(records), number) + body


def _record(item: simulator_codec.Item) -> bytes:
    match item:
        case simulator_codec.Attach():
            return struct.pack("<HQI", 1, item.seed, len(item.info)) + item.info
        case balancing.SettingsChanged() | balancing.SlowStartGrant():
            raise AssertionError("the wire does not know it")
        case simulator_codec.Halt():
            return struct.pack("<H", 10)
        case balancing.EndpointUpdate():
            return struct.pack("<HBIB", 2, item.kind, item.version, 7)
        case balancing.Request():
            flags = (repr(item.cost_ms) != "0.0") | item.repeat << 1 | item.write << 2
            return struct.pack(
                "<HQQBdHdH",
                3,
                item.id,
                item.key,
                flags,
                item.deadline_ms,
                item.cls,
                item.cost_ms,
                item.tenant,
            )
        case balancing.StreamStarted():
            return struct.pack("<HQHId", 4, item.id, item.attempt, item.host, 0.0)
        case balancing.Reply():
            return struct.pack(
                "<HQHIHdBB",
                5,
                item.id,
                item.attempt,
                item.host,
                item.outcome,
                item.latency_ms,
                item.closed,
                len(item.load),
            ) + _floats(item.load)
        case balancing.ClientDisconnected():
            return struct.pack("<HQ", 6, item.id)
        case balancing.TimerFired():
            return struct.pack("<HQ", 7, item.token)
        case balancing.HealthCheckResult():
            return struct.pack(
                "<HIHdB", 8, item.host, item.outcome, item.latency_ms, len(item.load)
            ) + _floats(item.load)
        case balancing.PeerMessage():
            return struct.pack("<HHH", 9, item.sender, len(item.data)) + item.data


def _floats(figures: Sequence[float]) -> bytes:
    return struct.pack(f"<{len(figures)}f", *figures)
