"""What a roll-out keeps in the store: its plan, staff's commands, and the status of each instance. Pure.

    ask/rollout         a command of staff: start (with the settings), pause, resume, abort; deleted by the
                        step that carries it out
    state/rollout       the plan and its progress
    settings/ID         settings as JSON text; ID is derived from the text
    want/NAME, want/*   which settings an instance is to run, and which all those are that have no key of
                        their own; the key of the higher revision counts
    instance/NAME       status of an instance: what it runs, what it rejected, how many requests succeed

Names of fields in the store differ from those here where a `name` is given; they are on disk and stay.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

import msgspec

from coveport.sidecar.leases.keys import INSTANCE_PREFIX, STATE_PREFIX
from coveport.sidecar.leases.store import Entry

ROLLOUT_ROLE = "rollout"
PLAN_KEY = STATE_PREFIX + ROLLOUT_ROLE
COMMAND_KEY = "ask/rollout"
SETTINGS_PREFIX = "settings/"
DESIRED_PREFIX = "want/"
DESIRED_BY_DEFAULT_KEY = DESIRED_PREFIX + "*"
MAX_STEPS = 10  # a plan has so many steps, or one for each instance if there are fewer
SETTINGS_ID_DIGITS = 16  # of a SHA-256 in hexadecimal: 64 bits are plenty for the settings of one fleet


class RolloutPhase(Enum):
    """Where a plan is. The values are stored."""

    RUNNING = "running"
    PAUSED = "paused"
    ROLLING_BACK = "back"
    ROLLED_BACK = "undone"
    DONE = "done"


PHASE_TRANSITIONS: dict[RolloutPhase, frozenset[RolloutPhase]] = {
    RolloutPhase.RUNNING: frozenset({RolloutPhase.PAUSED, RolloutPhase.ROLLING_BACK, RolloutPhase.DONE}),
    RolloutPhase.PAUSED: frozenset({RolloutPhase.RUNNING, RolloutPhase.ROLLING_BACK}),
    RolloutPhase.ROLLING_BACK: frozenset({RolloutPhase.ROLLED_BACK}),
    RolloutPhase.ROLLED_BACK: frozenset(),
    RolloutPhase.DONE: frozenset(),
}
FINISHED_PHASES = frozenset({RolloutPhase.ROLLED_BACK, RolloutPhase.DONE})


class RolloutPlan(msgspec.Struct, frozen=True):
    """A roll-out and its progress."""

    new_settings: str = msgspec.field(name="new")  # settings id
    old_settings: str = msgspec.field(name="old")  # settings id to roll back to; empty: each instance's file
    steps: tuple[tuple[str, ...], ...]  # names of instances
    phase: RolloutPhase = RolloutPhase.RUNNING
    steps_done: int = msgspec.field(default=0, name="done")
    rolled_back: int = msgspec.field(default=0, name="back")  # instances that were given the old settings
    reason: str = msgspec.field(default="", name="why")
    requested_by: str = msgspec.field(default="", name="by")
    last_reply: str = msgspec.field(default="", name="said")  # to the last command of staff

    def with_phase(self, phase: RolloutPhase, reason: str = "") -> RolloutPlan:
        """Return the plan in another phase; AssertionError if there is no such transition."""
        if phase not in PHASE_TRANSITIONS[self.phase]:
            raise AssertionError(f"no transition of a roll-out from {self.phase} to {phase}")
        return msgspec.structs.replace(self, phase=phase, reason=reason or self.reason)

    @property
    def updated_instances(self) -> tuple[str, ...]:
        """The instances that were given the new settings, in order."""
        return tuple(name for step in self.steps[: self.steps_done] for name in step)


class InstanceStatus(msgspec.Struct, frozen=True):
    """What an instance publishes under its name."""

    incarnation: str = ""
    running: str = msgspec.field(default="", name="runs")  # settings id; empty: those of its own file
    rejected: str = msgspec.field(default="", name="refused")  # settings id
    reject_reason: str = msgspec.field(default="", name="why")
    success_ratio: float = msgspec.field(default=1.0, name="served")  # of the operations that ended lately
    operations: int = msgspec.field(default=0, name="ended")  # how many ended in that time


class RolloutCommand(msgspec.Struct, frozen=True):
    """A command of staff."""

    action: str = msgspec.field(name="do")  # start, pause, resume or abort
    settings: str = ""  # of a start: JSON text
    requested_by: str = msgspec.field(default="", name="by")


class SuccessRatio(NamedTuple):
    """Share of operations that succeeded, and of how many."""

    ratio: float
    operations: int


def settings_id(settings: str) -> str:
    """Return the id of settings: the same for the same text."""
    return hashlib.sha256(settings.encode()).hexdigest()[:SETTINGS_ID_DIGITS]


def encode_desired(settings: str) -> bytes:
    """Return the value of a `want/` key: the settings id, empty for an instance's own file."""
    return json.dumps({"settings": settings}).encode()


def decode_desired(value: bytes) -> str | None:
    """Return the settings id in a `want/` key; None if the value can't be read."""
    try:
        return str(json.loads(value)["settings"])
    except (ValueError, KeyError, TypeError):
        return None


def instance_statuses(entries: Mapping[str, Entry]) -> dict[str, InstanceStatus]:
    """Return the status of each registered instance; an empty one if its value can't be read."""
    statuses = {}
    for key, entry in entries.items():
        if not key.startswith(INSTANCE_PREFIX):
            continue
        try:
            status = msgspec.json.decode(entry.value, type=InstanceStatus)
        except msgspec.DecodeError:
            status = InstanceStatus()
        statuses[key.removeprefix(INSTANCE_PREFIX)] = status
    return statuses


def plan_steps(names: Iterable[str], steps: int = MAX_STEPS) -> tuple[tuple[str, ...], ...]:
    """Return the instances in steps of a tenth each, rounded up.

    They are ordered by a hash of their names, so that neighbours fall into different steps.
    """
    ordered = sorted(names, key=lambda name: (hashlib.sha256(name.encode()).digest(), name))
    size = max(1, -(-len(ordered) // steps))
    return tuple(tuple(ordered[start : start + size]) for start in range(0, len(ordered), size))


def combined_success(statuses: Iterable[InstanceStatus]) -> SuccessRatio:
    """Return the success ratio of some instances together; 1.0 if no operation ended."""
    succeeded, operations = 0.0, 0
    for status in statuses:
        succeeded += status.success_ratio * status.operations
        operations += status.operations
    return SuccessRatio(succeeded / operations if operations else 1.0, operations)


def is_rollout_active(entries: Mapping[str, Entry]) -> bool:
    """Return whether a plan is in progress, so that the status of instances matters."""
    entry = entries.get(PLAN_KEY)
    if entry is None:
        return False
    return msgspec.json.decode(entry.value, type=RolloutPlan).phase not in FINISHED_PHASES
