"""Codec of the simulator's wire format: bytes to events and actions to bytes, without any decision.

All numbers are little-endian. Each record begins with a code of two bytes. The simulator defines the codes
and layouts.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from typing import Any, BinaryIO, ClassVar

from coveport.balancing import actions, events
from coveport.balancing.errors import WireError

_HEADER = struct.Struct("<dIII")
_ENTRY = struct.Struct("<IBBHBfd")
_SELECT = struct.Struct("<H")
_ATTACH = struct.Struct("<QI")
_HOST_LIST = struct.Struct("<BI")
_ENDPOINT_UPDATE = struct.Struct("<BIB")
_REQUEST = struct.Struct("<QQBdHdH")
_ID_ONLY = struct.Struct("<Q")
_REPLY = struct.Struct("<QHIHdBB")
_HEALTH_CHECK = struct.Struct("<IHdB")
_PEER = struct.Struct("<HH")
_STREAM_STARTED = struct.Struct("<QHId")
_CODE = struct.Struct("<H")
_SELECT_CODE = 12
_HOST_LIST_CODE = 11

_OUTCOMES = {int(outcome): outcome for outcome in events.Outcome}
_STATES = {int(state): state for state in events.EndpointState}
_REPEAT_FLAG, _WRITE_FLAG, _HINT_FLAG = 2, 4, 1


class Attach:
    """The start of an instance, with its settings and without any other state."""

    __slots__ = ("info", "seed")

    def __init__(self, seed: int, info: bytes) -> None:
        self.seed = seed
        self.info = info


class Halt:
    """The end of an instance that is killed; all state of the instance is discarded."""

    __slots__ = ()


Item = events.Event | Attach | Halt


def read_exactly(stream: BinaryIO, count: int, *, may_end: bool = False) -> bytes:
    """Read `count` bytes; with `may_end` the input may end before the first byte, but not after it."""
    chunks: list[bytes] = []
    missing = count
    while missing:
        chunk = stream.read(missing)
        if not chunk:
            if may_end and missing == count:
                return b""
            raise WireError(f"input ended {missing} bytes short of {count}")
        chunks.append(chunk)
        missing -= len(chunk)
    return b"".join(chunks)


def read_batch(stream: BinaryIO) -> tuple[float, int, int, bytes] | None:
    """Return the next batch as (clock in ms, number, record count, records); None at the end of input."""
    header = read_exactly(stream, _HEADER.size, may_end=True)
    if not header:
        return None
    now, length, count, number = _HEADER.unpack(header)
    if length < 8:
        raise WireError(f"batch {number}: length {length} is shorter than its own header")
    return now, number, count, read_exactly(stream, length - 8)


class Decoder:
    """A decoder of the records of batches, which keeps the numbered host lists."""

    def __init__(self) -> None:
        self._lists: dict[int, tuple[events.Endpoint, ...]] = {}

    def decode(self, body: bytes, count: int) -> Iterator[tuple[int, Item]]:
        """Yield each item with its instance, in order."""
        offset, instance = 0, -1
        try:
            for _ in range(count):
                (code,) = _CODE.unpack_from(body, offset)
                offset += 2
                if code == _SELECT_CODE:
                    (instance,) = _SELECT.unpack_from(body, offset)
                    offset += 2
                    continue
                if code == _HOST_LIST_CODE:
                    offset = self._endpoint_list(body, offset)
                    continue
                if instance < 0:
                    raise WireError(f"record {code} before any instance was selected")
                item, offset = self._item(code, body, offset)
                yield instance, item
        except struct.error as error:
            raise WireError(f"record cut short at byte {offset}: {error}") from None
        if offset != len(body):
            raise WireError(f"{len(body) - offset} bytes left over after {count} records")

    def _endpoint_list(self, body: bytes, offset: int) -> int:
        number, entries = _HOST_LIST.unpack_from(body, offset)
        offset += _HOST_LIST.size
        end: int = offset + entries * _ENTRY.size
        if end > len(body):
            raise WireError(f"host list {number} of {entries} entries is cut short")
        self._lists[number] = tuple(
            # An unknown state is treated as draining: the host gets no new requests.
            events.Endpoint(
                host, zone, cell, _STATES.get(state, events.EndpointState.DRAINING), weight, started
            )
            for host, zone, _kind, cell, state, weight, started in _ENTRY.iter_unpack(body[offset:end])
        )
        return end

    def _item(self, code: int, body: bytes, offset: int) -> tuple[Item, int]:
        """Return the item of a record, and the offset of the next record."""
        decode = self._DECODERS.get(code)
        if decode is None:
            raise WireError(f"unknown record code {code} at byte {offset - 2}")
        return decode(self, body, offset)

    def _attach(self, body: bytes, offset: int) -> tuple[Item, int]:
        seed, size = _ATTACH.unpack_from(body, offset)
        text, end = self._bytes(body, offset + _ATTACH.size, size)
        return Attach(seed, text), end

    def _halt(self, _body: bytes, offset: int) -> tuple[Item, int]:
        return Halt(), offset

    def _endpoint_update(self, body: bytes, offset: int) -> tuple[Item, int]:
        kind_code, version, list_number = _ENDPOINT_UPDATE.unpack_from(body, offset)
        offset += _ENDPOINT_UPDATE.size
        if kind_code not in (0, 1, 2, 3):
            raise WireError(f"unknown kind of host list: {kind_code}")
        kind = events.EndpointUpdateKind(kind_code)
        if kind is events.EndpointUpdateKind.FAILED:
            return events.EndpointUpdate(kind, (), version), offset
        if list_number not in self._lists:
            raise WireError(f"host list {list_number} was never sent")
        return events.EndpointUpdate(kind, self._lists[list_number], version), offset

    def _request(self, body: bytes, offset: int) -> tuple[Item, int]:
        request, key, flags, deadline, request_class, cost, tenant = _REQUEST.unpack_from(body, offset)
        item = events.Request(
            request,
            deadline,
            request_class,
            key,
            cost if flags & _HINT_FLAG else 0.0,
            tenant,
            bool(flags & _REPEAT_FLAG),
            bool(flags & _WRITE_FLAG),
        )
        return item, offset + _REQUEST.size

    def _stream_started(self, body: bytes, offset: int) -> tuple[Item, int]:
        request, attempt, host, _latency = _STREAM_STARTED.unpack_from(body, offset)
        return events.StreamStarted(request, attempt, host), offset + _STREAM_STARTED.size

    def _reply(self, body: bytes, offset: int) -> tuple[Item, int]:
        request, attempt, host, outcome, latency, closed, fields = _REPLY.unpack_from(body, offset)
        load, end = self._load(body, offset + _REPLY.size, fields)
        item = events.Reply(request, attempt, host, self._outcome(outcome), latency, bool(closed), load)
        return item, end

    def _client_disconnected(self, body: bytes, offset: int) -> tuple[Item, int]:
        return events.ClientDisconnected(*_ID_ONLY.unpack_from(body, offset)), offset + _ID_ONLY.size

    def _timer_fired(self, body: bytes, offset: int) -> tuple[Item, int]:
        return events.TimerFired(*_ID_ONLY.unpack_from(body, offset)), offset + _ID_ONLY.size

    def _health_check_result(self, body: bytes, offset: int) -> tuple[Item, int]:
        host, outcome, latency, fields = _HEALTH_CHECK.unpack_from(body, offset)
        load, end = self._load(body, offset + _HEALTH_CHECK.size, fields)
        return events.HealthCheckResult(host, self._outcome(outcome), latency, load), end

    def _peer_message(self, body: bytes, offset: int) -> tuple[Item, int]:
        sender, size = _PEER.unpack_from(body, offset)
        data, end = self._bytes(body, offset + _PEER.size, size)
        return events.PeerMessage(sender, data), end

    _DECODERS: ClassVar[dict[int, Callable[[Decoder, bytes, int], tuple[Item, int]]]] = {
        1: _attach,
        2: _endpoint_update,
        3: _request,
        4: _stream_started,
        5: _reply,
        6: _client_disconnected,
        7: _timer_fired,
        8: _health_check_result,
        9: _peer_message,
        10: _halt,
    }

    @staticmethod
    def _outcome(code: int) -> events.Outcome:
        if code not in _OUTCOMES:
            raise WireError(f"unknown outcome {code}")
        return _OUTCOMES[code]

    @staticmethod
    def _load(body: bytes, offset: int, fields: int) -> tuple[tuple[float, ...], int]:
        if not fields:
            return (), offset
        return struct.unpack_from(f"<{fields}f", body, offset), offset + 4 * fields

    @staticmethod
    def _bytes(body: bytes, offset: int, size: int) -> tuple[bytes, int]:
        if offset + size > len(body):
            raise WireError(f"{size} bytes of content are cut short at byte {offset}")
        return body[offset : offset + size], offset + size


_SELECT_INSTANCE = struct.Struct("<HH").pack
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


_FETCH_CODE = 65
_ENCODERS: dict[type, Callable[[Any], bytes]] = {
    actions.Send: lambda send: _SEND(68, send.id, send.host, send.timeout_ms),
    actions.Cancel: lambda cancel: _CANCEL(69, cancel.id, cancel.attempt),
    actions.SetTimer: lambda timer: _TIMER(70, timer.delay_ms, timer.token),
    actions.Fail: lambda fail: _ID(72, fail.id),
    actions.Refuse: lambda refuse: _REFUSE(74, refuse.id, refuse.wait_ms),
    actions.Subscribe: lambda _: _FLAG(75, 1),
    actions.HealthCheck: lambda check: _HOST(77, check.host),
}


def encode_action(action: actions.Action) -> bytes:
    """Return the record of an action."""
    encode = _ENCODERS.get(type(action))
    return _BARE(_FETCH_CODE) if encode is None else encode(action)


def encode_select(instance: int) -> bytes:
    """Return a record that selects the instance for the records that follow."""
    return _SELECT_INSTANCE(76, instance)


def encode_fault(text: str) -> bytes:
    """Return a record that reports a failure of the decision code, with its text."""
    data = text.encode("utf-8", "replace")[:60_000]
    return _TEXT(66, len(data)) + data


def encode_reply(number: int, records: list[bytes]) -> bytes:
    """Return the reply to batch `number`."""
    body = b"".join(records)
    return _REPLY_HEADER(len(records), len(body) + 4, number) + body
