"""The event log: one line of key=value pairs for each event, written to standard error with structlog.

At most `MAX_LINES_PER_WINDOW` lines of one event are written in `WINDOW_S`; see docs/operators/log-events.md.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from types import ModuleType
from typing import Any, Final, Protocol


def _import_structlog() -> ModuleType:
    """Import structlog without rich, which it uses for tracebacks only: that saves 70 ms and 6 MB."""
    hide_rich = "rich" not in sys.modules
    if hide_rich:
        sys.modules["rich"] = None  # type: ignore[assignment]  # makes `import rich` fail, as structlog allows
    try:
        import structlog
    finally:
        if hide_rich:
            del sys.modules["rich"]
    return structlog


structlog: Any = _import_structlog()

INFO_LEVEL: Final = 20  # the value of `logging.INFO`, without an import of `logging`
MAX_LINES_PER_WINDOW: Final = 20  # lines of one event
WINDOW_S: Final = 10.0


class EventLogger(Protocol):
    """Logs events, as in `log.info("event_name", key=value)`, with one method for each level."""

    def debug(self, event: str, **keys: object) -> object:
        """Log an event that helps only to find the cause of a fault."""

    def info(self, event: str, **keys: object) -> object:
        """Log an event of normal operation."""

    def warning(self, event: str, **keys: object) -> object:
        """Log a fault from which the system recovers by itself."""

    def error(self, event: str, **keys: object) -> object:
        """Log a fault that an operator should look at."""


def create_logger(
    now_s: Callable[[], float], level: int = INFO_LEVEL, write: Callable[[str], object] | None = None
) -> EventLogger:
    """Return a logger that writes a line for each event.

    `now_s`: clock for the key `at`. `level`: lowest level that is written, as in `logging`.
    `write`: called with each line, without a line end; None: lines go to standard error.
    """
    renderer = structlog.processors.LogfmtRenderer(key_order=["at", "level", "event"], drop_missing=True)

    def add_time(logger: Any, method: str, event: Any) -> Any:
        event["at"] = f"{now_s():.3f}"
        return event

    logger: EventLogger = structlog.wrap_logger(
        _LineWriter(write or _write_to_stderr),
        processors=[structlog.processors.add_log_level, _RateLimiter(now_s), add_time, renderer],
        wrapper_class=structlog.make_filtering_bound_logger(level),
    )
    return logger


@dataclass(slots=True)
class _Window:
    """The number of lines of one event in the current window."""

    start_s: float
    written: int = 0
    suppressed: int = 0  # lines since the last written one, in this window and earlier ones


class _RateLimiter:
    """A structlog processor that drops events beyond the limit; the next written line has their number."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._windows: dict[str, _Window] = {}  # by event name

    def __call__(self, logger: Any, method: str, event: Any) -> Any:
        now_s = self._now_s()
        window = self._windows.setdefault(event["event"], _Window(now_s))
        if now_s - window.start_s >= WINDOW_S:
            window.start_s = now_s
            window.written = 0
        if window.written >= MAX_LINES_PER_WINDOW:
            window.suppressed += 1
            raise structlog.DropEvent
        window.written += 1
        if window.suppressed:
            event["suppressed"] = window.suppressed
            window.suppressed = 0
        return event


class _LineWriter:
    """The innermost logger: structlog calls it with rendered lines."""

    def __init__(self, write: Callable[[str], object]) -> None:
        self._write = write

    def msg(self, line: str) -> None:
        """Write a line."""
        self._write(line)

    debug = info = warning = error = critical = msg


def _write_to_stderr(line: str) -> None:
    try:
        sys.stderr.write(line + "\n")
        sys.stderr.flush()
    except OSError:
        pass  # the process continues without a log if standard error can't be written to
