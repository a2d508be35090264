"""What a scale run and its worker processes say to each other: one JSON object a line, on their pipes."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from typing import Any

LINE_MOST = 1024 * 1024  # bytes
Line = dict[str, Any]


def write_line(line: Line) -> None:
    """Say something to the run."""
    sys.stdout.write(json.dumps(line, separators=(",", ":")) + "\n")
    sys.stdout.flush()


async def read_lines(take: Callable[[Line], None]) -> None:
    """Take what the run says, until it closes the pipe: then it is over."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_MOST)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while data := await reader.readline():
        take(json.loads(data))
