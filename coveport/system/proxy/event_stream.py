"""Cutting a `text/event-stream` at the ends of its events. Pure."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id:[ ]?([^\r\n]*)")


@dataclass(slots=True)
class EventCutter:
    """Bytes in, whole events out; what is left of a broken stream is never handed out."""

    last_id: str | None = None  # of the last whole event handed out
    rest: bytearray = field(default_factory=bytearray)  # a beginning whose end has not come

    def feed(self, data: bytes) -> list[bytes]:
        """The whole events that this completes, with the blank line at the end of each."""
        searched = max(0, len(self.rest) - 3)
        self.rest += data
        events: list[bytes] = []
        begin = 0
        while (end := _END.search(self.rest, max(begin, searched))) is not None:
            events.append(bytes(self.rest[begin : end.end()]))
            begin = end.end()
        del self.rest[:begin]
        return events

    def note_passed(self, event: bytes) -> None:
        """The event has been passed on."""
        found = event_id(event)
        if found is not None:
            self.last_id = found


def event_id(event: bytes) -> str | None:
    """The id that an event gives, if any."""
    found = _ID.search(event)
    return found[1].decode("latin-1") if found is not None else None


def rises(event: bytes, last_id: str | None) -> bool:
    """Whether an event may follow the one of `last_id`: ids that are numbers rise."""
    found = event_id(event)
    if found is None or last_id is None or not found.isdigit() or not last_id.isdigit():
        return True
    return int(found) > int(last_id)
