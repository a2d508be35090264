"""Cutting a `text/event-stream` at the ends of its events, and joining what another node continues. Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

_END = re.compile(rb"\r?\n\r?\n")
_LONGEST_END = 4  # bytes
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


@dataclass(slots=True)
class EventCutter:
    """Bytes in, whole events out; what is left of a broken stream is never handed out."""

    rest: bytearray = field(default_factory=bytearray)  # a beginning whose end has not come

    def feed(self, data: bytes) -> list[bytes]:
        """The whole events that this completes, with the blank line at the end of each."""
        begin, search = 0, max(0, len(self.rest) - _LONGEST_END + 1)
        self.rest += data
        events: list[bytes] = []
        while (end := _END.search(self.rest, search)) is not None:
            events.append(bytes(self.rest[begin : end.end()]))
            begin = search = end.end()
        del self.rest[:begin]
        return events


def event_id(event: bytes) -> str | None:
    """The id that an event gives, if any."""
    found = _ID.search(event)
    return found[1].decode("latin-1") if found is not None else None


@dataclass(slots=True)
class EventOrder:
    """The ids passed on so far: what may follow them, also from another node."""

    last_id: str | None = None  # of the last whole event that the client has
    _widest_step: int = 0  # by which ids rose at the most; 0: not known
    _continues: bool = False  # the next event is the first of another run

    def begin_run(self) -> None:
        """Events of a new run follow; one that goes on may leave nothing out."""
        self._continues = True

    def follows(self, event: bytes) -> bool:
        """Whether the event may come next: ids that are numbers rise, at a joint no further than before."""
        found, last = _as_number(event_id(event)), _as_number(self.last_id)
        if found is None or last is None:
            return True
        if found <= last:
            return False
        return not (self._continues and self._widest_step) or found - last <= self._widest_step

    def note_passed(self, event: bytes) -> None:
        """The event has been passed on."""
        self._continues = False
        found = event_id(event)
        if found is None:
            return
        number, last = _as_number(found), _as_number(self.last_id)
        if number is not None and last is not None:
            self._widest_step = max(self._widest_step, number - last)
        self.last_id = found


def _as_number(event_id: str | None) -> int | None:
    return int(event_id) if event_id is not None and event_id.isascii() and event_id.isdigit() else None
