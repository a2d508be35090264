"""Estimates which nodes hold which prompt prefixes in their prefix caches, for cache affinity.

Affinity reduces the nodes of a locality to a few, the same on all proxies (rendezvous hashing), and decides
ties of the draw between two of them: the node that received more of the prompt's leading segments lately has
less to prefill. It never overrides the load: of the two nodes drawn, the less busy takes the request.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

import hashlib
import heapq
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from coveport.serving.proxy.prompt_segments import PromptSegment

MAX_SEGMENTS = 2048  # limits the memory used: the least recently used segments are dropped
NODES_PER_SEGMENT = 4  # the last nodes that received a segment; earlier nodes have probably evicted it
RANK_BYTES = 8  # hash size, large enough that no two nodes get the same rank
AFFINITY_NODES = 2  # nodes of a locality that share a prefix (docs/policy.md, `affinity-nodes`)
# Shorter prefixes are prefilled in one step (docs/policy.md, `affinity-min-tokens`).
MIN_AFFINITY_TOKENS = 1000


@dataclass(slots=True)
class PrefixCacheIndex:
    """The incarnations that each segment was last sent to, the latest last."""

    _nodes_by_segment: OrderedDict[str, tuple[str, ...]] = field(default_factory=OrderedDict)

    def record_forwarded(self, segments: tuple[PromptSegment, ...], incarnation: str) -> None:
        """Record that a prompt was sent to a node."""
        for segment in segments:
            previous_nodes = self._nodes_by_segment.pop(segment.id, ())
            other_nodes = tuple(name for name in previous_nodes if name != incarnation)
            self._nodes_by_segment[segment.id] = (*other_nodes[-(NODES_PER_SEGMENT - 1) :], incarnation)
        while len(self._nodes_by_segment) > MAX_SEGMENTS:
            self._nodes_by_segment.popitem(last=False)

    def cached_tokens(self, segments: tuple[PromptSegment, ...], incarnation: str) -> int:
        """Return the number of tokens of the prompt's prefix that the node has probably cached.

        A segment counts only if all segments before it count.
        """
        cached = 0
        for segment in segments:
            if incarnation not in self._nodes_by_segment.get(segment.id, ()):
                break
            cached += segment.tokens
        return cached

    def uncached_tokens(self, segments: tuple[PromptSegment, ...], incarnation: str) -> int:
        """Return the estimated number of tokens that the node would have to prefill."""
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
    """Return the `max_nodes` nodes that every proxy prefers for the prompt's shared prefix.

    Return all nodes if the prefix is missing or short, so that the load spreads over more of them.
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
    """Return the last segment shared with other requests: the one before the request's own."""
    return segments[-2] if len(segments) > 1 else None


def _rendezvous_rank(segment: PromptSegment, incarnation: str) -> bytes:
    """Return a node's rank for a segment, which is the same on every proxy (rendezvous hashing).

    A checksum is unsuitable: CRC-32 is linear, so nodes would get very unequal numbers of segments, and all
    segments of a node the same second choice (docs/policy.md, round 3).
    """
    return hashlib.blake2b(f"{segment.id}/{incarnation}".encode(), digest_size=RANK_BYTES).digest()
