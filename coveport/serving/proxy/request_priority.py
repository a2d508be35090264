"""The priority sent to a node with a request: the order in which the node admits and prefills.

A node prefills prompts in sequence, so a long prompt delays all prompts behind it. Requests that can still
meet their latency target go before requests that can't, and short prompts before long ones: this delays the
fewest requests, and short prompts delay a long one only a little. The gain was measured (`overload-signs`).

This module does no I/O and reads no clock.
"""

from __future__ import annotations

# Numbers of uncached tokens from which a prompt gets the next lower priority. The time to the first event on
# an idle node grows with them (docs/policy.md, late first events).
SHORT_PROMPT_TOKENS = 1500  # fewer tokens are prefilled in one step
# Prompts of this length take several steps, see `node_selection.LONG_PREFILL_TOKENS`.
MEDIUM_PROMPT_TOKENS = 4000
LONG_PROMPT_TOKENS = 9000

HIGHEST_PRIORITY = 2  # nodes admit 0 first, and use 5 for requests without a priority
LATE_PRIORITY = 7  # behind the priorities of all requests that can still meet their target


def request_priority(uncached_tokens: int, slack_s: float) -> int:
    """Return a priority from 0, which is admitted first, to 9.

    Args:
        uncached_tokens: number of tokens that the node must still prefill.
        slack_s: time left until the latency target of the response; negative if it has passed.

    """
    if slack_s <= 0:
        return LATE_PRIORITY + (uncached_tokens >= MEDIUM_PROMPT_TOKENS)
    thresholds = (SHORT_PROMPT_TOKENS, MEDIUM_PROMPT_TOKENS, LONG_PROMPT_TOKENS)
    return HIGHEST_PRIORITY + sum(uncached_tokens >= threshold for threshold in thresholds)
