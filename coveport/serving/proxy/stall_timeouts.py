"""Reads from a node with a time limit, after which the node may be abandoned."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

from coveport.serving.proxy.errors import BrokenResponseError

Read = TypeVar("Read")


@dataclass(slots=True)
class StallTimeouts:
    """How many seconds a node may send nothing before `may_abandon` is asked."""

    head_s: float  # before the head of the response
    event_s: float  # between events of a stream
    may_abandon: Callable[[], bool]  # whether another node may, and can, take the request


async def read_or_abandon(
    read: Callable[[], Awaitable[Read]], stall: StallTimeouts, timeout_s: float
) -> Read:
    """Return what is read; each time nothing came for `timeout_s`, ask whether to abandon the node.

    Raises:
        BrokenResponseError: the node is abandoned, or the response broke off.

    """
    while True:
        try:
            async with asyncio.timeout(timeout_s):
                return await read()
        except TimeoutError:
            if stall.may_abandon():
                raise BrokenResponseError("read", f"bytes within {timeout_s} s", "none") from None
