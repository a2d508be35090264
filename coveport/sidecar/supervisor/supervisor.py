"""Keeps the instances of a host: carries out what `crew` orders, for as long as the duty is ours.

Where another supervisor holds the duty this one stands by; where it takes over, what runs is found by its
locks and goes on as it is.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.singletons.singleton import Step
from coveport.sidecar.singletons.singleton_runner import SingletonRunner
from coveport.sidecar.supervisor.desired_state import DesiredState, DesiredStateRole, StaffRequest
from coveport.sidecar.supervisor.instance_set import InstanceSet
from coveport.sidecar.supervisor.instance_state import Command, Drain, ExitReason, Kill, Start, State
from coveport.sidecar.supervisor.process_control import ProcessControl

TICK_S = 0.05
LATE_S = 0.5  # a turn that comes so much too late: we heard nothing meanwhile
SCAN_S = 1.0  # how often the locks are looked at for lives that nobody told us of
ASK_S = 10.0  # how long a verb waits until what it asks stands
LEAVE_S = 3.0


class Supervisor:
    """One supervisor of a host. `check`: what is wrong with the files, before they are used; empty: nothing.

    `say`: an event and its fields, for the log.
    """

    def __init__(
        self,
        told: OperatorFile,
        lease_client: LeaseClient,
        processes: ProcessControl,
        *,
        now_s: Callable[[], float],
        chance: random.Random,
        say: Callable[..., None],
        check: Callable[[], str],
        most: int = 1000,
    ) -> None:
        self.told = told
        self.lease_client = lease_client
        self.processes = processes
        self._now_s = now_s
        self._say = say
        self._check = check
        self.instances = InstanceSet(told.fleet, chance)
        self.duty = DesiredStateRole(
            told.fleet, lambda: self.instances.health(self._now_s()), self._planned, most
        )
        self._runner = SingletonRunner(lease_client, self.duty, now_s, self._did)
        lease_client.on_acquired = self._began
        lease_client.on_lost = self._over
        processes.ended = self._life_over
        self.holding = False
        self.on_holding: Callable[[bool], Awaitable[None]] | None = None
        self._token = 0
        self._turn_at = 0.0
        self._scan_at = 0.0
        self._states: dict[str, State] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False

    # Life.

    def start(self) -> None:
        """Begin; there must be a running loop."""
        self._turn_at = self._now_s()
        self.lease_client.start()
        self._tasks.append(asyncio.ensure_future(self._turn()))

    async def leave(self) -> None:
        """Hand the duty on; what runs runs on."""
        self._stopping = True
        await self.lease_client.close()
        for task in self._tasks:
            task.cancel()
        self.processes.release()

    @property
    def alone(self) -> bool:
        """Whether no other supervisor stands by."""
        return not any(name != self.lease_client.name for name in self.lease_client.instances)

    @property
    def acts(self) -> bool:
        """Whether orders may be carried out at this moment."""
        return self.holding and self.lease_client.usable_token(self.duty.name) == self._token

    async def stop_all(self, within_s: float) -> bool:
        """End all instances, as many at a time as want to; whether all have."""
        self._stopping = True
        end = self._now_s() + within_s
        orders: list[Command] = []
        now = self._now_s()
        for name in sorted(self.instances.by_name, key=self.told.fleet.number, reverse=True):
            orders += self.instances.by_name[name].want(now, False)
        self._carry_out(orders)
        while not self.instances.empty and self._now_s() < end:
            now = self._now_s()
            self._carry_out([order for one in self.instances.by_name.values() for order in one.tick(now)])
            self._tell()
            await asyncio.sleep(TICK_S)
        return self.instances.empty

    def retune(self, told: OperatorFile) -> None:
        """The file was read anew."""
        self.told = told
        self.duty.fleet = told.fleet
        self.instances.retune(self._now_s(), told.fleet)

    # The duty.

    def _began(self, duty: str, token: int) -> None:
        self.holding = True
        self._token = token
        now = self._now_s()
        found = self.processes.found()
        self.instances.acquire(now, found)
        self._states = {}
        self._say("fleet_taken_up", duty=duty, token=token, found=sorted(found))
        self._runner.start(token)
        if self.on_holding is not None:
            self._tasks.append(asyncio.ensure_future(self._tell_holding(True)))

    def _over(self, duty: str, token: int, why: str) -> None:
        self.holding = False
        self._runner.stop()
        self.duty.gone()
        if not self._stopping:
            self.instances.release()
            self.processes.release()
        self._say("fleet_let_go", duty=duty, token=token, why=why)
        if self.on_holding is not None:
            self._tasks.append(asyncio.ensure_future(self._tell_holding(False)))

    async def _tell_holding(self, holding: bool) -> None:
        if self.on_holding is not None and holding is self.holding:
            await self.on_holding(holding)

    def _planned(self, plan: DesiredState) -> None:
        if self.acts and not self._stopping:
            self._carry_out(self.instances.planned(self._now_s(), plan))

    def _did(self, step: Step, token: int, revision: int) -> None:
        self._say("fleet_step", token=token, revision=revision, what=step.description)
        self.duty.did(step)

    async def _turn(self) -> None:
        while True:
            now = self._now_s()
            if now - self._turn_at > TICK_S + LATE_S:
                self._say("fleet_stalled", lasted=round(now - self._turn_at, 2))
                self.instances.stalled(now)
                await asyncio.sleep(0)  # what was said meanwhile is heard first
            self._turn_at = now
            if self.acts and not self._stopping:
                if now - self._scan_at >= SCAN_S:
                    self._scan_at = now
                    for name, life in self.processes.found().items():
                        self._carry_out(self.instances.found(now, name, life))
                self._carry_out(self.instances.tick(now))
            self._tell()
            await asyncio.sleep(TICK_S)

    # Orders.

    def _carry_out(self, orders: list[Command]) -> None:
        for number, order in enumerate(orders):
            # Each by itself: an order that took long may have cost us the duty.
            if not self.acts:
                # Not kept for later: once we act again, the crew orders what is due then.
                self.instances.dropped(orders[number:])
                return
            if isinstance(order, Start):
                self._start(order.name)
            elif isinstance(order, Drain):
                self._say("fleet_drain", name=order.name, life=order.life)
                self.processes.drain(order.life)
            elif isinstance(order, Kill):
                self._say(
                    "fleet_kill",
                    name=order.name,
                    life=order.life,
                    why=self.instances.by_name[order.name].why,
                )
                self.processes.kill(order.life)

    def _start(self, name: str) -> None:
        now = self._now_s()
        fault = self._check()
        if fault:
            # Guards against a file that ends every life at its start: nothing is started to find that out.
            self.instances.unusable(now, name, fault)
            return
        try:
            life = self.processes.start(name)
        except OSError as problem:
            self.instances.on_start_failed(now, name, problem.strerror or str(problem))
            return
        self._say("fleet_start", name=name, life=life)
        self._carry_out(self.instances.started(now, name, life))

    def _life_over(self, name: str, life: str, how: ExitReason) -> None:
        self._say("fleet_ended", name=name, life=life, how=how.value)
        self.instances.ended(self._now_s(), name, life, how)

    # What instances say.

    def heard(self, pid: int, words: dict[str, str]) -> None:
        """A datagram of an instance."""
        name, life = self.processes.incarnation_of(pid)
        if not name:
            return
        now = self._now_s()
        if words.get("STOPPING") == "1":
            self.instances.stopping(now, name, life)
        if words.get("READY") == "1":
            self.instances.ready(now, name, life)
        if words.get("WATCHDOG") == "1" or "X_SERVED" in words:
            self.instances.beat(now, name, life, _served(words.get("X_SERVED", "")))

    def _tell(self) -> None:
        """Write down which instances have come to another state, and let go of addresses nobody serves at."""
        for name, one in self.instances.by_name.items():
            if self._states.get(name) is not one.state:
                self._states[name] = one.state
                self._say(
                    "fleet_broken" if one.state is State.BROKEN else "fleet_state",
                    name=name,
                    state=one.state.value,
                    life=one.life,
                    why=one.why,
                )
                if one.state in (State.DOWN, State.BROKEN):
                    self.processes.close_listener(name)
        for name in [name for name in self._states if name not in self.instances.by_name]:
            del self._states[name]
            self.processes.close_listener(name)

    # Staff.

    async def asked(self, told: dict[str, Any]) -> dict[str, Any]:
        """A line of staff's."""
        do = told.get("do")
        if do == "status":
            return {"ok": True, **self.status()}
        if not self.acts:
            return {"ok": False, "said": "refused: this supervisor does not hold the duty"}
        try:
            ask = StaffRequest(
                str(told["id"]),
                str(do),
                int(told.get("count", 0)),
                tuple(str(name) for name in told.get("names", ())),
                int(told.get("at_once", 1)),
            )
        except (KeyError, TypeError, ValueError):
            return {"ok": False, "said": "refused: not a request that there is"}
        fault = self._check() if ask.do in ("restart", "resume") else ""
        if fault:
            return {"ok": False, "said": f"refused: {fault}"}
        done: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.duty.ask(ask, lambda said: None if done.done() else done.set_result(said))
        try:
            said = await asyncio.wait_for(done, ASK_S)
        except TimeoutError:
            return {"ok": False, "said": "the store does not answer: it may be taken up yet"}
        return {"ok": not said.startswith("refused"), "said": said}

    def status(self) -> dict[str, Any]:
        """What staff are shown."""
        now, plan = self._now_s(), self.instances.plan
        health = self.instances.health(now)
        return {
            "fleet": self.told.fleet.name,
            "supervisor": self.lease_client.name,
            "holds": self.acts,
            "token": self._token if self.holding else 0,
            "count": plan.count if plan is not None else None,
            "restart": None
            if plan is None or plan.restart is None
            else {
                "phase": plan.restart.phase.value,
                "why": plan.restart.why,
                "taken": len(plan.restart.lives),
                "of": len(plan.restart.order),
            },
            "instances": [
                {
                    "name": name,
                    "state": one.state.value,
                    "address": self.told.fleet.address(name),
                    "pid": int(one.life.partition(".")[0] or 0),
                    "life": one.life,
                    "for_s": round(now - one.since, 1),
                    "why": one.why,
                    "wanted": one.wanted,
                    "ended": one.lives,
                    "served": round(health[name].served, 4),
                }
                for name, one in sorted(
                    self.instances.by_name.items(), key=lambda it: self.told.fleet.number(it[0])
                )
            ],
        }


def _served(text: str) -> tuple[float, int] | None:
    share, _, ended = text.partition("/")
    try:
        return float(share), int(ended)
    except ValueError:
        return None
