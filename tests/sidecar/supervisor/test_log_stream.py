"""The log stream to which several processes write."""

from __future__ import annotations

import time
from pathlib import Path

from coveport.sidecar.supervisor import log_stream
from coveport.sidecar.supervisor.log_stream import read_stream


def test_log_stream_when_rotated_is_continued_by_all_writers(tmp_path: Path) -> None:
    instance, supervisor = (
        log_stream.stream_logger(tmp_path, instance="h-1"),
        log_stream.stream_logger(tmp_path, supervisor="s"),
    )
    instance.info("said", text="a" * 100)
    supervisor.info("instance_started", name="h-1")
    assert not log_stream.rotate(tmp_path, 10_000) and log_stream.rotate(tmp_path, 100)
    instance.info("said", text="later")
    path = log_stream.stream_path(tmp_path)
    assert [row["text"] for row in read_stream(path, frozenset({"h-1"}), 5)] == ["later"]
    assert len(read_stream(path.with_suffix(".jsonl.1"), frozenset(), 5)) == 2
    log = log_stream.StreamLog(time.monotonic, instance)
    for _ in range(9):
        log.note("bad client", "x")
    log.write("counters {}")
    rows = read_stream(path, frozenset(), 99)
    assert sum(row["event"] == "bad_client" for row in rows) == 5, "the limit of lines per kind still applies"
    assert rows[-1]["event"] == "counters"
