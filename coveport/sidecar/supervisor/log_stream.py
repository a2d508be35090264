"""The one stream that all instances of a host and their supervisor write to: JSON lines with who and what.

Appended to by many processes, a line in one write. Moved aside by the supervisor when it is large; whoever
writes sees that by the file's inode (`logging`'s own handler for it) and goes on in the new one.
"""

from __future__ import annotations

import contextlib
import logging
import os
import time
from collections.abc import Callable
from logging.handlers import WatchedFileHandler
from pathlib import Path
from typing import Any

import structlog

from coveport.sidecar.telemetry.log import Log

MOST = 64 * 1024 * 1024  # bytes, after which it is moved aside; the one before that goes


class _Lines:
    """What structlog prints to."""

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self._handler = WatchedFileHandler(path, encoding="utf-8", delay=True)
        self._handler.setFormatter(logging.Formatter("%(message)s"))
        # Guards against a full disk or a folder that went: a log line is not worth a crash.
        self._handler.handleError = lambda record: None  # type: ignore[method-assign]

    def msg(self, message: str) -> None:
        """A line."""
        self._handler.emit(logging.LogRecord("coveport", logging.INFO, "", 0, message, None, None))

    debug = info = warning = error = log = msg


def stream_path(folder: Path) -> Path:
    """Where the stream of a fleet stands."""
    return folder / "log" / "fleet.jsonl"


def stream_logger(folder: Path, level: str = "info", **who: object) -> Any:
    """What writes events into the stream, each with who it is and when."""

    def when(_logger: object, _method: str, event: Any) -> Any:
        event["unix"] = round(time.time(), 3)
        return event

    made = structlog.wrap_logger(
        _Lines(stream_path(folder)),
        processors=[structlog.processors.add_log_level, when, structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.DEBUG if level == "debug" else logging.INFO
        ),
    )
    return made.bind(**who)


class StreamLog(Log):
    """An instance's plain lines, as events of the stream; of a kind as many as ever."""

    def __init__(self, now_s: Callable[[], float], made: Any) -> None:
        super().__init__(now_s)
        self._made = made

    def say(self, text: str) -> None:
        """A line."""
        if text.startswith("counters "):
            self._made.info("counters", text=text.removeprefix("counters "))
        else:
            self._made.info("said", text=text)

    def tell(self, kind: str, text: str) -> None:
        """A line of a kind."""
        level = self._made.error if kind in ("fault", "unexpected") else self._made.warning
        level(kind.replace(" ", "_"), text=text)


def rotate(folder: Path, most: int = MOST) -> bool:
    """Move the stream aside where it is large; whether it was."""
    path = stream_path(folder)
    with contextlib.suppress(OSError):
        if path.stat().st_size > most:
            os.replace(path, path.with_suffix(".jsonl.1"))
            return True
    return False
