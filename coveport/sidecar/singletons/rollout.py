"""Roll-out: new settings to a tenth of the instances at a time, taken back where they harm.

Pure. The holder's half is `Rollout`, each instance's own half `Follower`. What stands in the store:

    ask/rollout         what staff ask for: start (with the settings), pause, resume, abort; taken out by
    the step
                        that carries it out
    state/rollout       the plan and where it is
    settings/ID         settings as JSON text; ID is drawn from the text
    want/NAME, want/*   which settings an instance is to run, and which all those are that have no word of
    their own;
                        the one of the higher revision holds
    instance/NAME       what an instance runs, what it could not take, and how it serves

States of a plan:  RUNNING <-> PAUSED;  RUNNING, PAUSED -> BACK -> UNDONE;  RUNNING -> DONE.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import Any

import msgspec

from coveport.sidecar.leases.keys import INSTANCE_PREFIX
from coveport.sidecar.leases.store import Delete, Entry, Put
from coveport.sidecar.singletons.singleton import Step

ASK, WANT, SETTINGS, ALL = "ask/rollout", "want/", "settings/", "want/*"
STEPS = 10  # a plan has so many steps, or one for each instance where there are fewer
HOLD_S = 5.0  # a step must have done well for so long before the next
APPLY_S = 30.0  # an instance that is there and has not taken it after so long: the plan goes back
WORSE = 0.05  # share served, below that of those that run the old settings, at which it goes back
ENOUGH = 20  # operations, below which a share says nothing
PUTS_MOST = 100  # in one transaction: an engine takes 128 operations


class Phase(Enum):
    """Where a plan is."""

    RUNNING = "running"
    PAUSED = "paused"
    BACK = "back"  # being taken back
    UNDONE = "undone"
    DONE = "done"


MOVES: dict[Phase, frozenset[Phase]] = {
    Phase.RUNNING: frozenset({Phase.PAUSED, Phase.BACK, Phase.DONE}),
    Phase.PAUSED: frozenset({Phase.RUNNING, Phase.BACK}),
    Phase.BACK: frozenset({Phase.UNDONE}),
    Phase.UNDONE: frozenset(),
    Phase.DONE: frozenset(),
}
OVER = frozenset({Phase.UNDONE, Phase.DONE})


class Plan(msgspec.Struct, frozen=True):
    """A roll-out, as it stands in the store."""

    new: str  # settings' id
    old: str  # what goes back in its place; empty: each instance's own file
    steps: tuple[tuple[str, ...], ...]  # instances by name
    phase: Phase = Phase.RUNNING
    done: int = 0  # steps that were taken
    back: int = 0  # instances that were given the old ones again
    why: str = ""
    by: str = ""  # who asked
    said: str = ""  # what became of the last thing asked

    def to(self, phase: Phase, why: str = "") -> Plan:
        """The plan in another phase; AssertionError where there is no way."""
        if phase not in MOVES[self.phase]:
            raise AssertionError(f"no way from {self.phase} to {phase}")
        return msgspec.structs.replace(self, phase=phase, why=why or self.why)

    @property
    def given(self) -> tuple[str, ...]:
        """Instances that were told of the new settings, in order."""
        return tuple(name for step in self.steps[: self.done] for name in step)


class Fares(msgspec.Struct, frozen=True):
    """What an instance writes under its name."""

    incarnation: str = ""
    runs: str = ""  # id of the settings it runs; empty: its own file's
    refused: str = ""  # id of settings that it could not take
    why: str = ""
    served: float = 1.0  # share of what ended lately that was served
    ended: int = 0  # operations that ended in that time


class Ask(msgspec.Struct, frozen=True):
    """What staff ask for."""

    do: str  # start, pause, resume, abort
    settings: str = ""  # start: JSON text
    by: str = ""


def identify(settings: str) -> str:
    """The id of settings: the same for the same text."""
    return hashlib.sha256(settings.encode()).hexdigest()[:16]


def fares_of(entries: Mapping[str, Entry]) -> dict[str, Fares]:
    """What each instance that is there tells; who tells nothing that can be read runs nothing of ours."""
    found = {}
    for key, entry in entries.items():
        if key.startswith(INSTANCE_PREFIX):
            try:
                found[key[len(INSTANCE_PREFIX) :]] = msgspec.json.decode(entry.value, type=Fares)
            except msgspec.DecodeError:
                found[key[len(INSTANCE_PREFIX) :]] = Fares()
    return found


def cut(names: Iterable[str], steps: int = STEPS) -> tuple[tuple[str, ...], ...]:
    """Instances in steps of a tenth each, rounded up; by a hash of their names, so that neighbours part."""
    line = sorted(names, key=lambda name: (hashlib.sha256(name.encode()).digest(), name))
    size = max(1, -(-len(line) // steps))
    return tuple(tuple(line[at : at + size]) for at in range(0, len(line), size))


def share(fares: Iterable[Fares]) -> tuple[float, int]:
    """Share served by some instances together, and of how many operations."""
    served, ended = 0.0, 0
    for one in fares:
        served += one.served * one.ended
        ended += one.ended
    return (served / ended if ended else 1.0), ended


class Rollout:
    """The holder's half. Its only memory is when it first saw the state it is at: a successor waits anew."""

    name = "rollout"

    def __init__(self, every_s: float = 0.25, hold_s: float = HOLD_S, apply_s: float = APPLY_S) -> None:
        self.every_s = every_s
        self._hold_s = hold_s
        self._apply_s = apply_s
        self._seen: tuple[bytes | None, float] = (None, 0.0)
        self._well_since: float | None = None

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """The next step, if any."""
        if self._seen[0] != state:
            self._seen = (state, now)
            self._well_since = None
        plan = msgspec.json.decode(state, type=Plan) if state else None
        if ASK in entries:
            return self._asked(plan, entries)
        if plan is None or plan.phase in OVER or plan.phase is Phase.PAUSED:
            return None
        if plan.phase is Phase.BACK:
            return self._go_back(plan)
        fares = fares_of(entries)
        trouble = self._trouble(now, plan, fares)
        if trouble:
            return _step(plan.to(Phase.BACK, trouble), f"goes back: {trouble}")
        if not self._well(now, plan, fares):
            return None
        if plan.done < len(plan.steps):
            step = plan.steps[plan.done]
            return _step(
                msgspec.structs.replace(plan, done=plan.done + 1),
                f"step {plan.done + 1}",
                *(Put(WANT + name, _wanted(plan.new)) for name in step),
            )
        return _step(plan.to(Phase.DONE, "all have it"), "done", Put(ALL, _wanted(plan.new)))

    def _asked(self, plan: Plan | None, entries: Mapping[str, Entry]) -> Step:
        taken = Delete(ASK)
        try:
            ask = msgspec.json.decode(entries[ASK].value, type=Ask)
        except msgspec.DecodeError:
            ask = Ask("?")
        idle = plan is None or plan.phase in OVER
        if ask.do == "start" and idle:
            new = identify(ask.settings)
            standing = entries.get(ALL)
            old = str(json.loads(standing.value)["settings"]) if standing is not None else ""
            fresh = Plan(new, old, cut(fares_of(entries)), by=ask.by, said="started")
            return _step(
                fresh,
                f"started: {new} in {len(fresh.steps)} steps",
                taken,
                Put(SETTINGS + new, ask.settings.encode()),
            )
        if plan is None:
            return _step(
                Plan("", "", (), Phase.UNDONE, said=f"{ask.do}: there is no roll-out"), "refused", taken
            )
        moves = {"pause": (Phase.RUNNING, Phase.PAUSED), "resume": (Phase.PAUSED, Phase.RUNNING)}
        if ask.do in moves and plan.phase is moves[ask.do][0]:
            return _step(msgspec.structs.replace(plan.to(moves[ask.do][1]), said=ask.do), ask.do, taken)
        if ask.do == "abort" and plan.phase in (Phase.RUNNING, Phase.PAUSED):
            return _step(
                msgspec.structs.replace(plan.to(Phase.BACK, f"aborted by {ask.by}"), said="abort"),
                "abort",
                taken,
            )
        said = f"{ask.do}: refused, the roll-out is {plan.phase.value}"
        return _step(msgspec.structs.replace(plan, said=said), said, taken)

    def _go_back(self, plan: Plan) -> Step:
        # All that had them at once: bad settings are to go faster than they came.
        left = plan.given[plan.back : plan.back + PUTS_MOST]
        if not left:
            return _step(plan.to(Phase.UNDONE), "undone")
        return _step(
            msgspec.structs.replace(plan, back=plan.back + len(left)),
            f"{len(left)} go back",
            *(Put(WANT + name, _wanted(plan.old)) for name in left),
        )

    def _trouble(self, now: float, plan: Plan, fares: Mapping[str, Fares]) -> str:
        given = [name for name in plan.given if name in fares]
        for name in given:
            if fares[name].refused == plan.new:
                return f"{name} can't take it: {fares[name].why}"
        late = [name for name in given if fares[name].runs != plan.new]
        if late and now - self._seen[1] > self._apply_s:
            return f"{late[0]} has not taken it after {self._apply_s:g} s"
        with_new = share(one for one in fares.values() if one.runs == plan.new)
        with_old = share(one for one in fares.values() if one.runs != plan.new)
        if min(with_new[1], with_old[1]) >= ENOUGH and with_new[0] < with_old[0] - WORSE:
            return f"served {with_new[0]:.3f} with it, {with_old[0]:.3f} without"
        return ""

    def _well(self, now: float, plan: Plan, fares: Mapping[str, Fares]) -> bool:
        """Whether all that were given it have had it for long enough; who is away catches up by itself."""
        if any(fares[name].runs != plan.new for name in plan.given if name in fares):
            self._well_since = None
            return False
        if self._well_since is None:
            self._well_since = now
        return not plan.done or now - self._well_since >= self._hold_s


