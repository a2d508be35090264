"""A connection shows the same on simulated ground as by asyncio on the system's sockets (Linux').

Each script is run in both places. What is left out differs for a reason: on loopback what is sent has arrived
at once, and a reset destroys what still stands in the sender's system, of which simulated ground has none.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from simulated import run

from coveport.net.transport import Net

HOST = "127.0.0.1"
BIG = bytes(20_000_000)  # more than any window takes


class End(asyncio.BufferedProtocol):
    """One end; notes what it sees."""

    def __init__(self, net: Net, keep: bool) -> None:
        self.net = net
        self.keep = keep
        self.seen = list[str]()
        self.buffer = bytearray(100_000)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=0)
        self.on = transport

    def note(self, what: str) -> None:
        if not (what == "data" and "data" in self.seen):
            self.seen.append(what)

    def get_buffer(self, sizehint: int) -> bytearray:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        self.note("data")

    def eof_received(self) -> bool:
        self.note("end")
        return self.keep

    def pause_writing(self) -> None:
        self.note("pause")

    def resume_writing(self) -> None:
        self.note("resume")

    def connection_lost(self, exc: Exception | None) -> None:
        self.note(f"lost {type(exc).__name__}")


def pause(end: End) -> None:
    end.on.pause_reading()


def resume(end: End) -> None:
    end.on.resume_reading()


def write(end: End) -> None:
    try:
        end.on.write(b"x")
    except RuntimeError:
        end.note("raised")


def flood(end: End) -> None:
    end.on.write(BIG)


def end(end: End) -> None:
    end.on.write_eof()


def close(end: End) -> None:
    end.on.close()


def abort(end: End) -> None:
    end.on.abort()


def shut(end: End) -> None:
    end.net.shut_down(end.on)


def reset(end: End) -> None:
    end.net.reset(end.on)


def look(end: End) -> None:
    end.note(f"quiet {end.net.is_quiet(end.on)}")


Do = Callable[[End], None]
Script = list[tuple[int, tuple[Do, ...]]]  # which end does what in one turn; then all that follows is awaited
A, B = 0, 1
SCRIPTS: dict[str, Script] = {
    "written and closed": [(A, (write, close))],
    "written and aborted": [(A, (write, abort))],
    "flooded and closed": [(A, (flood, close))],
    "closed with something unread": [(A, (pause,)), (B, (write,)), (A, (close,))],
    "aborted with something unread": [(A, (pause,)), (B, (write,)), (A, (abort,))],
    "shut down and aborted": [(A, (shut, abort))],
    "shut down and aborted with something unread": [(A, (pause,)), (B, (write,)), (A, (shut, abort))],
    "shut down": [(A, (shut,)), (A, (look,))],
    "shut down and written to": [(A, (shut,)), (B, (write,)), (B, (write,))],
    "shut down and written": [(A, (shut,)), (A, (write,))],
    "reset": [(A, (write, reset))],
    "reset unread": [(B, (pause,)), (A, (write,)), (A, (reset,)), (B, (look,)), (B, (resume,))],
    "reset, and only a write shows it": [(B, (pause,)), (A, (reset,)), (B, (write,))],
    "reset while it floods": [(B, (pause,)), (A, (flood,)), (B, (abort,))],
    "reset while it floods and does not read": [(B, (pause,)), (A, (pause, flood)), (B, (abort,))],
    "reset while it floods and closes": [(B, (pause,)), (A, (flood, close)), (B, (abort,))],
    "closed while it is flooded": [(B, (pause,)), (A, (flood,)), (B, (close,))],
    "ended": [(A, (end,)), (B, (look,)), (B, (write,)), (B, (close,))],
    "ended unread": [(B, (pause,)), (A, (write, end)), (B, (look,)), (B, (resume,))],
    "ended and aborted with something unread": [
        (A, (pause, end)),
        (B, (write,)),
        (A, (abort,)),
        (B, (write,)),
    ],
    "written after its end": [(A, (end,)), (A, (write,))],
    "written after its close": [(A, (close, write)), (A, (write,))],
    "ended after its close": [(A, (close, end))],
    "written to after a close": [(A, (close,)), (B, (write,)), (B, (write,))],
}


Seen = list[list[str]]
Settle = Callable[[int, Seen], Coroutine[Any, Any, None]]


async def play(net: Net, script: Script, keep: bool, settle: Settle) -> Seen:
    """Run a script; `settle` waits after each step, and is given what both ends have seen."""
    ends = [End(net, keep), End(net, keep)]
    seen = [one.seen for one in ends]
    listening = await net.listen(lambda: ends[B], (HOST, 0), accepts_per_turn=4, backlog=9)
    await net.dial(lambda: ends[A], (HOST, listening.port))
    await settle(0, seen)
    for number, (who, deeds) in enumerate(script):
        for deed in deeds:
            deed(ends[who])
        await settle(number + 1, seen)
    listening.close()
    for one in ends:
        if not any(what.startswith("lost") for what in one.seen):
            one.on.abort()
    return seen


async def on_simulated_ground(net: Net, script: Script, keep: bool) -> list[Seen]:
    """What both have seen after each step."""
    shown: list[Seen] = []

    async def settle(_: int, seen: Seen) -> None:
        await asyncio.sleep(1.0)
        shown.append([list(one) for one in seen])

    await play(net, script, keep, settle)
    return shown


async def on_sockets(script: Script, keep: bool, shown: list[Seen]) -> list[Seen]:
    """The same; each step may take its time to show what it shows on simulated ground."""
    found: list[Seen] = []

    async def settle(number: int, seen: Seen) -> None:
        for _ in range(1000):
            await asyncio.sleep(0.002)
            if seen == shown[number]:
                break
        await asyncio.sleep(0.02)
        found.append([list(one) for one in seen])

    await play(Net(asyncio.get_running_loop()), script, keep, settle)
    return found


@pytest.mark.parametrize("keep", [False, True], ids=["ends", "keeps"])
def test_a_connection_shows_the_same(keep: bool) -> None:
    shown = {
        name: run(lambda net, script=script: on_simulated_ground(net, script, keep))  # type: ignore[misc]
        for name, script in SCRIPTS.items()
    }

    async def all_of_them() -> dict[str, list[Seen]]:
        found = await asyncio.gather(
            *(on_sockets(script, keep, shown[name]) for name, script in SCRIPTS.items())
        )
        return dict(zip(SCRIPTS, found, strict=True))

    assert asyncio.run(all_of_them()) == shown
