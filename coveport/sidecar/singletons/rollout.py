"""Roll-out of settings to a tenth of the instances at a time, with roll-back on failures.

The module is pure: it does no I/O, and uses no clock or random source of its own.

The role's holder makes decisions with `Rollout`; each instance applies them with `rollout_follower`. The
formats of the store are in `rollout_plan`.

Phases of a plan:  RUNNING <-> PAUSED;  RUNNING, PAUSED -> ROLLING_BACK -> ROLLED_BACK;  RUNNING -> DONE.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from coveport.sidecar.leases.store import Delete, Entry, Put
from coveport.sidecar.singletons.rollout_plan import (
    COMMAND_KEY,
    DESIRED_BY_DEFAULT_KEY,
    DESIRED_PREFIX,
    FINISHED_PHASES,
    ROLLOUT_ROLE,
    SETTINGS_PREFIX,
    InstanceStatus,
    RolloutCommand,
    RolloutPhase,
    RolloutPlan,
    combined_success,
    decode_desired,
    encode_desired,
    instance_statuses,
    plan_steps,
    settings_id,
)
from coveport.sidecar.singletons.singleton import Step

DECISION_INTERVAL_S = 0.25
SOAK_S = 5.0  # time that all updated instances must run the new settings before the next step
APPLY_TIMEOUT_S = 30.0  # time-out for an instance to apply the settings, after which the plan rolls back
# After a larger drop below the success ratio of the old settings, the plan rolls back.
MAX_SUCCESS_DROP = 0.05
MIN_OPERATIONS = 20  # minimum under the old and under the new settings for a comparison of success ratios
MAX_PUTS_PER_STEP = 100  # etcd accepts at most 128 operations in a transaction

# By action of a command: the phases in which the command is accepted, and the phase that the action leads to.
COMMAND_TRANSITIONS: dict[str, tuple[frozenset[RolloutPhase], RolloutPhase]] = {
    "pause": (frozenset({RolloutPhase.RUNNING}), RolloutPhase.PAUSED),
    "resume": (frozenset({RolloutPhase.PAUSED}), RolloutPhase.RUNNING),
    "abort": (frozenset({RolloutPhase.RUNNING, RolloutPhase.PAUSED}), RolloutPhase.ROLLING_BACK),
}


class Rollout:
    """Singleton role that carries out a roll-out.

    Only the timers are kept in memory, so a successor starts them again.
    """

    name = ROLLOUT_ROLE

    def __init__(
        self,
        interval_s: float = DECISION_INTERVAL_S,
        soak_s: float = SOAK_S,
        apply_timeout_s: float = APPLY_TIMEOUT_S,
    ) -> None:
        self.interval_s = interval_s
        self._soak_s = soak_s
        self._apply_timeout_s = apply_timeout_s
        self._state: bytes | None = None  # last state that was read
        self._state_since = 0.0  # when the last state was first read
        self._applied_since: float | None = None  # since when all updated instances have run the new settings

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """Return the next step; None if there is nothing to do."""
        if self._state != state:
            self._state = state
            self._state_since = now
            self._applied_since = None
        plan = msgspec.json.decode(state, type=RolloutPlan) if state else None
        if COMMAND_KEY in entries:
            return _handle_command(plan, entries)
        if plan is None or plan.phase in FINISHED_PHASES or plan.phase is RolloutPhase.PAUSED:
            return None
        if plan.phase is RolloutPhase.ROLLING_BACK:
            return _roll_back(plan)
        statuses = instance_statuses(entries)
        failure = self._find_failure(now, plan, statuses)
        if failure:
            return _step(plan.with_phase(RolloutPhase.ROLLING_BACK, failure), f"goes back: {failure}")
        if not self._has_soaked(now, plan, statuses):
            return None
        return _advance(plan)

    def _find_failure(self, now: float, plan: RolloutPlan, statuses: Mapping[str, InstanceStatus]) -> str:
        """Return the reason to roll back; empty if there is none."""
        updated = [name for name in plan.updated_instances if name in statuses]
        for name in updated:
            if statuses[name].rejected == plan.new_settings:
                return f"{name} can't take it: {statuses[name].reject_reason}"
        late = [name for name in updated if statuses[name].running != plan.new_settings]
        if late and now - self._state_since > self._apply_timeout_s:
            return f"{late[0]} has not taken it after {self._apply_timeout_s:g} s"
        new = combined_success(status for status in statuses.values() if status.running == plan.new_settings)
        old = combined_success(status for status in statuses.values() if status.running != plan.new_settings)
        comparable = min(new.operations, old.operations) >= MIN_OPERATIONS
        if comparable and new.ratio < old.ratio - MAX_SUCCESS_DROP:
            return f"served {new.ratio:.3f} with it, {old.ratio:.3f} without"
        return ""

    def _has_soaked(self, now: float, plan: RolloutPlan, statuses: Mapping[str, InstanceStatus]) -> bool:
        """Return whether all updated instances have run the new settings for long enough.

        Instances that are not registered are ignored: they apply the settings when they return.
        """
        present = [name for name in plan.updated_instances if name in statuses]
        if any(statuses[name].running != plan.new_settings for name in present):
            self._applied_since = None
            return False
        if self._applied_since is None:
            self._applied_since = now
        return not plan.steps_done or now - self._applied_since >= self._soak_s


def _step(plan: RolloutPlan, description: str, *changes: Put | Delete) -> Step:
    return Step(msgspec.json.encode(plan), description, changes)


def _advance(plan: RolloutPlan) -> Step:
    """Assign the new settings to the instances of the next step, or to all after the last step."""
    desired = encode_desired(plan.new_settings)
    if plan.steps_done >= len(plan.steps):
        return _step(
            plan.with_phase(RolloutPhase.DONE, "all have it"), "done", Put(DESIRED_BY_DEFAULT_KEY, desired)
        )
    next_plan = msgspec.structs.replace(plan, steps_done=plan.steps_done + 1)
    puts = [Put(DESIRED_PREFIX + name, desired) for name in plan.steps[plan.steps_done]]
    return _step(next_plan, f"step {next_plan.steps_done}", *puts)


def _roll_back(plan: RolloutPlan) -> Step:
    """Assign the old settings to the updated instances, as many as one transaction accepts."""
    names = plan.updated_instances[plan.rolled_back : plan.rolled_back + MAX_PUTS_PER_STEP]
    if not names:
        return _step(plan.with_phase(RolloutPhase.ROLLED_BACK), "undone")
    next_plan = msgspec.structs.replace(plan, rolled_back=plan.rolled_back + len(names))
    desired = encode_desired(plan.old_settings)
    return _step(next_plan, f"{len(names)} go back", *(Put(DESIRED_PREFIX + name, desired) for name in names))


def _handle_command(plan: RolloutPlan | None, entries: Mapping[str, Entry]) -> Step:
    """Carry out or reject the command in the store, and delete the command."""
    try:
        command = msgspec.json.decode(entries[COMMAND_KEY].value, type=RolloutCommand)
    except msgspec.DecodeError:
        command = RolloutCommand("?")
    action = command.action
    delete_command = Delete(COMMAND_KEY)
    if action == "start" and (plan is None or plan.phase in FINISHED_PHASES):
        return _start(command, entries)
    if plan is None:
        reply = f"{action}: there is no roll-out"
        return _step(
            RolloutPlan("", "", (), RolloutPhase.ROLLED_BACK, last_reply=reply), "refused", delete_command
        )
    accepted_in, phase = COMMAND_TRANSITIONS.get(action, (frozenset(), plan.phase))
    if plan.phase in accepted_in:
        reason = f"aborted by {command.requested_by}" if action == "abort" else ""
        next_plan = msgspec.structs.replace(plan.with_phase(phase, reason), last_reply=action)
        return _step(next_plan, action, delete_command)
    reply = f"{action}: refused, the roll-out is {plan.phase.value}"
    return _step(msgspec.structs.replace(plan, last_reply=reply), reply, delete_command)


def _start(command: RolloutCommand, entries: Mapping[str, Entry]) -> Step:
    new_settings = settings_id(command.settings)
    current = entries.get(DESIRED_BY_DEFAULT_KEY)
    old_settings = decode_desired(current.value) if current is not None else ""
    assert old_settings is not None, f"{DESIRED_BY_DEFAULT_KEY} is written by this role alone"
    steps = plan_steps(instance_statuses(entries))
    plan = RolloutPlan(
        new_settings, old_settings, steps, requested_by=command.requested_by, last_reply="started"
    )
    return _step(
        plan,
        f"started: {new_settings} in {len(steps)} steps",
        Delete(COMMAND_KEY),
        Put(SETTINGS_PREFIX + new_settings, command.settings.encode()),
    )
