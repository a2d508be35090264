"""The priority that a node is given with a request: the order in which it admits and prefills. Pure.

Nodes prefill prompts one after the other, so a long one delays all behind it. Requests that can still meet
their target go before those that can't, and short prompts before long ones: that delays the fewest, and a
long prompt loses little by the short ones. Measurement `overload-signs` has the gain.
"""

from __future__ import annotations

# Tokens that a node has yet to prefill: an idle node's time to the first event grows with them
# (docs/policy.md, late first events). The steps between the priorities were not measured alone.
SHORT_PROMPT_TOKENS = 1500  # less is done in one step
MEDIUM_PROMPT_TOKENS = 4000  # several steps, as `node_selection.LONG_PREFILL_TOKENS`
LONG_PROMPT_TOKENS = 9000

HIGHEST_PRIORITY = 2  # a node admits 0 first, and assumes 5 where it is given none; not measured
LATE_PRIORITY = 7  # after every request that can still be in time


def request_priority(uncached_tokens: int, slack_s: float) -> int:
    """Return a priority from 0, which is admitted first, to 9.

    Args:
        uncached_tokens: what the node has yet to prefill.
        slack_s: time left until the response misses its latency target; negative: it has.

    """
    if slack_s <= 0:
        return LATE_PRIORITY + (uncached_tokens >= MEDIUM_PROMPT_TOKENS)
    bounds = (SHORT_PROMPT_TOKENS, MEDIUM_PROMPT_TOKENS, LONG_PROMPT_TOKENS)
    return HIGHEST_PRIORITY + sum(uncached_tokens >= bound for bound in bounds)
