"""Which nodes probably keep which parts of prompts."""

from __future__ import annotations

from coveport.system.proxy.prompt_parts import MOST_PARTS, NODES_PER_PART, PartMemory, PromptPart, read_parts

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
    assert memory.prefer(PARTS[:2], "a", "b") is None


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
