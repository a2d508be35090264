"""Parses the prompt segments that a client names in `Coveport-Prompt-Prefix`.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.proxy.headers import whole_number


@dataclass(frozen=True, slots=True)
class PromptSegment:
    """A sequence of a prompt's tokens, the same in all requests that name its id."""

    id: str
    tokens: int


def parse_segments(value: str | None) -> tuple[PromptSegment, ...]:
    """Return the segments named by `ID:TOKENS,ID:TOKENS`, in order; empty if the value is malformed."""
    if not value:
        return ()
    segments = []
    for item in value.split(","):
        segment_id, _, text = item.strip().partition(":")
        tokens = whole_number(text)
        if not segment_id or tokens is None:
            return ()
        segments.append(PromptSegment(segment_id, tokens))
    return tuple(segments)
