"""A tiny day, fakes for stand-ins (this module is a `parts` module) and a sidecar that does nothing."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path
from typing import Any

from coveport.testbed.conductor import OF_DISCOVERY, conduct
from coveport.testbed.day import Change, Day, SidecarDrawn, Span, Wish
from coveport.testbed.loopback.parts import Place
from coveport.testbed.scenario import Scenario
from coveport.testbed.schema import Class, Limits

FOLDER = "LAB_TEST_FOLDER"  # variable: where each process leaves a file named by its pid
TROUBLE = "LAB_TEST_TROUBLE"  # variable: what goes wrong

SIDECAR = (
    sys.executable,
    "-S",
    "-c",
    """
import json, os, signal, socket, sys, time
def told():
    return json.load(open(os.environ["LB_CONFIG"]))
open(os.path.join(os.environ["LAB_TEST_FOLDER"], str(os.getpid())), "w").close()
trouble = os.environ.get("LAB_TEST_TROUBLE")
print("started", told()["name"], "known", told()["known"]["seq"], flush=True)
if trouble == "dies at its start":
    if left := os.fork():
        open(os.path.join(os.environ["LAB_TEST_FOLDER"], str(left)), "w").close()
        sys.exit("nothing goes")
    time.sleep(60)
if trouble == "starts slowly":
    time.sleep(1.5)
signal.signal(signal.SIGTERM, signal.SIG_IGN if trouble == "hangs" else lambda *_: sys.exit(0))
signal.signal(signal.SIGHUP, lambda *_: print("moved to", told()["discovery"], flush=True))
ip, _, port = told()["listen"].rpartition(":")
server = socket.create_server((ip, int(port)))
server.settimeout(0.01)
before = time.monotonic()
while True:
    try:
        one = server.accept()[0]
    except TimeoutError:
        one = None
    now = time.monotonic()
    if now > before + 0.08:
        print("stood still", flush=True)
    before = now
    if one is None:
        continue
    one.recv(1000)
    before = time.monotonic()
    one.sendall(b"HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\n")
    one.close()
""",
)


def tiny_day(*changes: Change, sidecars: int = 2, length_s: float = 0.3, wishes: int = 0) -> Day:
    """A day without nodes."""
    scenario = Scenario(
        title="tiny",
        length_s=length_s,
        settle_s=0,
        tail_s=0.5,
        limits=Limits(descriptors=99),
        classes=(Class(name="balance", share=1, work_ms=1, repeats="safe", aim_ms=50, deadline_ms=100),),
    )
    return Day(
        scenario=scenario,
        seed=1,
        nodes=(),
        changes=changes,
        capacity=1,
        sidecars=tuple(SidecarDrawn(number, f"s{number}", 0, 7) for number in range(sidecars)),
        wishes=tuple(
            Wish(number * 1.0, number % 3, 0, f"{number:016x}", "", 1, 0, 0, 1, 1) for number in range(wishes)
        ),
        spans=(Span(0, "kill", 100, 200, "sidecar 0"),),
        same_ms=0.2,
        cross_ms=((0.2,),),
        client_ms=0.05,
        jitter=0,
        notice_ms=1,
        add_ms=1,
    )


def _here() -> None:
    Path(os.environ[FOLDER], str(os.getpid())).touch()


class FakeWorld:
    def __init__(self, place: Place) -> None:
        _here()
        self.place = place
        self.port = 9

    async def start(self) -> None:
        pass

    async def begin(self) -> None:
        place = self.place
        conduct(place.day.changes, place.net, place.clock.day_ms, [(OF_DISCOVERY, self.move)])
        if os.environ.get(TROUBLE) == "the world dies":
            place.net.loop.call_later(0.1, os._exit, 5)

    def move(self, change: Change) -> None:
        self.port += 1
        self.place.moved(0, self.discovery(0))

    def discovery(self, sidecar: int) -> tuple[str, int]:
        return "127.0.0.1", self.port

    def known(self, sidecar: int) -> dict[str, Any]:
        return {"seq": 41, "whole": True, "hosts": []}

    def close(self) -> None:
        pass


class FakeClients:
    done = True

    def __init__(self, place: Place) -> None:
        _here()
        self.loop: asyncio.AbstractEventLoop = place.net.loop

    def begin(self) -> None:
        match os.environ.get(TROUBLE):
            case "no CPU":
                self.loop.call_later(0.2, time.sleep, 0.3)
            case "a fault in a stand-in":
                self.loop.call_later(0.1, lambda: dict[str, int]()["what is not there"])

    def close(self) -> None:
        pass


world, clients = FakeWorld, FakeClients
