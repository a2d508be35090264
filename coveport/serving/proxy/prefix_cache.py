"""Estimates which nodes hold which prompt prefixes in their prefix cache, for affinity. Pure.

Affinity narrows the nodes of a locality to a few that all proxies agree on (rendezvous hashing), and breaks
ties of the draw between two of them: the node that was last sent more of the prompt's leading segments has
less to prefill. It never overrides the load: of two drawn, the less busy takes the request.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from coveport.serving.proxy.prompt_segments import PromptSegment

MAX_SEGMENTS = 2048  # bounds memory; the least recently used are dropped; not measured
NODES_PER_SEGMENT = 4  # the last ones it was sent to: nodes evict it sooner or later; not measured
RANK_BYTES = 8  # of a hash: no two nodes get the same rank
AFFINITY_NODES = 2  # nodes of a locality that a prefix keeps to; measurement `affinity-nodes`
MIN_AFFINITY_TOKENS = 1000  # shorter prefixes are prefilled in one step; measurement `affinity-min-tokens`


@dataclass(slots=True)
class PrefixCacheIndex:
    """The nodes, by incarnation, that each segment was last sent to; the latest comes last."""

    _nodes_by_segment: OrderedDict[str, tuple[str, ...]] = field(default_factory=OrderedDict)

    def record_forwarded(self, segments: tuple[PromptSegment, ...], incarnation: str) -> None:
        """Record that a prompt was sent to a node."""
        for segment in segments:
            earlier = self._nodes_by_segment.pop(segment.id, ())
            others = tuple(name for name in earlier if name != incarnation)
            self._nodes_by_segment[segment.id] = (*others[-(NODES_PER_SEGMENT - 1) :], incarnation)
        while len(self._nodes_by_segment) > MAX_SEGMENTS:
            self._nodes_by_segment.popitem(last=False)

    def cached_tokens(self, segments: tuple[PromptSegment, ...], incarnation: str) -> int:
        """Return the length of the prompt's prefix that the node probably has cached.

        A segment counts only if all segments before it do.
        """
        cached = 0
        for segment in segments:
            if incarnation not in self._nodes_by_segment.get(segment.id, ()):
                break
            cached += segment.tokens
        return cached

    def uncached_tokens(self, segments: tuple[PromptSegment, ...], incarnation: str) -> int:
        """Return how many tokens the node has yet to prefill, as far as this proxy knows."""
        return sum(segment.tokens for segment in segments) - self.cached_tokens(segments, incarnation)

    def preferred_node(self, segments: tuple[PromptSegment, ...], first: str, second: str) -> str | None:
        """Return the node with more of the prompt cached, else the higher ranked; None without a prefix."""
        first_cached = self.cached_tokens(segments, first)
        second_cached = self.cached_tokens(segments, second)
        if first_cached != second_cached:
            return first if first_cached > second_cached else second
        shared = shared_segment(segments)
        if shared is None:
            return None
        return max(first, second, key=lambda incarnation: _rendezvous_rank(shared, incarnation))


def affinity_candidates(
    segments: tuple[PromptSegment, ...], incarnations: Sequence[str], max_nodes: int
) -> Sequence[str]:
    """Return the few nodes that every proxy prefers for the prompt's shared prefix.

    Returns all of them where the prefix is missing or short: the load then spreads over more nodes.
    """
    shared = shared_segment(segments)
    if shared is None or len(incarnations) <= max_nodes:
        return incarnations
    if sum(segment.tokens for segment in segments[:-1]) < MIN_AFFINITY_TOKENS:
        return incarnations
    return heapq.nlargest(
        max_nodes, incarnations, key=lambda incarnation: _rendezvous_rank(shared, incarnation)
    )


def shared_segment(segments: tuple[PromptSegment, ...]) -> PromptSegment | None:
    """Return the last segment that other requests have too: the very last is the request's own."""
    return segments[-2] if len(segments) > 1 else None


def _rendezvous_rank(segment: PromptSegment, incarnation: str) -> bytes:
    """Return a node's rank for a segment: every proxy computes the same (rendezvous hashing).

    A checksum would not do: CRC-32 is linear, so nodes would get very unequal shares of the segments, and all
    segments of a node the same second choice (docs/policy.md, round 3).
    """
    return hashlib.blake2b(f"{segment.id}/{incarnation}".encode(), digest_size=RANK_BYTES).digest()
