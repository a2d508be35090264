"""What the instances of a host are to be, as it stands in the store, and the duty that changes it. Pure.

    state/fleet@NAME    how many there are to be, who is drained, and a rolling restart with its steps

Every change is a step of the duty (`sidecar.singletons.singleton`): one transaction that compares the token
and the state's revision. A restart's step names the lives that are to end, and stands there before any is
told.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from enum import Enum

import msgspec

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.leases.store import Entry
from coveport.sidecar.singletons.singleton import Step

FLEET = "fleet@"
WORSE = 0.05  # share served, below that of those not restarted yet, at which a restart halts
ENOUGH = 20  # operations, below which a share says nothing


class RestartPhase(Enum):
    """Where a rolling restart is."""

    RUNNING = "running"
    HALTED = "halted"  # something went wrong; those not reached run on as they are
    ENDED = "ended"  # given up by staff
    DONE = "done"


TRANSITIONS: dict[RestartPhase, frozenset[RestartPhase]] = {
    RestartPhase.RUNNING: frozenset({RestartPhase.HALTED, RestartPhase.ENDED, RestartPhase.DONE}),
    RestartPhase.HALTED: frozenset({RestartPhase.RUNNING, RestartPhase.ENDED}),
    RestartPhase.ENDED: frozenset(),
    RestartPhase.DONE: frozenset(),
}


class RollingRestart(msgspec.Struct, frozen=True):
    """A rolling restart."""

    order: tuple[str, ...]  # instances by name
    at_once: int = 1
    lives: dict[str, str] = {}  # of each whose step was taken: the life that is to end
    phase: RestartPhase = RestartPhase.RUNNING
    why: str = ""

    def to(self, phase: RestartPhase, why: str = "") -> RollingRestart:
        """The same in another phase; AssertionError where there is no way."""
        if phase not in TRANSITIONS[self.phase]:
            raise AssertionError(f"no way from {self.phase} to {phase}")
        return msgspec.structs.replace(self, phase=phase, why=why)

    @property
    def left(self) -> tuple[str, ...]:
        """Those whose step was not taken yet."""
        return tuple(name for name in self.order if name not in self.lives)


class DesiredState(msgspec.Struct, frozen=True):
    """What is to be."""

    count: int  # instances 1 to so many
    told: int  # how many the file told when that was last looked at
    drained: tuple[str, ...] = ()
    restart: RollingRestart | None = None
    last: str = ""  # id of the last thing asked that was done

    def wanted(self, fleet: Fleet) -> frozenset[str]:
        """Names that are to be there."""
        return frozenset(fleet.names(self.count)) - frozenset(self.drained)


class StaffRequest(msgspec.Struct, frozen=True):
    """What staff ask for."""

    id: str
    do: str  # scale, drain, back, restart, resume, end
    count: int = 0
    names: tuple[str, ...] = ()
    at_once: int = 1


class InstanceHealth(msgspec.Struct, frozen=True):
    """How an instance fares, as far as the supervisor knows."""

    life: str = ""
    serving_s: float = -1.0  # for how long; under 0: it does not serve
    trouble: str = ""  # what keeps it from serving, where something does
    served: float = 1.0  # share of what ended lately
    ended: int = 0


def asked(plan: DesiredState, ask: StaffRequest, fleet: Fleet, most: int) -> tuple[DesiredState, str]:
    """The plan with what staff ask for, and a word on it; the same plan where it is refused."""
    names = fleet.names(plan.count)
    if ask.do == "scale":
        if not 0 <= ask.count <= most:
            return plan, f"refused: 0 to {most} instances, not {ask.count}"
        drained = tuple(name for name in plan.drained if name in fleet.names(ask.count))
        return msgspec.structs.replace(plan, count=ask.count, drained=drained), (
            f"{plan.count} instances are to be {ask.count}"
        )
    unknown = [name for name in ask.names if name not in names]
    if unknown:
        return plan, f"refused: there is no {unknown[0]}"
    if ask.do == "drain":
        drained = tuple(sorted({*plan.drained, *ask.names}))
        return msgspec.structs.replace(plan, drained=drained), f"drained: {', '.join(ask.names)}"
    if ask.do == "back":
        drained = tuple(name for name in plan.drained if name not in ask.names)
        return msgspec.structs.replace(plan, drained=drained), f"back: {', '.join(ask.names)}"
    at_work = plan.restart is not None and plan.restart.phase in (RestartPhase.RUNNING, RestartPhase.HALTED)
    if ask.do == "restart":
        if at_work:
            return plan, "refused: a restart is under way; end it first"
        order = tuple(name for name in ask.names or names if name not in plan.drained)
        if not order:
            return plan, "refused: there is nobody to restart"
        restart = RollingRestart(order, max(1, ask.at_once))
        return msgspec.structs.replace(plan, restart=restart), f"restart of {len(order)} begun"
    if ask.do in ("resume", "end") and plan.restart is not None and at_work:
        phase = RestartPhase.RUNNING if ask.do == "resume" else RestartPhase.ENDED
        if phase not in TRANSITIONS[plan.restart.phase]:
            return plan, f"refused: the restart is {plan.restart.phase.value}"
        restart = plan.restart.to(phase)
        if phase is RestartPhase.RUNNING:
            # The ones that went wrong are steps that were taken; they are tried as any other that is down.
            restart = msgspec.structs.replace(restart, why="")
        return msgspec.structs.replace(plan, restart=restart), f"restart: {phase.value}"
    return plan, f"refused: {ask.do}: there is no restart under way"


def next_restart_step(
    plan: DesiredState, health: Mapping[str, InstanceHealth], hold_s: float
) -> tuple[DesiredState, str] | None:
    """The next step of a rolling restart, and a word on it; None where it is not time for one."""
    restart = plan.restart
    if restart is None or restart.phase is not RestartPhase.RUNNING:
        return None

    def step(after: RollingRestart, what: str) -> tuple[DesiredState, str]:
        return msgspec.structs.replace(plan, restart=after), what

    gone = [name for name in restart.order if name not in health or name in plan.drained]
    taken = [name for name in restart.lives if name not in gone]
    for name in taken:
        one = health[name]
        if one.life != restart.lives[name] and one.trouble:
            return step(
                restart.to(RestartPhase.HALTED, f"{name}: {one.trouble}"), f"restart halted by {name}"
            )
    with_new = _share(health[name] for name in taken if health[name].life != restart.lives[name])
    with_old = _share(one for name, one in health.items() if name not in restart.lives)
    if min(with_new[1], with_old[1]) >= ENOUGH and with_new[0] < with_old[0] - WORSE:
        why = f"served {with_new[0]:.3f} by those restarted, {with_old[0]:.3f} by the others"
        return step(restart.to(RestartPhase.HALTED, why), "restart halted")
    settled = [
        name
        for name in taken
        if health[name].life != restart.lives[name] and health[name].serving_s >= hold_s
    ]
    under_way = len(taken) - len(settled)
    left = [name for name in restart.left if name not in gone]
    if not left:
        return step(restart.to(RestartPhase.DONE), "restart done") if not under_way else None
    if under_way >= restart.at_once:
        return None
    # Who does not serve now is not in its turn's way: it is started anew in any case.
    now = left[: restart.at_once - under_way]
    lives = {**restart.lives, **{name: health[name].life for name in now}}
    return step(msgspec.structs.replace(restart, lives=lives), f"restart of {', '.join(now)}")


def _share(health: object) -> tuple[float, int]:
    served, ended = 0.0, 0
    for one in health:  # type: ignore[attr-defined]
        served += one.served * one.ended
        ended += one.ended
    return (served / ended if ended else 1.0), ended


class DesiredStateRole:
    """The duty of one host's supervisor. `fares`: asked of how the instances fare now.

    `seen`: told of each plan as it stands in the store while the duty is ours. `most`: instances at the
    most.
    """

    def __init__(
        self,
        fleet: Fleet,
        health: Callable[[], Mapping[str, InstanceHealth]],
        seen: Callable[[DesiredState], None],
        most: int,
        interval_s: float = 0.1,
    ) -> None:
        self.name = FLEET + fleet.name
        self.interval_s = interval_s
        self.fleet = fleet
        self._fares = health
        self._seen = seen
        self._most = most
        self._asks: deque[tuple[StaffRequest, Callable[[str], None]]] = deque()

    def ask(self, ask: StaffRequest, told: Callable[[str], None]) -> None:
        """Staff ask for something; `told` is called with a word once it stands, or is refused."""
        self._asks.append((ask, told))

    def gone(self) -> None:
        """The duty is another's."""
        while self._asks:
            self._asks.popleft()[1]("refused: another supervisor holds the duty by now")

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """The next change of the plan, if any."""
        if state is None:
            return _step(DesiredState(self.fleet.instances, self.fleet.instances), "first plan")
        plan = msgspec.json.decode(state, type=DesiredState)
        self._seen(plan)
        if plan.told != self.fleet.instances:
            # The file was changed by hand: what it says counts from then on, until staff scale again.
            changed = msgspec.structs.replace(plan, told=self.fleet.instances, count=self.fleet.instances)
            return _step(changed, f"the file says {self.fleet.instances}")
        while self._asks:
            ask, told = self._asks[0]
            if plan.last == ask.id:
                self._asks.popleft()  # it stands: its own step may have been carried out unheard
                told("done")
                continue
            after, said = asked(plan, ask, self.fleet, self._most)
            if after == plan:
                self._asks.popleft()
                told(said)
                continue
            return _step(msgspec.structs.replace(after, last=ask.id), said)
        next_ = next_restart_step(plan, self._fares(), self.fleet.hold_s)
        return None if next_ is None else _step(*next_)

    def did(self, step: Step) -> None:
        """A step stands in the store."""
        plan = msgspec.json.decode(step.state, type=DesiredState)
        if self._asks and plan.last == self._asks[0][0].id:
            self._asks.popleft()[1](step.description)
        self._seen(plan)


def _step(plan: DesiredState, what: str) -> Step:
    return Step(msgspec.json.encode(plan), what)
