"""What an instance of a simulated trial does beside holding: it follows roll-outs and uses grants.

The pure halves are the shipped ones; what the daemon does around them with sockets is left out, and what a
grant allows is used at the worst moment: all at once, at a time drawn from as long as the grant may be
used.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable

from coveport.sidecar.leases.lease_client import History, LeaseClient
from coveport.sidecar.leases.store import Entry
from coveport.sidecar.singletons.rollout import Follower
from coveport.sidecar.singletons.slow_start_coordinator import GRANT, NEED, Granted, Safe

SAFE = Safe()
SERVICE_S, RATE = 0.02, 400.0  # of an operation; first tries a second, more than there are grants for
NODE, BORN_S = "n", 4.0  # the fresh node, and when in the trial it starts
WISH_S = 0.25
BAD = "bad"  # settings with this word in them can't be taken


class Part:
    """One instance's part in others' duties."""

    def __init__(
        self,
        lease_client: LeaseClient,
        name: str,
        incarnation: str,
        duties: tuple[str, ...],
        now_s: Callable[[], float],
        world_s: Callable[[], float],
        history: History,
        chance: random.Random,
    ) -> None:
        self._lease_client = lease_client
        self._name = name
        self._incarnation = incarnation
        self._duties = duties
        self._now_s = now_s
        self._world_s = world_s
        self._history = history
        self._chance = chance
        self._follower = Follower(name)
        self._granted = Granted(incarnation)
        self._tasks: list[asyncio.Task[None]] = []
        lease_client.on_change = self._changed

    def start(self) -> None:
        """Begin; there is a running loop."""
        self._lease_client.publish_status(self._follower.fares(self._incarnation, 1.0, 100))
        self._lease_client.start()
        if "warden@0" in self._duties:
            self._tasks.append(asyncio.ensure_future(self._wish()))

    def _changed(self, key: str, entry: Entry | None) -> None:
        if key.startswith(("want/", "settings/")):
            self._follow()
        elif key == f"{GRANT}0/{self._name}":
            taken = self._granted.take(self._now_s(), "0", entry)
            if taken is not None and taken[1].get(NODE):
                self._tasks.append(asyncio.ensure_future(self._use(taken[0], taken[1][NODE])))

    def _follow(self) -> None:
        wanted = self._follower.wanted(self._lease_client.entries)
        if wanted is None:
            return
        if wanted[1] is not None and BAD in wanted[1]:
            self._follower.could_not(wanted[0], "it is bad")
        else:
            self._follower.took(wanted[0])
            self._history("runs", settings=wanted[0])
        self._lease_client.publish_status(self._follower.fares(self._incarnation, 1.0, 100))

    async def _wish(self) -> None:
        while True:
            await asyncio.sleep(WISH_S)
            age = self._world_s() - BORN_S
            if 0 <= age < SAFE.warm_after_s and self._lease_client.lease_state.in_session:
                wish = self._granted.wish(self._now_s(), RATE, SERVICE_S, {NODE: (0, age)})
                if wish is not None:
                    self._lease_client.publish(NEED + self._name, wish)

    async def _use(self, until: float, count: int) -> None:
        await asyncio.sleep(max(0.0, until - self._now_s()) * self._chance.random())
        if self._now_s() < until:
            self._history("used", node=NODE, count=count)


def rollout_word(number: int, bad: bool) -> bytes:
    """What staff ask for: other settings each time."""
    settings = json.dumps({"number": number, "is": BAD if bad else "good"})
    return json.dumps({"do": "start", "settings": settings, "by": "staff"}).encode()
