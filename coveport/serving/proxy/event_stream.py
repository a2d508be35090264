"""Splits a `text/event-stream` into events, and checks that a resumed stream continues it. Pure.

The format is that of the WHATWG HTML standard, 9.2 (server-sent events).
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_EVENT_END_BYTES = 4
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


@dataclass(slots=True)
class EventSplitter:
    """Takes bytes and returns complete events; an event that breaks off is never returned."""

    incomplete: bytearray = field(default_factory=bytearray)  # the beginning of an event

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that these bytes complete, each with the blank line at its end.

        One loop without helpers, since it runs for every read of a stream.
        """
        begin = 0
        search = max(0, len(self.incomplete) - _MAX_EVENT_END_BYTES + 1)
        self.incomplete += data
        events: list[bytes] = []
        while (end := _EVENT_END.search(self.incomplete, search)) is not None:
            events.append(bytes(self.incomplete[begin : end.end()]))
            begin = end.end()
            search = begin
        del self.incomplete[:begin]
        return events


def event_id(event: bytes) -> str | None:
    """Return the id that an event carries, if any."""
    found = _ID.search(event)
    return found[1].decode("latin-1") if found is not None else None


@dataclass(slots=True)
class EventSequence:
    """The ids forwarded so far: which events may come next, also from another node."""

    last_id: str | None = None  # of the last complete event that the client has
    _max_id_step: int = 0  # the most by which ids rose; 0: not known
    _is_resuming: bool = False  # the next event is the first of another node's stream

    def begin_stream(self) -> None:
        """Note that a node's stream begins; one that resumes another may leave nothing out."""
        self._is_resuming = True

    def may_follow(self, event: bytes) -> bool:
        """Return whether the event may come next.

        Ids that are numbers must rise; where a stream is resumed, by no more than they rose before.
        """
        found = _as_number(event_id(event))
        last = _as_number(self.last_id)
        if found is None or last is None:
            return True
        if found <= last:
            return False
        return not (self._is_resuming and self._max_id_step) or found - last <= self._max_id_step

    def record_forwarded(self, event: bytes) -> None:
        """Record that the event was written to the client."""
        self._is_resuming = False
        found = event_id(event)
        if found is None:
            return
        number = _as_number(found)
        last = _as_number(self.last_id)
        if number is not None and last is not None:
            self._max_id_step = max(self._max_id_step, number - last)
        self.last_id = found


def _as_number(event_id: str | None) -> int | None:
    return int(event_id) if event_id is not None and event_id.isascii() and event_id.isdigit() else None
