"""The lines of the event log: keys, levels, and the rate limit of each event."""

from __future__ import annotations

from pathlib import Path

import pytest

from coveport.serving.log import MAX_LINES_PER_WINDOW, WINDOW_S, EventLogger, create_logger

PAGE = Path(__file__).parents[2] / "docs" / "operators" / "log-events.md"


class LogFixture:
    """A logger with a clock that the test sets, and the lines that it has written."""

    def __init__(self) -> None:
        self.time_s = 100.0
        self.lines: list[str] = []
        self.logger: EventLogger = create_logger(lambda: self.time_s, write=self.lines.append)


@pytest.fixture
def log() -> LogFixture:
    """A logger at the level that roles use."""
    return LogFixture()


def test_line_has_time_level_event_and_keys_in_this_order(log: LogFixture) -> None:
    log.logger.warning("node_timed_out", node="i-1")
    assert log.lines == ["at=100.000 level=warning event=node_timed_out node=i-1"]


def test_event_below_info_is_not_written(log: LogFixture) -> None:
    log.logger.debug("coordinator_without_quorum", coordinator="10.0.0.1:1")
    assert log.lines == []


def test_lines_beyond_the_limit_are_suppressed_and_counted_by_the_next_line(log: LogFixture) -> None:
    for _ in range(MAX_LINES_PER_WINDOW + 3):
        log.logger.info("view_changed")
    assert len(log.lines) == MAX_LINES_PER_WINDOW
    log.time_s += WINDOW_S
    log.logger.info("view_changed")
    log.logger.info("view_changed")
    assert log.lines[-2:] == [
        "at=110.000 level=info event=view_changed suppressed=3",
        "at=110.000 level=info event=view_changed",
    ]


def test_limit_of_one_event_does_not_suppress_another(log: LogFixture) -> None:
    for _ in range(MAX_LINES_PER_WINDOW + 1):
        log.logger.info("view_changed")
    log.logger.info("proxy_serving")
    assert log.lines[-1] == "at=100.000 level=info event=proxy_serving"


def test_page_names_the_limit() -> None:
    assert (MAX_LINES_PER_WINDOW, WINDOW_S) == (20, 10.0)
    assert "At most 20 lines of one event are written in ten seconds" in PAGE.read_text()
    assert "`suppressed`" in PAGE.read_text()
