"""Lines for the operators: plain print to standard error, at most a few of a kind in a while."""

from __future__ import annotations

import contextlib
import sys
import time

BURST = 5  # lines of one kind ...
SPAN_S = 10.0  # ... in this long; what is left out is counted and said with the next line

_kinds: dict[str, list[float]] = {}  # kind: start of its span, lines in it, lines left out


def note(kind: str, text: str) -> None:
    """Print a line unless its kind has had its share for now."""
    now = time.monotonic()
    state = _kinds.setdefault(kind, [now, 0, 0])
    if now - state[0] >= SPAN_S:
        state[0], state[1] = now, 0
    if state[1] >= BURST:
        state[2] += 1
        return
    state[1] += 1
    left_out = f" ({int(state[2])} like it left out)" if state[2] else ""
    state[2] = 0
    say(f"{kind}: {text}{left_out}")


def say(text: str) -> None:
    """Print a line, whatever came before."""
    # Guards against a closed or full standard error: a log line is not worth a crash.
    with contextlib.suppress(OSError):
        print(f"coveport: {text}", file=sys.stderr, flush=True)
