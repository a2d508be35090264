"""Splits a `text/event-stream` into events, and checks that a resumed stream continues the first.

The format is that of the WHATWG HTML standard, 9.2 (server-sent events).

This module does no I/O and reads no clock.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_EVENT_END_BYTES = 4
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


@dataclass(slots=True)
class EventSplitter:
    """Splits received bytes into events; an event is returned only once it is complete."""

    # The received start of an event whose end has not been received.
    incomplete: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that these bytes complete, each with its terminating blank line.

        The code is one loop without helper functions, since this function runs for every read of a stream.
        """
        event_begin = 0
        search_begin = max(0, len(self.incomplete) - _MAX_EVENT_END_BYTES + 1)
        self.incomplete += data
        events: list[bytes] = []
        while (event_end := _EVENT_END.search(self.incomplete, search_begin)) is not None:
            events.append(bytes(self.incomplete[event_begin : event_end.end()]))
            event_begin = event_end.end()
            search_begin = event_begin
        del self.incomplete[:event_begin]
        return events


def event_id(event: bytes) -> str | None:
    """Return the id of an event, or None if it has none."""
    match = _ID.search(event)
    return match[1].decode("latin-1") if match is not None else None


@dataclass(slots=True)
class EventSequence:
    """The event ids forwarded so far, which determine the events that may follow, also from another node."""

    last_id: str | None = None  # id of the last complete event that the client received
    _max_id_step: int = 0  # largest difference between consecutive ids; 0: unknown
    _is_resuming: bool = False  # whether the next event is the first in the stream of another node

    def begin_stream(self) -> None:
        """Record that a node's stream begins; a stream that resumes another must not skip events."""
        self._is_resuming = True

    def may_follow(self, event: bytes) -> bool:
        """Return whether the event may come next.

        Numeric ids must increase. The first id of a resumed stream may exceed the last id by no more than
        the largest step seen so far.
        """
        next_number = _as_number(event_id(event))
        last_number = _as_number(self.last_id)
        if next_number is None or last_number is None:
            return True
        if next_number <= last_number:
            return False
        return not (self._is_resuming and self._max_id_step) or next_number - last_number <= self._max_id_step

    def record_forwarded(self, event: bytes) -> None:
        """Record that the event was written to the client."""
        self._is_resuming = False
        forwarded_id = event_id(event)
        if forwarded_id is None:
            return
        number = _as_number(forwarded_id)
        last_number = _as_number(self.last_id)
        if number is not None and last_number is not None:
            self._max_id_step = max(self._max_id_step, number - last_number)
        self.last_id = forwarded_id


def _as_number(event_id: str | None) -> int | None:
    return int(event_id) if event_id is not None and event_id.isascii() and event_id.isdigit() else None
