"""Counts messages between our own processes, by kind: what `status` tells, and capacity is reckoned from."""

from __future__ import annotations

from dataclasses import dataclass, field

from coveport.serving.wire.message_labels import MESSAGE_LABELS


@dataclass(slots=True)
class KindCount:
    """Of one kind of message, one way."""

    messages: int = 0
    frame_bytes: int = 0

    def add(self, frame_bytes: int) -> None:
        """One more."""
        self.messages += 1
        self.frame_bytes += frame_bytes


@dataclass(slots=True)
class Traffic:
    """All that one process sent and received since its start."""

    sent: dict[str, KindCount] = field(default_factory=dict)
    received: dict[str, KindCount] = field(default_factory=dict)

    def note_sent(self, kind: type, frame_bytes: int) -> None:
        """A message went out."""
        _count(self.sent, kind).add(frame_bytes)

    def note_received(self, kind: type, frame_bytes: int) -> None:
        """A message came in."""
        _count(self.received, kind).add(frame_bytes)

    def describe(self) -> dict[str, dict[str, list[int]]]:
        """By direction and kind: messages and bytes."""
        return {"sent": _describe(self.sent), "received": _describe(self.received)}


def _count(counts: dict[str, KindCount], kind: type) -> KindCount:
    label = MESSAGE_LABELS[kind]
    count = counts.get(label)
    if count is None:
        count = counts[label] = KindCount()
    return count


def _describe(counts: dict[str, KindCount]) -> dict[str, list[int]]:
    return {kind: [count.messages, count.frame_bytes] for kind, count in counts.items()}
