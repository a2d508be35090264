"""Which nodes probably keep which parts of prompts. Pure.

Used to break ties of the draw alone: among nodes with equally many of this proxy's requests, the one that
was last sent more of the prompt's leading parts need not read them again.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

MOST_PARTS = 2048  # that are remembered; those unused the longest are forgotten
NODES_PER_PART = 4  # the last so many that it was sent to
RANK_BYTES = 8  # of a hash: no two nodes get the same
WORTH_KEEPING_TOKENS = 1000  # shared parts shorter than this, together, are read anew rather than sent after


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, shared by all requests that name it."""

    id: str
    tokens: int


def read_parts(value: str | None) -> tuple[PromptPart, ...]:
    """The parts that `ID:TOKENS,ID:TOKENS` names, in order; empty where it is anything else."""
    if not value:
        return ()
    parts = []
    for piece in value.split(","):
        part_id, _, tokens = piece.strip().partition(":")
        if not part_id or not tokens.isdigit():
            return ()
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


@dataclass(slots=True)
class PartMemory:
    """The nodes, by incarnation, that each part was last sent to; the latest comes last."""

    _nodes_by_part: OrderedDict[str, tuple[str, ...]] = field(default_factory=OrderedDict)

    def note_sent(self, parts: tuple[PromptPart, ...], incarnation: str) -> None:
        """A prompt has gone to a node."""
        for part in parts:
            others = tuple(one for one in self._nodes_by_part.pop(part.id, ()) if one != incarnation)
            self._nodes_by_part[part.id] = (*others[-(NODES_PER_PART - 1) :], incarnation)
        while len(self._nodes_by_part) > MOST_PARTS:
            self._nodes_by_part.popitem(last=False)

    def kept_tokens(self, parts: tuple[PromptPart, ...], incarnation: str) -> int:
        """Tokens of the leading parts that the node probably keeps: a part counts if all before it do."""
        kept = 0
        for part in parts:
            if incarnation not in self._nodes_by_part.get(part.id, ()):
                break
            kept += part.tokens
        return kept

    def unread_tokens(self, parts: tuple[PromptPart, ...], incarnation: str) -> int:
        """Tokens of the prompt that the node has yet to read, as far as this proxy knows."""
        return sum(part.tokens for part in parts) - self.kept_tokens(parts, incarnation)

    def prefer(self, parts: tuple[PromptPart, ...], one: str, other: str) -> str | None:
        """The node that keeps more; where that is equal the one that all proxies agree on; None: no parts."""
        one_keeps, other_keeps = self.kept_tokens(parts, one), self.kept_tokens(parts, other)
        if one_keeps != other_keeps:
            return one if one_keeps > other_keeps else other
        shared = shared_part(parts)
        if shared is None:
            return None
        return max(one, other, key=lambda incarnation: _agreed_rank(shared, incarnation))


def keepers(parts: tuple[PromptPart, ...], incarnations: Sequence[str], most: int) -> Sequence[str]:
    """The few of the nodes that all proxies agree on for the prompt's shared part.

    All of them where it has none, or short ones: those are read in a step, and fewer nodes share the load.
    """
    shared = shared_part(parts)
    if shared is None or len(incarnations) <= most:
        return incarnations
    if sum(part.tokens for part in parts[:-1]) < WORTH_KEEPING_TOKENS:
        return incarnations
    return heapq.nlargest(most, incarnations, key=lambda incarnation: _agreed_rank(shared, incarnation))


def shared_part(parts: tuple[PromptPart, ...]) -> PromptPart | None:
    """The last part that other requests have too: the very last belongs to the request itself."""
    return parts[-2] if len(parts) > 1 else None


def _agreed_rank(part: PromptPart, incarnation: str) -> bytes:
    """Rendezvous hashing: every proxy ranks the nodes alike, and each part ranks them differently.

    A checksum would not do: CRC-32 is linear, so nodes would get very unequal shares of the parts, and all
    parts of a node the same second choice.
    """
    return hashlib.blake2b(f"{part.id}/{incarnation}".encode(), digest_size=RANK_BYTES).digest()
