"""What the orchestrator and its workers say to each other: MessagePack frames on a socket pair."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from msgspec import Struct

from coveport.net.address import Address


class Frame(Struct, tag=True, frozen=True):
    """A message."""


# To a worker.


class Job(Frame, frozen=True):
    """Who the worker is; the first frame."""

    role: str  # "world": nodes and discovery; "tills": those of `sidecars`
    day: str  # file that holds the day as MessagePack
    parts: str  # module that makes the stand-ins
    sidecars: tuple[int, ...]
    addresses: tuple[Address, ...]  # where each sidecar listens, by its number
    t0: float  # see DayClock
    unix_s: float


class Begin(Frame, frozen=True):
    """The day begins at that monotonic second."""

    t0: float


class Know(Frame, frozen=True):
    """A sidecar is about to be started: what does it know? Answered by `Known`."""

    sidecar: int


class Finish(Frame, frozen=True):
    """The day is over: close, answer with `Booked`, end."""


# From a worker.


class Ready(Frame, frozen=True):
    """All listens."""


class Known(Frame, frozen=True):
    """What a sidecar is started with."""

    sidecar: int
    discovery: Address
    known: dict[str, Any]


class Moved(Frame, frozen=True):
    """Discovery listens elsewhere for that sidecar from now on."""

    sidecar: int
    discovery: Address


class Done(Frame, frozen=True):
    """These tills want nothing more."""


class Booked(Frame, frozen=True):
    """The worker's rows, and how late it was in the measured part of the day."""

    rows: bytes
    p99_ms: float
    worst_ms: float


class Failed(Frame, frozen=True):
    """The lab itself has gone wrong."""

    text: str


AnyFrame = Job | Begin | Know | Finish | Ready | Known | Moved | Done | Booked | Failed


def packed(frame: Frame) -> bytes:
    """A frame with its length (4 bytes, big-endian) in front."""
    body = msgspec.msgpack.encode(frame)
    return len(body).to_bytes(4, "big") + body


async def receive(reader: asyncio.StreamReader) -> AnyFrame:
    """The next frame; EOFError where the other side has ended."""
    try:
        size = int.from_bytes(await reader.readexactly(4), "big")
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError) as problem:
        raise EOFError("the other side has ended") from problem
    return msgspec.msgpack.decode(body, type=AnyFrame)
