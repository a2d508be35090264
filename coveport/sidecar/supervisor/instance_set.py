"""All instances of a host together: who is started when, and who is replaced for giving no sign. Pure.

What is bounded over whoever supervises: a holder of the duty begins with nothing to spend, and counts what it
finds starting as its own (docs/design/fleet.md, Safety 4 and 5).
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.desired_state import DesiredState, InstanceHealth, RestartPhase
from coveport.sidecar.supervisor.instance_state import ACTIVE_STATES, Command, ExitReason, Instance, State

QUIET = 0.5  # of the time after which one counts as hung: signs come four times in it
MANY_SILENT = 0.5  # share of those that serve that are quiet, above which it is us or the host, not they
PATIENCE = 3.0  # times as long is waited then
REPLACED = 0.1  # share that may be on their way out for silence at a time; one at the least


class InstanceSet:
    """The instances. Nothing is ordered before a plan was seen by whoever holds the duty now."""

    def __init__(self, fleet: Fleet, chance: random.Random) -> None:
        self.fleet = fleet
        self._chance = chance
        self.by_name: dict[str, Instance] = {}
        self.plan: DesiredState | None = None
        self._tokens = 0.0
        self._spent_at = 0.0
        self._served: dict[str, tuple[float, int]] = {}  # by name, as its life last told

    # Holding.

    def acquire(self, now: float, found: Mapping[str, str]) -> None:
        """The duty is ours: these lives are there."""
        self.by_name = {}
        self.plan = None
        self._served = {}
        self._tokens = 0.0
        self._spent_at = now
        for name, life in found.items():
            member = self._member(name)
            member.wanted = True  # until the plan says otherwise
            member.found(now, life)

    def release(self) -> None:
        """The duty is not ours any more: nothing is ordered."""
        self.by_name = {}
        self.plan = None

    def _member(self, name: str) -> Instance:
        if name not in self.by_name:
            self.by_name[name] = Instance(name, self.fleet, self._chance)
        return self.by_name[name]

    def retune(self, now: float, fleet: Fleet) -> None:
        """The file was read anew: what could not be used may be usable."""
        self.fleet = fleet
        for member in self.by_name.values():
            member.retune(fleet)
            member.retry(now)

    # What is to be.

    def planned(self, now: float, plan: DesiredState) -> list[Command]:
        """A plan as it stands in the store."""
        if (
            self.plan is not None
            and self.plan.restart is not None
            and plan.restart is not None
            and (
                self.plan.restart.phase is RestartPhase.HALTED and plan.restart.phase is RestartPhase.RUNNING
            )
        ):
            for member in self.by_name.values():
                member.retry(now)  # staff say that what went wrong is mended
        self.plan = plan
        wanted = plan.wanted(self.fleet)
        orders: list[Command] = []
        for name in sorted(wanted | self.by_name.keys(), key=self.fleet.number):
            orders += self._member(name).want(now, name in wanted)
        restart = plan.restart
        if restart is not None and restart.phase is RestartPhase.RUNNING:
            for name, life in restart.lives.items():
                if name in self.by_name:
                    orders += self.by_name[name].replace(now, life)
        for name in [
            name for name, one in self.by_name.items() if name not in wanted and one.state is State.DOWN
        ]:
            del self.by_name[name]
        return orders

    # What happens, by name; of lives that are not the present ones nothing is taken.

    def found(self, now: float, name: str, life: str) -> list[Command]:
        """A process of that name is there."""
        return self._member(name).found(now, life)

    def started(self, now: float, name: str, life: str) -> list[Command]:
        """The process that was asked for is there."""
        return self.by_name[name].started(now, life) if name in self.by_name else []

    def on_start_failed(self, now: float, name: str, why: str) -> None:
        """It could not be started."""
        if name in self.by_name:
            self.by_name[name].on_start_failed(now, why)

    def dropped(self, orders: list[Command]) -> None:
        """These were not carried out."""
        for order in orders:
            if order.name in self.by_name:
                self.by_name[order.name].dropped(order)

    def unusable(self, now: float, name: str, why: str) -> None:
        """It was not started, as its files can't be used."""
        if name in self.by_name:
            self.by_name[name].unusable(now, why)

    def ready(self, now: float, name: str, life: str) -> None:
        """It says that it serves."""
        if name in self.by_name:
            self.by_name[name].ready(now, life)

    def beat(self, now: float, name: str, life: str, served: tuple[float, int] | None = None) -> None:
        """Its loop gives a sign, and tells how it serves."""
        if name in self.by_name:
            self.by_name[name].beat(now, life)
            if served is not None and life == self.by_name[name].life:
                self._served[name] = served

    def stopping(self, now: float, name: str, life: str) -> None:
        """It says that it ends."""
        if name in self.by_name:
            self.by_name[name].stopping(now, life)

    def ended(self, now: float, name: str, life: str, how: ExitReason) -> None:
        """A life is over."""
        if name in self.by_name and life == self.by_name[name].life:
            self._served.pop(name, None)
            self.by_name[name].ended(now, life, how)

    def stalled(self, now: float) -> None:
        """We ran late: what was said meanwhile may not have been heard, and time for it did not pass."""
        for member in self.by_name.values():
            member.reset_timeouts(now)
        self._spent_at = now

    # What is due.

    def tick(self, now: float) -> list[Command]:
        """Time has passed."""
        if self.plan is None:
            return []
        orders: list[Command] = []
        for member in self.by_name.values():
            orders += member.tick(now)
        return orders + self._replace_hung(now) + self._start(now)

    def _start(self, now: float) -> list[Command]:
        self._tokens = min(
            float(self.fleet.at_once), self._tokens + max(0.0, now - self._spent_at) * self.fleet.a_second
        )
        self._spent_at = now
        starting = sum(one.state is State.STARTING for one in self.by_name.values())
        orders: list[Command] = []
        for member in sorted(
            (one for one in self.by_name.values() if one.can_start(now)),
            key=lambda one: (one.wait_until, self.fleet.number(one.name)),
        ):
            if self._tokens < 1.0 or starting >= self.fleet.at_once:
                break
            self._tokens -= 1.0
            starting += 1
            orders += member.start(now)
        return orders

    def _replace_hung(self, now: float) -> list[Command]:
        serving = [one for one in self.by_name.values() if one.state is State.SERVING]
        silent = [one for one in serving if one.heartbeat_age_s(now) > self.fleet.hung_s]
        if not silent:
            return []
        quiet = sum(one.heartbeat_age_s(now) > QUIET * self.fleet.hung_s for one in serving)
        if quiet > max(1.0, MANY_SILENT * len(serving)):
            # Guards against ending healthy ones: that many at once is a host without CPU, or our own ear. The
            # quiet ones count, as their last signs do not come in step: one would be the first to be late.
            silent = [one for one in silent if one.heartbeat_age_s(now) > PATIENCE * self.fleet.hung_s]
        out = sum(
            bool(one.replacing) or (one.state is not State.SERVING and one.state in ACTIVE_STATES)
            for one in self.by_name.values()
        )
        most = max(1, int(REPLACED * len(self.by_name))) - out
        silent.sort(key=lambda one: one.heard_at)
        return [order for one in silent[: max(0, most)] for order in one.hung(now)]

    # What is asked.

    def health(self, now: float) -> dict[str, InstanceHealth]:
        """How each that is to be there fares."""
        found = {}
        for name, one in self.by_name.items():
            served, ended = self._served.get(name, (1.0, 0))
            trouble = (
                one.why
                if one.state in (State.BROKEN, State.KILLING)
                or (one.state is State.WAITING and one.wait_until > now and one.failing)
                else ""
            )
            found[name] = InstanceHealth(
                one.life, now - one.since if one.state is State.SERVING else -1.0, trouble, served, ended
            )
        return found

    @property
    def settled(self) -> bool:
        """Whether nothing is under way."""
        return all(one.state in (State.SERVING, State.DOWN, State.BROKEN) for one in self.by_name.values())

    @property
    def empty(self) -> bool:
        """Whether no process is there."""
        return all(one.state not in ACTIVE_STATES for one in self.by_name.values())
