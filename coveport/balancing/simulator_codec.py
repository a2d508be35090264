"""Codec of the bench's wire: bytes to events, actions to bytes. It decides nothing."""

from __future__ import annotations

import json
import struct
from collections.abc import Iterator
from typing import Any, BinaryIO

from coveport.balancing import actions, events, settings


class WireError(Exception):
    """The peer sent something that is not this protocol."""


_HEADER = struct.Struct("<dIII")
_ENTRY = struct.Struct("<IBBHBfd")
_SELECT = struct.Struct("<H")
_ATTACH = struct.Struct("<QI")
_LEDGER = struct.Struct("<BI")
_REGISTRY = struct.Struct("<BIB")
_SUBMIT = struct.Struct("<QQBdHdH")
_LEFT = struct.Struct("<Q")
_REPLY = struct.Struct("<QHIHdBB")
_PING = struct.Struct("<IHdB")
_PEER = struct.Struct("<HH")
_FIRST = struct.Struct("<QHId")
_CODE = struct.Struct("<H")

_OUTCOMES = {int(o): o for o in events.Outcome}
_EFFECTS = {
    "idempotent": settings.Effect.SAFE,
    "deduplicated": settings.Effect.KEYED,
    "at_most_once": settings.Effect.UNSAFE,
}
_STATES = {int(s): s for s in events.EndpointState}
_REPEAT_FLAG, _WRITE_FLAG, _HINT_FLAG = 2, 4, 1


class Attach:
    """An instance starts, with nothing but its settings."""

    __slots__ = ("info", "seed")

    def __init__(self, seed: int, info: bytes) -> None:
        self.seed = seed
        self.info = info


class Halt:
    """An instance is killed; all that it held is void."""

    __slots__ = ()


Item = events.Event | Attach | Halt


def _present(section: Any, names: dict[str, str]) -> dict[str, Any]:
    """Pick the known keys that are there, under our names; absent ones keep our defaults."""
    if not isinstance(section, dict):
        return {}
    return {ours: section[theirs] for theirs, ours in names.items() if section.get(theirs) is not None}


_CLASS_KEYS = {
    key: key for key in ("name", "aim_ms", "deadline_ms", "late_share", "aim_stretch", "window_ms", "stream")
} | {"gain": "worth"}
_LIMIT_KEYS = {
    key: key
    for key in (
        "second_copies",
        "cancel",
        "probes",
        "retry_after",
        "max_retry_after_ms",
        "connect_timeout_ms",
    )
}
_LIMIT_KEYS["most_tries"] = "max_attempts"
_RULE_KEYS = {
    key: key
    for key in (
        "answer_slack_ms",
        "ask_within_ms",
        "cold_from",
        "warm_after_ms",
        "overload_factor",
        "fall_ms",
    )
}
_RULE_KEYS["stop_sending_within_ms"] = "drain_grace_ms"
_PRICE_KEYS = {key: key for key in ("cross_zone", "waste", "late_fail", "probe")}


def parse_settings(text: str | bytes) -> settings.Settings:
    """Read the settings; unknown keys are skipped and absent ones take the interface's defaults."""
    info = json.loads(text)
    classes = []
    for one in info.get("classes") or ():
        values = _present(one, _CLASS_KEYS)
        values["effect"] = _EFFECTS.get(one.get("semantics"), settings.Effect.UNSAFE)
        # A scope that is not known is taken as the narrowest one.
        scopes = {group.value: group for group in settings.DeduplicationScope}
        values["group"] = scopes.get(one.get("key_scope", "all"), settings.DeduplicationScope.CELL)
        classes.append(settings.RequestClass(**values))
    telemetry = info.get("telemetry") or {}
    return settings.Settings(
        classes=tuple(classes),
        must_ask=info.get("registry_mode") == "subscribe",
        worth_by_work=info.get("value_by") == "work",
        load_fields=tuple(telemetry.get("fields") or ()),
        limits=settings.Limits(**_present(info.get("limits"), _LIMIT_KEYS)),
        rules=settings.Rules(**_present(info.get("invariants"), _RULE_KEYS)),
        prices=settings.Prices(**_present(info.get("prices"), _PRICE_KEYS)),
        **_present(info, {"zone": "zone", "peers_total": "peers_total", "round_ms": "tick_ms"}),
    )


