"""Log lines for operators, rate-limited by kind."""

from __future__ import annotations

import contextlib
import sys
from collections.abc import Callable

# Lines of one kind per window; further lines are counted, and the next printed line gives their number.
MAX_LINES = 5
WINDOW_S = 10.0


def to_stderr(line: str) -> None:
    """Print a line to standard error."""
    # Standard error may be closed or full; a log line that can't be written must not end the process.
    with contextlib.suppress(OSError):
        print(line, file=sys.stderr, flush=True)


class Log:
    """The log of one instance, with a limit of MAX_LINES lines of a kind per WINDOW_S."""

    def __init__(self, now_s: Callable[[], float], write: Callable[[str], None] = to_stderr) -> None:
        self._now_s = now_s
        self._write = write
        # By kind: start of the window, number of lines printed, number of lines left out.
        self._kinds: dict[str, list[float]] = {}

    def note(self, kind: str, text: str) -> None:
        """Print a line unless its kind has reached the limit of the current window."""
        now = self._now_s()
        state = self._kinds.setdefault(kind, [now, 0, 0])
        if now - state[0] >= WINDOW_S:
            state[0] = now
            state[1] = 0
        if state[1] >= MAX_LINES:
            state[2] += 1
            return
        state[1] += 1
        left_out = f" ({int(state[2])} like it left out)" if state[2] else ""
        state[2] = 0
        self.write_kind(kind, f"{text}{left_out}")

    def write(self, text: str) -> None:
        """Print a line without a limit."""
        self._write(f"coveport: {text}")

    def write_kind(self, kind: str, text: str) -> None:
        """Print a line of a kind without a limit."""
        self.write(f"{kind}: {text}")
