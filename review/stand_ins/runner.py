"""Runs a case: one record, one deployment, and an exit code."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

from stand_ins.deployment import Deployment, Record

LONGEST_S = 105.0
COULD_NOT_RUN = 2

Play = Callable[[Deployment, Record], Awaitable[int]]


def run_case(play: Play, record_path: Path) -> int:
    """Play a case and return its exit code; every process that it started has ended by then."""
    return asyncio.run(_run(play, record_path))


async def _run(play: Play, record_path: Path) -> int:
    record = Record(record_path)
    deployment = Deployment()
    task = asyncio.ensure_future(play(deployment, record))
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(LONGEST_S):
            return await task
    except TimeoutError:
        record.write("the case took too long")
        return COULD_NOT_RUN
    except asyncio.CancelledError:
        record.write("the case was stopped")
        return COULD_NOT_RUN
    finally:
        await deployment.stop()
