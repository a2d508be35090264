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

from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.store import Entry
from coveport.sidecar.leases.store_calls import History
from coveport.sidecar.singletons.rollout_follower import RolloutFollower
from coveport.sidecar.singletons.slow_start_client import CapacityClient
from coveport.sidecar.singletons.slow_start_messages import GRANT_PREFIX, REQUEST_PREFIX, SafeLoad

SAFE = SafeLoad()
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
        rng: random.Random,
    ) -> None:
        self._lease_client = lease_client
        self._name = name
        self._incarnation = incarnation
        self._duties = duties
        self._now_s = now_s
        self._world_s = world_s
        self._history = history
        self._rng = rng
        self._follower = RolloutFollower(name)
        self._capacity = CapacityClient(incarnation)
        self._tasks: list[asyncio.Task[None]] = []
        lease_client.on_change = self._changed

    def start(self) -> None:
        """Begin; there is a running loop."""
        self._lease_client.publish_status(self._follower.status(self._incarnation, 1.0, 100))
        self._lease_client.start()
        if "warden@0" in self._duties:
            self._tasks.append(asyncio.ensure_future(self._wish()))

    def _changed(self, key: str, entry: Entry | None) -> None:
        if key.startswith(("want/", "settings/")):
            self._follow()
        elif key == f"{GRANT_PREFIX}0/{self._name}":
            grant = self._capacity.accept(self._now_s(), "0", entry)
            if grant is not None and grant.operations.get(NODE):
                use = self._use(grant.expires_at, grant.operations[NODE])
                self._tasks.append(asyncio.ensure_future(use))

    def _follow(self) -> None:
        settings = self._follower.next_settings(self._lease_client.entries)
        if settings is None:
            return
        if settings.text is not None and BAD in settings.text:
            self._follower.record_rejected(settings.id, "it is bad")
        else:
            self._follower.record_applied(settings.id)
            self._history("runs", settings=settings.id)
        self._lease_client.publish_status(self._follower.status(self._incarnation, 1.0, 100))

    async def _wish(self) -> None:
        while True:
            await asyncio.sleep(WISH_S)
            age = self._world_s() - BORN_S
            if 0 <= age < SAFE.warm_after_s and self._lease_client.lease_state.in_session:
                request = self._capacity.request(self._now_s(), RATE, SERVICE_S, {NODE: (0, age)})
                if request is not None:
                    self._lease_client.publish(REQUEST_PREFIX + self._name, request)

    async def _use(self, until: float, count: int) -> None:
        await asyncio.sleep(max(0.0, until - self._now_s()) * self._rng.random())
        if self._now_s() < until:
            self._history("used", node=NODE, count=count)


def rollout_word(number: int, bad: bool) -> bytes:
    """What staff ask for: other settings each time."""
    settings = json.dumps({"number": number, "is": BAD if bad else "good"})
    return json.dumps({"do": "start", "settings": settings, "by": "staff"}).encode()
