"""Formats of a roll-out in the store: its plan, operators' commands, and instances' status.

The module is pure: it does no I/O, and uses no clock or random source of its own.

    ask/rollout         a command of an operator: start (with the settings), pause, resume, abort; deleted by
                        the step that carries it out
    state/rollout       the plan and its progress
    settings/ID         settings as JSON text; ID is derived from the text
    want/NAME, want/*   desired settings of an instance, and default for all instances; of the two keys the
                        one with the higher revision applies
    instance/NAME       status of an instance: running and rejected settings, success ratio

`name` of a field is the field's name in the store, if the two names differ; stored names must not change.
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
MAX_STEPS = 10  # maximum number of steps of a plan; each step has at least one instance
SETTINGS_ID_DIGITS = 16  # hexadecimal digits of a SHA-256; 64 bits suffice for the settings of a fleet


class RolloutPhase(Enum):
    """Phase of a plan. The values are stored."""

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
    old_settings: str = msgspec.field(name="old")  # settings id for a roll-back; empty: each instance's file
    steps: tuple[tuple[str, ...], ...]  # names of the instances of each step
    phase: RolloutPhase = RolloutPhase.RUNNING
    steps_done: int = msgspec.field(default=0, name="done")
    rolled_back: int = msgspec.field(default=0, name="back")  # number of instances rolled back so far
    reason: str = msgspec.field(default="", name="why")
    requested_by: str = msgspec.field(default="", name="by")
    last_reply: str = msgspec.field(default="", name="said")  # reply to the last command of an operator

    def with_phase(self, phase: RolloutPhase, reason: str = "") -> RolloutPlan:
        """Return the plan in another phase; AssertionError if there is no such transition."""
        if phase not in PHASE_TRANSITIONS[self.phase]:
            raise AssertionError(f"no transition of a roll-out from {self.phase} to {phase}")
        return msgspec.structs.replace(self, phase=phase, reason=reason or self.reason)

    @property
    def updated_instances(self) -> tuple[str, ...]:
        """The instances that the new settings were assigned to, in order."""
        return tuple(name for step in self.steps[: self.steps_done] for name in step)


class InstanceStatus(msgspec.Struct, frozen=True):
    """Status that an instance publishes under its name."""

    incarnation: str = ""
    # Settings id; empty: settings of the instance's file.
    running: str = msgspec.field(default="", name="runs")
    rejected: str = msgspec.field(default="", name="refused")  # settings id
    reject_reason: str = msgspec.field(default="", name="why")
    success_ratio: float = msgspec.field(default=1.0, name="served")  # success ratio of recent operations
    operations: int = msgspec.field(default=0, name="ended")  # number of these recent operations


class RolloutCommand(msgspec.Struct, frozen=True):
    """A command of an operator."""

    action: str = msgspec.field(name="do")  # start, pause, resume or abort
    settings: str = ""  # settings as JSON text, if the action is start
    requested_by: str = msgspec.field(default="", name="by")


class SuccessRatio(NamedTuple):
    """Ratio of operations that succeeded, and the number of operations."""

    ratio: float
    operations: int


def settings_id(settings: str) -> str:
    """Return the id of settings, which is derived from their text."""
    return hashlib.sha256(settings.encode()).hexdigest()[:SETTINGS_ID_DIGITS]


def encode_desired(settings: str) -> bytes:
    """Return the value of a `want/` key: the settings id, or an empty id for an instance's own file."""
    return json.dumps({"settings": settings}).encode()


def decode_desired(value: bytes) -> str | None:
    """Return the settings id in a `want/` key; None if the value can't be read."""
    try:
        return str(json.loads(value)["settings"])
    except (ValueError, KeyError, TypeError):
        return None


def instance_statuses(entries: Mapping[str, Entry]) -> dict[str, InstanceStatus]:
    """Return the status of each registered instance; an empty status if its value can't be read."""
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

    The instances are ordered by a hash of their names, so that instances with similar names fall into
    different steps.
    """
    ordered = sorted(names, key=lambda name: (hashlib.sha256(name.encode()).digest(), name))
    size = max(1, -(-len(ordered) // steps))
    return tuple(tuple(ordered[start : start + size]) for start in range(0, len(ordered), size))


def combined_success(statuses: Iterable[InstanceStatus]) -> SuccessRatio:
    """Return the combined success ratio of several instances; 1.0 without operations."""
    succeeded, operations = 0.0, 0
    for status in statuses:
        succeeded += status.success_ratio * status.operations
        operations += status.operations
    return SuccessRatio(succeeded / operations if operations else 1.0, operations)


def is_rollout_active(entries: Mapping[str, Entry]) -> bool:
    """Return whether a plan is in progress, which needs the status of instances."""
    entry = entries.get(PLAN_KEY)
    if entry is None:
        return False
    return msgspec.json.decode(entry.value, type=RolloutPlan).phase not in FINISHED_PHASES
