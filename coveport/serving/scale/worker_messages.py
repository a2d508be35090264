"""Messages between a scale run and its worker processes: one JSON object per line on their pipes."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from typing import Any

MAX_MESSAGE_BYTES = 1024 * 1024
Message = dict[str, Any]


def write_message(message: Message) -> None:
    """Send a message to the scale run."""
    sys.stdout.write(json.dumps(message, separators=(",", ":")) + "\n")
    sys.stdout.flush()


async def read_messages(handle: Callable[[Message], None]) -> None:
    """Handle messages of the scale run until it closes the pipe."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_MESSAGE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while data := await reader.readline():
        handle(json.loads(data))
