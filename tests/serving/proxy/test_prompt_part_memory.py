"""Which nodes probably keep which parts of prompts."""

from __future__ import annotations

from collections import Counter, defaultdict

from coveport.serving.proxy.prompt_parts import (
    MOST_PARTS,
    NODES_PER_PART,
    WORTH_KEEPING_TOKENS,
    PartMemory,
    PromptPart,
    keepers,
    read_parts,
)

PARTS = read_parts("5c1e07a2:800,91bd3f06:410, e4402b7d:250")


def test_parts_are_read_in_order() -> None:
    assert (PromptPart("5c1e07a2", 800), PromptPart("91bd3f06", 410), PromptPart("e4402b7d", 250)) == PARTS
    assert read_parts(None) == read_parts("") == read_parts("5c:x") == read_parts("5c") == ()


def test_a_part_counts_only_behind_those_before_it() -> None:
    memory = PartMemory()
    memory.note_sent(PARTS[1:], "a")
    assert memory.kept_tokens(PARTS, "a") == 0
    memory.note_sent(PARTS[:1], "a")
    assert memory.kept_tokens(PARTS, "a") == 1460
    memory.note_sent(PARTS[:2], "b")
    assert memory.kept_tokens(PARTS, "b") == 1210
    assert memory.prefer(PARTS, "a", "b") == "a" == memory.prefer(PARTS, "b", "a")


def test_where_both_keep_as_much_all_proxies_prefer_the_same_node_and_parts_spread_over_nodes() -> None:
    """Each proxy has a memory of its own: without an agreed choice every node would read every part."""
    names = [f"n{number}" for number in range(8)]
    counts = dict.fromkeys(names, 0)
    for number in range(400):
        parts = (PromptPart(f"p{number}", 100), PromptPart("own", 10))
        preferred = {PartMemory().prefer(parts, "n0", "n1"), PartMemory().prefer(parts, "n1", "n0")}
        assert len(preferred) == 1
        best = names[0]
        for name in names[1:]:
            best = PartMemory().prefer(parts, best, name) or best
        counts[best] += 1
    assert min(counts.values()) > 20


def test_a_prompt_without_a_shared_part_leaves_the_tie_to_chance() -> None:
    assert PartMemory().prefer((), "a", "b") is None
    assert PartMemory().prefer((PromptPart("own", 10),), "a", "b") is None


def test_memory_is_bounded() -> None:
    memory = PartMemory()
    for number in range(NODES_PER_PART + 1):
        memory.note_sent(PARTS, f"n{number}")
    assert memory.kept_tokens(PARTS, "n0") == 0
    assert memory.kept_tokens(PARTS, f"n{NODES_PER_PART}") == 1460
    for number in range(MOST_PARTS):
        memory.note_sent((PromptPart(f"p{number}", 1),), "n1")
    assert memory.kept_tokens(PARTS, "n1") == 0
    assert memory.kept_tokens((PromptPart("p0", 1),), "n1") == 1


def test_what_is_unread_is_the_prompt_less_the_leading_parts_that_are_kept() -> None:
    memory = PartMemory()
    assert memory.unread_tokens(PARTS, "a") == 1460
    memory.note_sent(PARTS[:2], "a")
    assert memory.unread_tokens(PARTS, "a") == 250


def test_prompts_with_long_shared_parts_keep_to_few_nodes_and_others_go_anywhere() -> None:
    names = tuple(f"n{number}" for number in range(8))
    long = (PromptPart("a", WORTH_KEEPING_TOKENS - 10), PromptPart("b", 10), PromptPart("own", 5000))
    short = (PromptPart("a", WORTH_KEEPING_TOKENS - 11), PromptPart("b", 10), PromptPart("own", 5000))
    kept = keepers(long, names, 2)
    assert len(kept) == 2 and set(kept) == set(keepers(long, names[::-1], 2))
    assert keepers(short, names, 2) == names == keepers((), names, 2)
    assert keepers(long, names[:2], 2) == names[:2]


def test_every_node_gets_its_share_of_the_parts_and_their_second_choices_spread() -> None:
    """A checksum gave one of 36 nodes three times its share, and all parts of a node one second choice."""
    names = [f"i-{number * 7919:08x}" for number in range(36)]
    first: Counter[str] = Counter()
    second: dict[str, Counter[str]] = defaultdict(Counter)
    for number in range(7200):
        parts = (PromptPart(f"{number * 104729:010x}", WORTH_KEEPING_TOKENS), PromptPart("own", 10))
        top, other = keepers(parts, names, 2)
        first[top] += 1
        second[top][other] += 1
    share = 7200 / len(names)
    assert 0.7 * share < min(first[name] for name in names)
    assert max(first.values()) < 1.3 * share
    assert all(max(others.values()) < 0.15 * sum(others.values()) for others in second.values())