def _wanted(settings: str) -> bytes:
    return json.dumps({"settings": settings}).encode()


def _step(plan: Plan, what: str, *changes: Put | Delete) -> Step:
    return Step(msgspec.json.encode(plan), what, changes)


class Follower:
    """Each instance's own half: which settings it is to run, by what stands in the store."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._revision = 0  # of the word that we went by last: an older one is never taken
        self.runs = ""
        self.refused = ""
        self.why = ""

    def wanted(self, entries: Mapping[str, Entry]) -> tuple[str, str | None] | None:
        """Settings to take now: id and text (None: our own file's); None where there is nothing to do."""
        words = [entries[key] for key in (WANT + self._name, ALL) if key in entries]
        if not words:
            return None
        word = max(words, key=lambda one: one.modified)
        if word.modified <= self._revision:
            return None
        try:
            wanted = str(json.loads(word.value)["settings"])
        except (ValueError, KeyError, TypeError):
            return None
        if not wanted:
            self._revision = word.modified
            return (wanted, None) if self.runs else None
        if SETTINGS + wanted not in entries:
            return None  # they come with the next change
        self._revision = word.modified
        return (
            (wanted, entries[SETTINGS + wanted].value.decode(errors="replace"))
            if wanted != self.runs
            else None
        )

    def took(self, wanted: str) -> None:
        """They hold."""
        self.runs = wanted
        self.refused = ""
        self.why = ""

    def could_not(self, wanted: str, why: str) -> None:
        """They can't be used; what ran before runs on."""
        self.refused = wanted
        self.why = why

    def fares(self, incarnation: str, served: float, ended: int) -> bytes:
        """What is written under our name."""
        return msgspec.json.encode(
            Fares(incarnation, self.runs, self.refused, self.why, round(served, 4), ended)
        )


def under_way(entries: Mapping[str, Entry]) -> bool:
    """Whether a plan is at work, so that how instances fare matters."""
    found = entries.get("state/rollout")
    if found is None:
        return False
    plan: Any = msgspec.json.decode(found.value, type=Plan)
    return plan.phase not in OVER
