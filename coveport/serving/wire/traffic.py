"""Counts messages between this system's own processes by kind, for `status` and for capacity planning."""

from __future__ import annotations

from dataclasses import dataclass, field

from coveport.serving.wire.message_labels import MESSAGE_LABELS


@dataclass(slots=True)
class MessageCount:
    """Messages of one kind in one direction."""

    messages: int = 0
    frame_bytes: int = 0  # including the frames' headers

    def add(self, frame_bytes: int) -> None:
        """Count one more message."""
        self.messages += 1
        self.frame_bytes += frame_bytes


@dataclass(slots=True)
class Traffic:
    """All messages that one process sent and received since its start, by label."""

    sent: dict[str, MessageCount] = field(default_factory=dict)
    received: dict[str, MessageCount] = field(default_factory=dict)

    def record_sent(self, kind: type, frame_bytes: int) -> None:
        """Count a sent message of class `kind`."""
        _count_for(self.sent, kind).add(frame_bytes)

    def record_received(self, kind: type, frame_bytes: int) -> None:
        """Count a received message of class `kind`."""
        _count_for(self.received, kind).add(frame_bytes)

    def describe(self) -> dict[str, dict[str, list[int]]]:
        """Return [messages, bytes] by direction and label."""
        return {"sent": _describe(self.sent), "received": _describe(self.received)}


def _count_for(counts: dict[str, MessageCount], kind: type) -> MessageCount:
    label = MESSAGE_LABELS[kind]
    count = counts.get(label)
    if count is None:
        count = counts[label] = MessageCount()
    return count


def _describe(counts: dict[str, MessageCount]) -> dict[str, list[int]]:
    return {label: [count.messages, count.frame_bytes] for label, count in counts.items()}
