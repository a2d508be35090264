"""Estimates of the nodes' prefix caches, and cache affinity."""

from __future__ import annotations

from collections import Counter, defaultdict

from coveport.serving.proxy.prefix_cache import (
    MAX_SEGMENTS,
    MIN_AFFINITY_TOKENS,
    NODES_PER_SEGMENT,
    PrefixCacheIndex,
    affinity_candidates,
)
from coveport.serving.proxy.prompt_segments import PromptSegment, parse_segments

SEGMENTS = parse_segments("5c1e07a2:800,91bd3f06:410, e4402b7d:250")


def test_segments_are_parsed_in_order() -> None:
    assert (
        PromptSegment("5c1e07a2", 800),
        PromptSegment("91bd3f06", 410),
        PromptSegment("e4402b7d", 250),
    ) == SEGMENTS
    assert parse_segments(None) == parse_segments("") == parse_segments("5c:x") == parse_segments("5c") == ()


def test_segment_counts_only_if_all_segments_before_it_count() -> None:
    index = PrefixCacheIndex()
    index.record_forwarded(SEGMENTS[1:], "a")
    assert index.cached_tokens(SEGMENTS, "a") == 0
    index.record_forwarded(SEGMENTS[:1], "a")
    assert index.cached_tokens(SEGMENTS, "a") == 1460
    index.record_forwarded(SEGMENTS[:2], "b")
    assert index.cached_tokens(SEGMENTS, "b") == 1210
    assert index.preferred_node(SEGMENTS, "a", "b") == "a" == index.preferred_node(SEGMENTS, "b", "a")


def test_on_equal_caches_all_proxies_prefer_the_same_node_and_segments_spread() -> None:
    """Proxies share no index, so with different preferences every node would prefill every segment."""
    names = [f"n{number}" for number in range(8)]
    counts = dict.fromkeys(names, 0)
    for number in range(400):
        segments = (PromptSegment(f"p{number}", 100), PromptSegment("own", 10))
        preferred = {
            PrefixCacheIndex().preferred_node(segments, "n0", "n1"),
            PrefixCacheIndex().preferred_node(segments, "n1", "n0"),
        }
        assert len(preferred) == 1
        preferred_name = names[0]
        for name in names[1:]:
            preferred_name = (
                PrefixCacheIndex().preferred_node(segments, preferred_name, name) or preferred_name
            )
        counts[preferred_name] += 1
    assert min(counts.values()) > 20


def test_prompt_without_a_shared_segment_leaves_the_tie_to_the_draw() -> None:
    assert PrefixCacheIndex().preferred_node((), "a", "b") is None
    assert PrefixCacheIndex().preferred_node((PromptSegment("own", 10),), "a", "b") is None


def test_index_is_bounded() -> None:
    index = PrefixCacheIndex()
    for number in range(NODES_PER_SEGMENT + 1):
        index.record_forwarded(SEGMENTS, f"n{number}")
    assert index.cached_tokens(SEGMENTS, "n0") == 0
    assert index.cached_tokens(SEGMENTS, f"n{NODES_PER_SEGMENT}") == 1460
    for number in range(MAX_SEGMENTS):
        index.record_forwarded((PromptSegment(f"p{number}", 1),), "n1")
    assert index.cached_tokens(SEGMENTS, "n1") == 0
    assert index.cached_tokens((PromptSegment("p0", 1),), "n1") == 1


def test_uncached_tokens_are_the_prompt_less_the_leading_cached_segments() -> None:
    index = PrefixCacheIndex()
    assert index.uncached_tokens(SEGMENTS, "a") == 1460
    index.record_forwarded(SEGMENTS[:2], "a")
    assert index.uncached_tokens(SEGMENTS, "a") == 250


def test_only_prompts_with_long_shared_prefixes_are_limited_to_few_nodes() -> None:
    names = tuple(f"n{number}" for number in range(8))
    long = (PromptSegment("a", MIN_AFFINITY_TOKENS - 10), PromptSegment("b", 10), PromptSegment("own", 5000))
    short = (PromptSegment("a", MIN_AFFINITY_TOKENS - 11), PromptSegment("b", 10), PromptSegment("own", 5000))
    candidates = affinity_candidates(long, names, 2)
    assert len(candidates) == 2 and set(candidates) == set(affinity_candidates(long, names[::-1], 2))
    assert affinity_candidates(short, names, 2) == names == affinity_candidates((), names, 2)
    assert affinity_candidates(long, names[:2], 2) == names[:2]


def test_segments_and_their_second_choices_spread_evenly_over_nodes() -> None:
    """A checksum gave one of 36 nodes three times the mean, and all segments of a node one second choice."""
    names = [f"i-{number * 7919:08x}" for number in range(36)]
    first_choices: Counter[str] = Counter()
    second_choices: dict[str, Counter[str]] = defaultdict(Counter)
    for number in range(7200):
        segments = (PromptSegment(f"{number * 104729:010x}", MIN_AFFINITY_TOKENS), PromptSegment("own", 10))
        top, runner_up = affinity_candidates(segments, names, 2)
        first_choices[top] += 1
        second_choices[top][runner_up] += 1
    mean_count = 7200 / len(names)
    assert 0.7 * mean_count < min(first_choices[name] for name in names)
    assert max(first_choices.values()) < 1.3 * mean_count
    assert all(max(counts.values()) < 0.15 * sum(counts.values()) for counts in second_choices.values())
