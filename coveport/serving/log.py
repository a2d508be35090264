"""One line of key=value pairs an event, on standard error, rendered by structlog.

At most `BURST` lines of one event are written in `SPAN_S`.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from types import ModuleType
from typing import Any


def _import_structlog() -> ModuleType:
    """Import it without rich, which it would load for tracebacks: 70 ms and 6 MB that no role uses."""
    hidden = "rich" not in sys.modules
    if hidden:
        sys.modules["rich"] = None  # type: ignore[assignment]  # an import of it fails, which structlog expects
    try:
        import structlog
    finally:
        if hidden:
            del sys.modules["rich"]
    return structlog


structlog: Any = _import_structlog()

BURST = 20  # lines of one event ...
SPAN_S = 10.0  # ... in this long; what is left out is counted and said with the next one


class _Limit:
    """Counts lines by event."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._spans: dict[str, list[float]] = {}  # event: start of its span, lines in it, lines left out

    def __call__(self, logger: Any, method: str, event: Any) -> Any:
        now = self._now_s()
        span = self._spans.setdefault(event["event"], [now, 0, 0])
        if now - span[0] >= SPAN_S:
            span[0], span[1] = now, 0
        if span[1] >= BURST:
            span[2] += 1
            raise structlog.DropEvent
        span[1] += 1
        if span[2]:
            event["suppressed"] = int(span[2])
            span[2] = 0
        return event


def create_logger(
    now_s: Callable[[], float], level: int = 20, write: Callable[[str], object] | None = None
) -> Any:
    """A logger of `log.info("event_name", key=value)`; `level` as in `logging`."""
    renderer = structlog.processors.LogfmtRenderer(key_order=["at", "level", "event"], drop_missing=True)

    def stamp(logger: Any, method: str, event: Any) -> Any:
        event["at"] = f"{now_s():.3f}"
        return event

    return structlog.wrap_logger(
        _Writer(write or _to_stderr),
        processors=[structlog.processors.add_log_level, _Limit(now_s), stamp, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(level),
    )


class _Writer:
    """What structlog hands finished lines to."""

    def __init__(self, write: Callable[[str], object]) -> None:
        self._write = write

    def msg(self, line: str) -> None:
        """Write a line."""
        self._write(line)

    debug = info = warning = error = critical = msg


def _to_stderr(line: str) -> None:
    try:
        sys.stderr.write(line + "\n")
        sys.stderr.flush()
    except OSError:
        pass  # a log line is not worth a crash
