"""The priority that a node is told of a request: who is let in first, and read first. Pure.

Nodes read prompts one after the other, so a long one holds up all behind it. Requests that can still be in
time go before those that can't, and short prompts before long ones: that holds the fewest up, and a long
prompt loses little by the short ones.
"""

from __future__ import annotations

SHORT_TOKENS = 1500  # a prompt with less to read than this is read in a step
MEDIUM_TOKENS = 4000
LONG_TOKENS = 9000
FIRST_PRIORITY = 2  # 0 goes first of all; 5 is what a node assumes where it is told nothing
LATE_PRIORITY = 7


def priority(unread_tokens: int, spare_s: float) -> int:
    """From 0, which goes first, to 9. `spare_s`: time left until the answer is late; negative: it is late."""
    if spare_s <= 0:
        return LATE_PRIORITY + (unread_tokens >= MEDIUM_TOKENS)
    longer_than = sum(unread_tokens >= most for most in (SHORT_TOKENS, MEDIUM_TOKENS, LONG_TOKENS))
    return FIRST_PRIORITY + longer_than
