"""All instances of a host; decides which to start and which hung ones to replace. Pure.

The bounds hold across successive supervisors: a new holder of the role begins with an empty token bucket,
and counts instances that it finds starting as started by itself (docs/design/fleet.md, Safety 4 and 5).
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.commands import Command
from coveport.sidecar.supervisor.desired_state import DesiredState, RestartPhase
from coveport.sidecar.supervisor.instance import Instance
from coveport.sidecar.supervisor.instance_health import InstanceHealth, SuccessRate
from coveport.sidecar.supervisor.instance_state import ACTIVE_STATES, ExitReason, InstanceState

LATE_FRACTION = 0.5  # of `hung_s`, after which a heartbeat is late; instances send four per `hung_s`
MANY_LATE_FRACTION = 0.5  # of the serving instances; above it the supervisor or the host is suspected
MANY_LATE_TIMEOUT_FACTOR = 3.0  # multiplies `hung_s` while many instances are late
MAX_REPLACED_FRACTION = 0.1  # of the instances: the most that may be unavailable at a time, at least one


class InstanceSet:
    """The instances by name. Gives no commands before the desired state is read under the present token."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self._rng = rng
        self.by_name: dict[str, Instance] = {}
        self.desired: DesiredState | None = None
        self._start_tokens = 0.0
        self._refilled_at = 0.0
        self._success: dict[str, SuccessRate] = {}  # last reported success rates, by name

    # The supervisor's role.

    def acquire(self, now: float, running: Mapping[str, str]) -> None:
        """Begin to supervise. `running`: incarnations that hold their names' locks, by name."""
        self.by_name = {}
        self.desired = None
        self._success = {}
        self._start_tokens = 0.0
        self._refilled_at = now
        for name, incarnation in running.items():
            instance = self._get_or_add(name)
            instance.desired = True  # until the desired state is applied
            instance.adopt(now, incarnation)

    def release(self) -> None:
        """Stop supervising: discard all instances and their pending commands."""
        self.by_name = {}
        self.desired = None

    def update_settings(self, now: float, fleet: Fleet) -> None:
        """Use new settings; files that were unusable may be usable now."""
        self.fleet = fleet
        for instance in self.by_name.values():
            instance.update_settings(fleet)
            instance.retry_now(now)

    def _get_or_add(self, name: str) -> Instance:
        if name not in self.by_name:
            self.by_name[name] = Instance(name, self.fleet, self._rng)
        return self.by_name[name]

    # Desired state.

    def apply(self, now: float, desired: DesiredState) -> list[Command]:
        """Apply the desired state that is stored; return the commands for it."""
        if self._is_resumed_by(desired):
            for instance in self.by_name.values():
                instance.retry_now(now)  # by resuming, the operators declare the fault repaired
        self.desired = desired
        names = desired.names(self.fleet)
        commands: list[Command] = []
        for name in sorted(names | self.by_name.keys(), key=self.fleet.number):
            commands += self._get_or_add(name).set_desired(now, name in names)
        restart = desired.restart
        if restart is not None and restart.phase is RestartPhase.RUNNING:
            for name, incarnation in restart.replaced.items():
                if name in self.by_name:
                    commands += self.by_name[name].replace(now, incarnation)
        self._remove_down(names)
        return commands

    def _is_resumed_by(self, desired: DesiredState) -> bool:
        before = None if self.desired is None else self.desired.restart
        after = desired.restart
        if before is None or after is None:
            return False
        return before.phase is RestartPhase.HALTED and after.phase is RestartPhase.RUNNING

    def _remove_down(self, desired_names: frozenset[str]) -> None:
        self.by_name = {
            name: instance
            for name, instance in self.by_name.items()
            if name in desired_names or instance.state is not InstanceState.DOWN
        }

    # Events, by name; those of an incarnation other than the present one are ignored.

    def on_running(self, now: float, name: str, incarnation: str) -> list[Command]:
        """Record a process that holds the lock of this name."""
        return self._get_or_add(name).adopt(now, incarnation)

    def on_started(self, now: float, name: str, incarnation: str) -> list[Command]:
        """Record the process that a Start created."""
        return self.by_name[name].on_started(now, incarnation) if name in self.by_name else []

    def on_start_failed(self, now: float, name: str, reason: str) -> None:
        """Record that no process could be started."""
        if name in self.by_name:
            self.by_name[name].on_start_failed(now, reason)

    def on_unusable_files(self, now: float, name: str, reason: str) -> None:
        """Record that no process was started because its files are unusable."""
        if name in self.by_name:
            self.by_name[name].on_unusable_files(now, reason)

    def on_commands_dropped(self, commands: list[Command]) -> None:
        """Record that these commands were not carried out."""
        for command in commands:
            if command.name in self.by_name:
                self.by_name[command.name].on_command_dropped(command)

    def on_ready(self, now: float, name: str, incarnation: str) -> None:
        """Record the report that an instance serves."""
        if name in self.by_name:
            self.by_name[name].on_ready(now, incarnation)

    def on_heartbeat(
        self, now: float, name: str, incarnation: str, success: SuccessRate | None = None
    ) -> None:
        """Record a heartbeat and the success rate in it, if any."""
        if name not in self.by_name:
            return
        instance = self.by_name[name]
        instance.on_heartbeat(now, incarnation)
        if success is not None and incarnation == instance.incarnation:
            self._success[name] = success

    def on_stopping(self, now: float, name: str, incarnation: str) -> None:
        """Record the report that an instance is shutting down."""
        if name in self.by_name:
            self.by_name[name].on_stopping(now, incarnation)

    def on_exit(self, now: float, name: str, incarnation: str, exit_reason: ExitReason) -> None:
        """Record that an incarnation exited."""
        if name in self.by_name and incarnation == self.by_name[name].incarnation:
            self._success.pop(name, None)
            self.by_name[name].on_exit(now, incarnation, exit_reason)

    def on_stalled(self, now: float) -> None:
        """Reset time-outs and token refill after a stall of the supervisor: reports may be unread."""
        for instance in self.by_name.values():
            instance.reset_timeouts(now)
        self._refilled_at = now

    # Timed commands.

    def tick(self, now: float) -> list[Command]:
        """Return the commands due at this time."""
        if self.desired is None:
            return []
        commands: list[Command] = []
        for instance in self.by_name.values():
            commands += instance.tick(now)
        return commands + self._replace_hung(now) + self._start_waiting(now)

    def _start_waiting(self, now: float) -> list[Command]:
        """Start waiting instances, the longest waiting first, as far as the token bucket allows."""
        refill = max(0.0, now - self._refilled_at) * self.fleet.a_second
        self._start_tokens = min(float(self.fleet.at_once), self._start_tokens + refill)
        self._refilled_at = now
        starting = sum(instance.state is InstanceState.STARTING for instance in self.by_name.values())
        startable = [instance for instance in self.by_name.values() if instance.can_start(now)]
        startable.sort(key=lambda instance: (instance.wait_until, self.fleet.number(instance.name)))
        commands: list[Command] = []
        for instance in startable:
            if self._start_tokens < 1.0 or starting >= self.fleet.at_once:
                break
            self._start_tokens -= 1.0
            starting += 1
            commands += instance.start(now)
        return commands

    def _replace_hung(self, now: float) -> list[Command]:
        """Kill hung instances, those with the oldest heartbeat first, a limited number at a time."""
        hung_s = self.fleet.hung_s
        serving = [instance for instance in self.by_name.values() if instance.state is InstanceState.SERVING]
        hung = [instance for instance in serving if instance.heartbeat_age_s(now) > hung_s]
        if not hung:
            return []
        late = sum(instance.heartbeat_age_s(now) > LATE_FRACTION * hung_s for instance in serving)
        if late > max(1.0, MANY_LATE_FRACTION * len(serving)):
            # Guards against killing healthy instances: many late heartbeats at once indicate a host short of
            # CPU, or the supervisor's socket. Late instances count as well as hung ones, because the last
            # heartbeats before a host stalls do not coincide.
            hung = [
                instance
                for instance in hung
                if instance.heartbeat_age_s(now) > MANY_LATE_TIMEOUT_FACTOR * hung_s
            ]
        hung.sort(key=lambda instance: instance.last_heartbeat_at)
        allowed = max(1, int(MAX_REPLACED_FRACTION * len(self.by_name))) - self._unavailable_count()
        return [command for instance in hung[: max(0, allowed)] for command in instance.kill_hung(now)]

    def _unavailable_count(self) -> int:
        """Count the instances that have a process and do not serve, or are being replaced."""
        return sum(
            bool(instance.replacing)
            or (instance.state is not InstanceState.SERVING and instance.state in ACTIVE_STATES)
            for instance in self.by_name.values()
        )

    # Queries.

    def health(self, now: float) -> dict[str, InstanceHealth]:
        """Return the health of each instance, by name."""
        return {name: self._health_of(now, name, instance) for name, instance in self.by_name.items()}

    def _health_of(self, now: float, name: str, instance: Instance) -> InstanceHealth:
        in_backoff = (
            instance.state is InstanceState.WAITING and instance.wait_until > now and instance.is_failing
        )
        is_faulty = instance.state in (InstanceState.BROKEN, InstanceState.KILLING) or in_backoff
        return InstanceHealth(
            incarnation=instance.incarnation,
            serving_s=now - instance.since if instance.state is InstanceState.SERVING else -1.0,
            fault=instance.reason if is_faulty else "",
            success=self._success.get(name, SuccessRate()),
        )

    @property
    def has_no_process(self) -> bool:
        """Whether no process runs or is being started."""
        return all(instance.state not in ACTIVE_STATES for instance in self.by_name.values())
