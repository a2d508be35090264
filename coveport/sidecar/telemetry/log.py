"""Log lines for operators, rate-limited by kind."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable

BURST = 5  # lines of one kind ...
SPAN_S = 10.0  # ... in this long; what is left out is counted and said with the next line


def to_stderr(line: str) -> None:
    """Print a line to standard error."""
    # Guards against a closed or full standard error: a log line is not worth a crash.
    with contextlib.suppress(OSError):
        print(line, file=sys.stderr, flush=True)


class Log:
    """The log of one instance: at most BURST lines of a kind in SPAN_S seconds."""

    def __init__(self, now_s: Callable[[], float], write: Callable[[str], None] = to_stderr) -> None:
        self._now_s = now_s
        self._write = write
        self._kinds: dict[str, list[float]] = {}  # kind: start of its span, lines in it, lines left out

    def note(self, kind: str, text: str) -> None:
        """Print a line unless its kind has reached its limit for now."""
        now = self._now_s()
        state = self._kinds.setdefault(kind, [now, 0, 0])
        if now - state[0] >= SPAN_S:
            state[0] = now
            state[1] = 0
        if state[1] >= BURST:
            state[2] += 1
            return
        state[1] += 1
        left_out = f" ({int(state[2])} like it left out)" if state[2] else ""
        state[2] = 0
        self.write_kind(kind, f"{text}{left_out}")

    def write(self, text: str) -> None:
        """Print a line, without a limit."""
        self._write(f"coveport: {text}")

    def write_kind(self, kind: str, text: str) -> None:
        """Print a line that is within the limit of its kind."""
        self.write(f"{kind}: {text}")
