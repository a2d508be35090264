"""The log stream that all instances of a host and their supervisor append to: JSON lines.

Each line is one write, so lines of several processes do not mix. The supervisor renames the file when it is
large; writers detect the new inode (`WatchedFileHandler`) and continue in the new file.
"""

from __future__ import annotations

import contextlib
import json
import logging
import os
import time
from collections.abc import Callable
from logging.handlers import WatchedFileHandler
from pathlib import Path
from typing import Any

import structlog

from coveport.sidecar.telemetry.log import Log

MAX_STREAM_BYTES = 64 * 1024 * 1024  # size at which the stream is rotated; one rotated file is kept
COUNTERS_PREFIX = "counters "
ERROR_KINDS = ("fault", "unexpected")


def stream_path(folder: Path) -> Path:
    """Return the path of a fleet's log stream."""
    return folder / "log" / "fleet.jsonl"


def stream_logger(folder: Path, level: str = "info", **fields: object) -> Any:
    """Return a structlog logger that appends to the stream; `fields` identify the writer in each line."""

    def add_time(_logger: object, _method: str, event: Any) -> Any:
        event["unix"] = round(time.time(), 3)
        return event

    logger = structlog.wrap_logger(
        _StreamWriter(stream_path(folder)),
        processors=[structlog.processors.add_log_level, add_time, structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.DEBUG if level == "debug" else logging.INFO
        ),
    )
    return logger.bind(**fields)


class _StreamWriter:
    """Appends rendered lines to the stream; structlog calls the method named after the level."""

    def __init__(self, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self._handler = WatchedFileHandler(path, encoding="utf-8", delay=True)
        self._handler.setFormatter(logging.Formatter("%(message)s"))
        # Guards against a full disk or a removed folder: a failed log write must not crash the process.
        self._handler.handleError = lambda record: None  # type: ignore[method-assign]

    def msg(self, message: str) -> None:
        """Append a line."""
        self._handler.emit(logging.LogRecord("coveport", logging.INFO, "", 0, message, None, None))

    debug = info = warning = error = log = msg


class StreamLog(Log):
    """Writes an instance's log lines as events of the stream; the limit of lines per kind still applies."""

    def __init__(self, now_s: Callable[[], float], logger: Any) -> None:
        super().__init__(now_s)
        self._logger = logger

    def write(self, text: str) -> None:
        """Write a line without a kind."""
        if text.startswith(COUNTERS_PREFIX):
            self._logger.info("counters", text=text.removeprefix(COUNTERS_PREFIX))
        else:
            self._logger.info("said", text=text)

    def write_kind(self, kind: str, text: str) -> None:
        """Write a line of a kind."""
        write = self._logger.error if kind in ERROR_KINDS else self._logger.warning
        write(kind.replace(" ", "_"), text=text)


def rotate(folder: Path, max_bytes: int = MAX_STREAM_BYTES) -> bool:
    """Rename the stream if it is larger than `max_bytes`; return whether it was renamed."""
    path = stream_path(folder)
    with contextlib.suppress(OSError):
        if path.stat().st_size > max_bytes:
            os.replace(path, path.with_suffix(".jsonl.1"))
            return True
    return False


def read_stream(path: Path, names: frozenset[str], max_lines: int) -> list[dict[str, Any]]:
    """Return the last lines about these instances, or about all instances if `names` is empty."""
    entries: list[dict[str, Any]] = []
    try:
        data = path.read_bytes()
    except OSError:
        return []
    for text in data.splitlines():
        try:
            entry = json.loads(text)
        except ValueError:
            continue  # truncated by a full disk
        if isinstance(entry, dict) and (not names or {entry.get("instance"), entry.get("name")} & names):
            entries.append(entry)
    return entries[-max_lines:]
