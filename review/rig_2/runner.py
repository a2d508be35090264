"""Runs a case: writes its record, ends what it started, and returns its exit code."""

from __future__ import annotations

import asyncio
import os
import sys
import time
import traceback
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

from rig_2.deployment import Deployment
from rig_2.node import Node

LIMIT_S = 115.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """The file `record.txt`: what was sent, answered and run."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def write(self, line: str) -> None:
        """Write a line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._start_s:8.3f}  {line}\n")
        self._file.flush()


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


@asynccontextmanager
async def running(deployment: Deployment, nodes: list[Node]) -> AsyncIterator[None]:
    """Start a deployment and its nodes, and end all of them at the end."""
    try:
        deployment.start()
        for node in nodes:
            await node.start()
        yield
    finally:
        for node in nodes:
            node.end()
        deployment.stop()


def run_case(file: str, case: Callable[[Record], Awaitable[list[str]]]) -> None:
    """Run a case, which returns the breaks of the rule, and exit."""
    record = Record(Path(file).with_name("record.txt"))
    record.write(f"trouble: {'yes' if has_trouble() else 'no'}")

    async def limited() -> list[str]:
        async with asyncio.timeout(LIMIT_S):
            return await case(record)

    try:
        breaks = asyncio.run(limited())
    except Exception:  # noqa: BLE001  # whatever it is, the rule was not seen to be broken
        record.write(traceback.format_exc())
        traceback.print_exc()
        sys.exit(COULD_NOT_RUN)
    for line in breaks:
        record.write(f"BROKEN: {line}")
    record.write("the rule was broken" if breaks else "the rule held")
    print(f"{len(breaks)} breaks" + (f"; the first: {breaks[0]}" if breaks else ""))
    sys.exit(BROKEN if breaks else HELD)
