"""One instance as its supervisor sees it: named states, one table of transitions. Pure.

    DOWN -> WAITING -> STARTING -> SERVING -> STOPPING -> DOWN | WAITING
    STARTING, SERVING -> WAITING (it ended by itself) | BROKEN (too often, or its file can't be used)
    STARTING, SERVING, STOPPING -> KILLING (too late, or hung) -> DOWN | WAITING | BROKEN
    BROKEN -> WAITING (after a long rest, for one try)

A *life* is one process of it, under a word that no other process ever has. What is told of another life than
the present one is passed over, so no word that comes late does harm. Times are the caller's clock, s.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from math import inf

from coveport.sidecar.config.operator_sections import Fleet

KILL_AGAIN_S = 5.0  # after a kill that nothing was heard of


class State(Enum):
    """Where an instance is."""

    DOWN = "down"  # not wanted, and not there
    WAITING = "waiting"  # wanted; for its turn, or for a while after it ended by itself
    STARTING = "starting"  # a process is there, or is being started, and has not said that it is ready
    SERVING = "serving"
    STOPPING = "stopping"  # told to end, or ending by itself; it answers what it owes
    KILLING = "killing"
    BROKEN = "broken"  # it ended too often: left alone for long


TRANSITIONS: dict[State, frozenset[State]] = {
    State.DOWN: frozenset({State.WAITING, State.STARTING}),
    State.WAITING: frozenset({State.DOWN, State.STARTING}),
    State.STARTING: frozenset(
        {State.SERVING, State.STOPPING, State.KILLING, State.WAITING, State.BROKEN, State.DOWN}
    ),
    State.SERVING: frozenset({State.STOPPING, State.KILLING, State.WAITING, State.BROKEN, State.DOWN}),
    State.STOPPING: frozenset({State.KILLING, State.WAITING, State.DOWN}),
    State.KILLING: frozenset({State.WAITING, State.DOWN, State.BROKEN}),
    State.BROKEN: frozenset({State.WAITING, State.DOWN, State.STARTING}),
}
ACTIVE_STATES = frozenset({State.STARTING, State.SERVING, State.STOPPING, State.KILLING})


class ExitReason(Enum):
    """How a life ended."""

    CLEAN = "clean"  # of its own accord or told to, with nothing owed
    UNUSABLE = "unusable"  # its files can't be used
    HELD = "held"  # another life has its name
    CRASH = "crash"


@dataclass(frozen=True, slots=True)
class Start:
    """Start a process of that name."""

    name: str


@dataclass(frozen=True, slots=True)
class Drain:
    """Tell a life to end (SIGTERM)."""

    name: str
    life: str


@dataclass(frozen=True, slots=True)
class Kill:
    """End a life at once (SIGKILL)."""

    name: str
    life: str


Command = Start | Drain | Kill


class Instance:
    """An instance."""

    def __init__(self, name: str, terms: Fleet, chance: random.Random) -> None:
        self.name = name
        self._terms = terms
        self._chance = chance
        self.state = State.DOWN
        self.since = -inf
        self.life = ""  # empty: no process that we know of
        self.wanted = False
        self.wait_until = -inf  # WAITING, BROKEN: not before
        self.heard_at = -inf  # when its loop last gave a sign
        self.why = ""  # why it is where it is, for staff
        self.lives = 0  # that ended while we looked
        self._failures: list[float] = []
        self._failed = False  # what is being ended counts as a failure
        self._trying = False  # after a long rest: the next failure is one too many
        self.replacing = ""  # the life that is being ended for a restart, or for being hung
        self._untold = ""  # the life whose order to end was dropped: it is to be told again

    def _to(self, now: float, state: State, why: str = "") -> None:
        if state not in TRANSITIONS[self.state]:
            raise AssertionError(f"{self.name}: no way from {self.state.value} to {state.value}")
        self.state = state
        self.since = now
        self.why = why

    def retune(self, terms: Fleet) -> None:
        """Other terms hold from now on."""
        self._terms = terms

    @property
    def failing(self) -> bool:
        """Whether its last lives ended by themselves."""
        return bool(self._failures)

    # What is wanted.

    def want(self, now: float, wanted: bool) -> list[Command]:
        """It is to be there, or not."""
        self.wanted = wanted
        if wanted:
            if self.state is State.DOWN:
                self._to(now, State.WAITING)
                self.wait_until = now
            return []
        if self.state in (State.WAITING, State.BROKEN):
            self._to(now, State.DOWN)
            self._failures = []
            self._trying = False
        elif self.state in (State.STARTING, State.SERVING):
            return self._drain(now, "not wanted")
        return []

    def replace(self, now: float, life: str) -> list[Command]:
        """That life is to end for another one; nothing is done where it has ended."""
        if life and life == self.life and self.state in (State.STARTING, State.SERVING):
            return self._drain(now, "restart")
        return []

    def retry(self, now: float) -> None:
        """What kept it from running may be mended: it need not rest any longer."""
        if self.state is State.BROKEN:
            self._to(now, State.WAITING, self.why)
            self._failures = []
            self._trying = True
        if self.state is State.WAITING:
            self.wait_until = min(self.wait_until, now)

    def _drain(self, now: float, why: str) -> list[Command]:
        self._to(now, State.STOPPING, why)
        self._failed = False
        # While the process is being started there is none to tell: it is told once it is there.
        return [Drain(self.name, self.life)] if self.life else []

    # What happens.

    def can_start(self, now: float) -> bool:
        """Whether it waits for nothing but its turn."""
        return self.state is State.WAITING and now >= self.wait_until

    def start(self, now: float) -> list[Command]:
        """Its turn has come."""
        self._to(now, State.STARTING)
        self.heard_at = now
        return [Start(self.name)]

    def started(self, now: float, life: str) -> list[Command]:
        """The process that we asked for is there."""
        if self.life or self.state not in ACTIVE_STATES:
            return []
        self.life = life
        if self.state is State.STOPPING:
            return [Drain(self.name, life)]
        return [Kill(self.name, life)] if self.state is State.KILLING else []

    def on_start_failed(self, now: float, why: str) -> None:
        """No process could be started."""
        if self.state in ACTIVE_STATES and not self.life:
            self._after(now, True, why)

    def unusable(self, now: float, why: str) -> None:
        """It was not started, as its files can't be used."""
        if self.state is State.STARTING and not self.life:
            self._break(now, why)
        else:
            self.on_start_failed(now, why)

    def found(self, now: float, life: str) -> list[Command]:
        """A process of that name is there that we did not start, or took for gone."""
        if self.life or self.state in ACTIVE_STATES:
            return []
        if self.state is State.DOWN and not self.wanted:
            self._to(now, State.STARTING)
            self.life = life
            self.heard_at = now
            return self._drain(now, "not wanted")
        self._to(now, State.STARTING)
        self.life = life
        self.heard_at = now
        return []

    def ready(self, now: float, life: str) -> None:
        """It says that it serves."""
        if life == self.life and life:
            self.heard_at = now
            if self.state is State.STARTING:
                self._to(now, State.SERVING)

    def beat(self, now: float, life: str) -> None:
        """Its loop gives a sign."""
        if life == self.life:
            self.heard_at = now

    def stopping(self, now: float, life: str) -> None:
        """It says that it ends; whoever told it to."""
        if life == self.life and life and self.state in (State.STARTING, State.SERVING):
            self._to(now, State.STOPPING, "it was told to end")
            self._failed = False

    def ended(self, now: float, life: str, how: ExitReason) -> None:
        """A life is over."""
        if life != self.life or not life:
            return
        self.life = ""
        self.lives += 1
        if self.state in (State.STOPPING, State.KILLING):
            self._after(now, self._failed, self.why)
        elif how is ExitReason.HELD:
            # Whoever has the name is found by its lock; a short while, and it is looked at again.
            self._rest(now, self._terms.backoff_s, "its name is held")
        elif how is ExitReason.CLEAN and self.state is State.SERVING:
            self._rest(now, self._terms.backoff_s, "it ended by itself")
        elif how is ExitReason.UNUSABLE:
            self._break(now, "its files can't be used")
        else:
            self._after(now, True, f"it ended: {how.value}")

    def hung(self, now: float) -> list[Command]:
        """It gives no sign any more: it is to be replaced."""
        if self.state is not State.SERVING:
            return []
        self._to(now, State.KILLING, "no sign of its loop")
        self._failed = True
        self.replacing = self.life
        return [Kill(self.name, self.life)]

    def dropped(self, order: Command) -> None:
        """It was not carried out. A start shows by its missing process, a kill is repeated anyway."""
        if isinstance(order, Drain):
            self._untold = order.life

    def tick(self, now: float) -> list[Command]:
        """Time has passed, and each order given before was carried out or dropped."""
        if self.state in ACTIVE_STATES and not self.life:
            self._after(now, False, "its start was not carried out")
            return []
        if self.state is State.STOPPING and self._untold == self.life:
            self._untold, self.since = "", now
            return [Drain(self.name, self.life)]
        spent = now - self.since
        if self.state is State.STARTING and spent > self._terms.ready_s:
            self._to(now, State.KILLING, "not ready in time")
            self._failed = True
            return [Kill(self.name, self.life)]
        if self.state is State.STOPPING and spent > self._terms.stop_s:
            self._to(now, State.KILLING, "it did not end in time")
            return [Kill(self.name, self.life)]
        if self.state is State.KILLING and spent > KILL_AGAIN_S:
            self.since = now
            return [Kill(self.name, self.life)]
        if self.state is State.BROKEN and now >= self.wait_until:
            self._to(now, State.WAITING, self.why)
            self._failures = []
            self._trying = True
        if self.state is State.SERVING and spent > self._terms.loop_s:
            self._failures = []
            self._trying = False
        return []

    def heartbeat_age_s(self, now: float) -> float:
        """How long nothing was heard of it; 0 where it owes no sign."""
        return now - self.heard_at if self.state is State.SERVING else 0.0

    def reset_timeouts(self, now: float) -> None:
        """Nothing could be heard up to now, whatever it said."""
        self.heard_at = max(self.heard_at, now)
        if self.state in (State.STARTING, State.STOPPING):
            self.since = max(self.since, now)

    # What follows.

    def _after(self, now: float, failed: bool, why: str) -> None:
        """No process is there any more."""
        self.replacing = ""
        if not self.wanted:
            self._to(now, State.DOWN)
        elif failed:
            self._failed = False
            self._failures = [at for at in self._failures if now - at < self._terms.loop_s] + [now]
            if self._trying or len(self._failures) >= self._terms.loop:
                self._break(now, f"ended {len(self._failures)} times in {self._terms.loop_s:g} s: {why}")
                return
            doubled = self._terms.backoff_s * 2 ** (len(self._failures) - 1)
            self._rest(now, min(self._terms.backoff_most_s, doubled) * self._chance.uniform(0.5, 1.0), why)
        else:
            self._rest(now, 0.0, why)

    def _rest(self, now: float, wait_s: float, why: str) -> None:
        if not self.wanted:
            self._to(now, State.DOWN)
            return
        self._to(now, State.WAITING, why)
        self.wait_until = now + wait_s

    def _break(self, now: float, why: str) -> None:
        if self.state is State.STOPPING or not self.wanted:
            self._rest(now, self._terms.backoff_most_s, why)
            return
        self._to(now, State.BROKEN, why)
        self.wait_until = now + self._terms.rest_s * self._chance.uniform(0.8, 1.2)
