"""Reads from a node with a time-out, after which the node may be abandoned."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from coveport.serving.proxy.errors import BrokenResponseError

ReadResult = TypeVar("ReadResult")


@dataclass(slots=True)
class StallTimeouts:
    """Times in seconds without bytes from a node after which `may_abandon` is called."""

    head_s: float  # before the head of the response
    event_s: float  # between events of a stream
    may_abandon: Callable[[], bool]  # returns whether to abandon the node for another


async def read_or_abandon(
    read: Callable[[], Awaitable[ReadResult]], timeouts: StallTimeouts, timeout_s: float
) -> ReadResult:
    """Return the result of `read`; after every `timeout_s` without one, abandon the node if allowed.

    Raises:
        BrokenResponseError: the node is abandoned, or the response broke off.

    """
    while True:
        try:
            async with asyncio.timeout(timeout_s):
                return await read()
        except TimeoutError:
            if timeouts.may_abandon():
                raise BrokenResponseError("read", f"bytes within {timeout_s} s", "none") from None
