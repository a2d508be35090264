"""The segments of a prompt that a client names in `Coveport-Prompt-Prefix`. Pure."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PromptSegment:
    """A run of a prompt's tokens, shared by all requests that name the same id."""

    id: str
    tokens: int


def parse_segments(value: str | None) -> tuple[PromptSegment, ...]:
    """Return the segments that `ID:TOKENS,ID:TOKENS` names, in order; empty where it is anything else."""
    if not value:
        return ()
    segments = []
    for item in value.split(","):
        segment_id, _, tokens = item.strip().partition(":")
        if not segment_id or not tokens.isdigit():
            return ()
        segments.append(PromptSegment(segment_id, int(tokens)))
    return tuple(segments)