def read_exactly(stream: BinaryIO, count: int, *, may_end: bool = False) -> bytes:
    """Read `count` bytes; the input may end before the first of them if `may_end`, never in the middle."""
    parts: list[bytes] = []
    missing = count
    while missing:
        part = stream.read(missing)
        if not part:
            if may_end and missing == count:
                return b""
            raise WireError(f"input ended {missing} bytes short of {count}")
        parts.append(part)
        missing -= len(part)
    return b"".join(parts)


def read_batch(stream: BinaryIO) -> tuple[float, int, int, bytes] | None:
    """The next batch as (clock, number, record count, records), or None at the end of input."""
    header = read_exactly(stream, _HEADER.size, may_end=True)
    if not header:
        return None
    now, length, count, number = _HEADER.unpack(header)
    if length < 8:
        raise WireError(f"batch {number}: length {length} is shorter than its own header")
    return now, number, count, read_exactly(stream, length - 8)


class Decoder:
    """Turns the records of batches into (instance, item) pairs; holds the numbered host lists."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[events.Endpoint, ...]] = {}

    def decode(self, body: bytes, count: int) -> Iterator[tuple[int, Item]]:
        """Yield each event with the instance it is for, in order."""
        at, instance = 0, -1
        try:
            for _ in range(count):
                (code,) = _CODE.unpack_from(body, at)
                at += 2
                if code == 12:
                    (instance,) = _SELECT.unpack_from(body, at)
                    at += 2
                    continue
                if code == 11:
                    at = self._ledger(body, at)
                    continue
                if instance < 0:
                    raise WireError(f"record {code} before any instance was selected")
                item, at = self._item(code, body, at)
                yield instance, item
        except struct.error as problem:
            raise WireError(f"record cut short at byte {at}: {problem}") from None
        if at != len(body):
            raise WireError(f"{len(body) - at} bytes left over after {count} records")

    def _ledger(self, body: bytes, at: int) -> int:
        number, entries = _LEDGER.unpack_from(body, at)
        at += _LEDGER.size
        end: int = at + entries * _ENTRY.size
        if end > len(body):
            raise WireError(f"host list {number} of {entries} entries is cut short")
        self._lists[number] = tuple(
            # A state that is not known is treated as draining: nothing new goes there.
            events.Endpoint(
                host, zone, cell, _STATES.get(state, events.EndpointState.DRAINING), weight, started
            )
            for host, zone, _kind, cell, state, weight, started in _ENTRY.iter_unpack(body[at:end])
        )
        return end

    def _item(self, code: int, body: bytes, at: int) -> tuple[Item, int]:
        if code == 3:
            rid, key, flags, deadline, lane, cost, tenant = _SUBMIT.unpack_from(body, at)
            return events.Request(
                rid,
                deadline,
                lane,
                key,
                cost if flags & _HINT_FLAG else 0.0,
                tenant,
                bool(flags & _REPEAT_FLAG),
                bool(flags & _WRITE_FLAG),
            ), at + _SUBMIT.size
        if code == 5:
            rid, hop, host, how, took, closed, fields = _REPLY.unpack_from(body, at)
            load, at = self._load(body, at + _REPLY.size, fields)
            return events.Reply(rid, hop, host, self._outcome(how), took, bool(closed), load), at
        if code == 7:
            return events.TimerFired(*_LEFT.unpack_from(body, at)), at + 8
        if code == 6:
            return events.ClientDisconnected(*_LEFT.unpack_from(body, at)), at + 8
        if code == 8:
            host, how, took, fields = _PING.unpack_from(body, at)
            load, at = self._load(body, at + _PING.size, fields)
            return events.HealthCheckResult(host, self._outcome(how), took, load), at
        if code == 2:
            form, epoch, number = _REGISTRY.unpack_from(body, at)
            at += _REGISTRY.size
            if form not in (0, 1, 2, 3):
                raise WireError(f"unknown kind of host list: {form}")
            kind = events.EndpointUpdateKind(form)
            if kind is events.EndpointUpdateKind.FAILED:
                return events.EndpointUpdate(kind, (), epoch), at
            if number not in self._lists:
                raise WireError(f"host list {number} was never sent")
            return events.EndpointUpdate(kind, self._lists[number], epoch), at
        if code == 4:
            rid, hop, host, _took = _FIRST.unpack_from(body, at)
            return events.StreamStarted(rid, hop, host), at + _FIRST.size
        if code == 1:
            seed, size = _ATTACH.unpack_from(body, at)
            text, at = self._bytes(body, at + _ATTACH.size, size)
            return Attach(seed, text), at
        if code == 9:
            sender, size = _PEER.unpack_from(body, at)
            data, at = self._bytes(body, at + _PEER.size, size)
            return events.PeerMessage(sender, data), at
        if code == 10:
            return Halt(), at
        raise WireError(f"unknown record code {code} at byte {at - 2}")

    @staticmethod
    def _outcome(how: int) -> events.Outcome:
        if how not in _OUTCOMES:
            raise WireError(f"unknown outcome {how}")
        return _OUTCOMES[how]

    @staticmethod
    def _load(body: bytes, at: int, fields: int) -> tuple[tuple[float, ...], int]:
        if not fields:
            return (), at
        return struct.unpack_from(f"<{fields}f", body, at), at + 4 * fields

    @staticmethod
    def _bytes(body: bytes, at: int, size: int) -> tuple[bytes, int]:
        if at + size > len(body):
            raise WireError(f"{size} bytes of content are cut short at byte {at}")
        return body[at : at + size], at + size


_AT = struct.Struct("<HH").pack
_SEND = struct.Struct("<HQId").pack
_ID = struct.Struct("<HQ").pack
_REFUSE = struct.Struct("<HQd").pack
_TIMER = struct.Struct("<HdQ").pack
_CANCEL = struct.Struct("<HQH").pack
_HOST = struct.Struct("<HI").pack
_FLAG = struct.Struct("<HB").pack
_BARE = struct.Struct("<H").pack
_TEXT = struct.Struct("<HH").pack
_REPLY_HEADER = struct.Struct("<III").pack


def encode_action(action: actions.Action) -> bytes:
    """One action as a record."""
    if isinstance(action, actions.Send):
        return _SEND(68, action.id, action.host, action.timeout_ms)
    if isinstance(action, actions.SetTimer):
        return _TIMER(70, action.delay_ms, action.token)
    if isinstance(action, actions.Cancel):
        return _CANCEL(69, action.id, action.attempt)
    if isinstance(action, actions.Fail):
        return _ID(72, action.id)
    if isinstance(action, actions.Refuse):
        return _REFUSE(74, action.id, action.wait_ms)
    if isinstance(action, actions.HealthCheck):
        return _HOST(77, action.host)
    if isinstance(action, actions.Subscribe):
        return _FLAG(75, 1)
    return _BARE(65)


def encode_at(instance: int) -> bytes:
    """Selects the instance for the records that follow."""
    return _AT(76, instance)


def encode_fault(text: str) -> bytes:
    """Says that the decision code failed."""
    data = text.encode("utf-8", "replace")[:60_000]
    return _TEXT(66, len(data)) + data


def encode_reply(number: int, records: list[bytes]) -> bytes:
    """The reply to batch `number`."""
    body = b"".join(records)
    return _REPLY_HEADER(len(records), len(body) + 4, number) + body
