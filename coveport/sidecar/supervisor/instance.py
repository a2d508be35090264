"""The supervisor's state machine for one instance, from events to commands. Pure.

An *incarnation* is one process of an instance, under an identity that is never reused. An event of an
incarnation other than the present one is ignored, so late events do no harm. Times are those of the caller's
monotonic clock, s.
"""

from __future__ import annotations

import random
from math import inf

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.commands import Command, Drain, Kill, Start
from coveport.sidecar.supervisor.instance_state import ACTIVE_STATES, TRANSITIONS, ExitReason, InstanceState

KILL_REPEAT_S = 5.0  # until SIGKILL is repeated, if no exit was reported
BACKOFF_JITTER = (0.5, 1.0)  # range of factors; spreads the restarts of instances that crashed together
REST_JITTER = (0.8, 1.2)


class Instance:
    """The state of one instance, and the reason for it.

    Attributes:
        incarnation: identity of the instance's process; empty if no process is known.
        desired: whether the instance should run.
        wait_until: in WAITING and BROKEN, the earliest time of the next start.
        last_heartbeat_at: time of the last heartbeat from the instance's event loop.
        reason: why the instance is in its state, shown to operators.
        exits: number of incarnations whose exit this supervisor recorded.
        replacing: the hung incarnation that is being killed; empty if there is none.

    """

    def __init__(self, name: str, settings: Fleet, rng: random.Random) -> None:
        self.name = name
        self._settings = settings
        self._rng = rng
        self.state = InstanceState.DOWN
        self.since = -inf
        self.incarnation = ""
        self.desired = False
        self.wait_until = -inf
        self.last_heartbeat_at = -inf
        self.reason = ""
        self.exits = 0
        self.replacing = ""
        self._failure_times: list[float] = []  # times of the failures in the last `loop_s`
        self._exit_is_failure = False  # whether the exit of a process being stopped or killed is a failure
        self._single_attempt = False  # set after a rest in BROKEN: the next failure leads back to BROKEN
        self._dropped_drain = ""  # the incarnation whose Drain was dropped and must be repeated

    @property
    def is_failing(self) -> bool:
        """Whether recent incarnations failed."""
        return bool(self._failure_times)

    def update_settings(self, settings: Fleet) -> None:
        """Use these settings from now on."""
        self._settings = settings

    # Desired state.

    def set_desired(self, now: float, desired: bool) -> list[Command]:
        """Set whether the instance should run; return the commands for that."""
        self.desired = desired
        if desired:
            if self.state is InstanceState.DOWN:
                self._transition(now, InstanceState.WAITING)
                self.wait_until = now
            return []
        if self.state in (InstanceState.WAITING, InstanceState.BROKEN):
            self._transition(now, InstanceState.DOWN)
            self._failure_times = []
            self._single_attempt = False
        elif self.state in (InstanceState.STARTING, InstanceState.SERVING):
            return self._drain(now, "not wanted")
        return []

    def replace(self, now: float, incarnation: str) -> list[Command]:
        """Drain this incarnation so that a new one is started; do nothing if it has already exited."""
        is_present = bool(incarnation) and incarnation == self.incarnation
        if is_present and self.state in (InstanceState.STARTING, InstanceState.SERVING):
            return self._drain(now, "restart")
        return []

    def retry_now(self, now: float) -> None:
        """End the backoff or rest: the cause of the failures may be repaired."""
        if self.state is InstanceState.BROKEN:
            self._end_rest(now)
        if self.state is InstanceState.WAITING:
            self.wait_until = min(self.wait_until, now)

    def _drain(self, now: float, reason: str) -> list[Command]:
        self._transition(now, InstanceState.STOPPING, reason)
        self._exit_is_failure = False
        # Before the process is started there is nothing to signal; on_started() drains it.
        return [Drain(self.name, self.incarnation)] if self.incarnation else []

    # Start.

    def can_start(self, now: float) -> bool:
        """Return whether the instance needs only a start token to be started."""
        return self.state is InstanceState.WAITING and now >= self.wait_until

    def start(self, now: float) -> list[Command]:
        """Start the instance."""
        self._transition(now, InstanceState.STARTING)
        self.last_heartbeat_at = now
        return [Start(self.name)]

    def on_started(self, now: float, incarnation: str) -> list[Command]:
        """Record the process that its Start created; return the commands now due for it."""
        if self.incarnation or self.state not in ACTIVE_STATES:
            return []
        self.incarnation = incarnation
        if self.state is InstanceState.STOPPING:
            return [Drain(self.name, incarnation)]
        return [Kill(self.name, incarnation)] if self.state is InstanceState.KILLING else []

    def on_start_failed(self, now: float, reason: str) -> None:
        """Record that no process could be started."""
        if self.state in ACTIVE_STATES and not self.incarnation:
            self._after_exit(now, True, reason)

    def on_unusable_files(self, now: float, reason: str) -> None:
        """Record that no process was started because its files are unusable."""
        if self.state is InstanceState.STARTING and not self.incarnation:
            self._set_broken(now, reason)
        else:
            self.on_start_failed(now, reason)

    def adopt(self, now: float, incarnation: str) -> list[Command]:
        """Adopt a process that this supervisor did not start, or had recorded as exited."""
        if self.incarnation or self.state in ACTIVE_STATES:
            return []
        not_desired = self.state is InstanceState.DOWN and not self.desired
        self._transition(now, InstanceState.STARTING)
        self.incarnation = incarnation
        self.last_heartbeat_at = now
        return self._drain(now, "not wanted") if not_desired else []

    # Reports of its process.

    def on_ready(self, now: float, incarnation: str) -> None:
        """Record the report that the instance serves."""
        if incarnation == self.incarnation and incarnation:
            self.last_heartbeat_at = now
            if self.state is InstanceState.STARTING:
                self._transition(now, InstanceState.SERVING)

    def on_heartbeat(self, now: float, incarnation: str) -> None:
        """Record a heartbeat of the instance's event loop."""
        if incarnation == self.incarnation:
            self.last_heartbeat_at = now

    def on_stopping(self, now: float, incarnation: str) -> None:
        """Record the report that the instance is shutting down, by whatever cause."""
        is_present = bool(incarnation) and incarnation == self.incarnation
        if is_present and self.state in (InstanceState.STARTING, InstanceState.SERVING):
            self._transition(now, InstanceState.STOPPING, "it was told to end")
            self._exit_is_failure = False

    def on_exit(self, now: float, incarnation: str, exit_reason: ExitReason) -> None:
        """Record that an incarnation exited."""
        if incarnation != self.incarnation or not incarnation:
            return
        self.incarnation = ""
        self.exits += 1
        if self.state in (InstanceState.STOPPING, InstanceState.KILLING):
            self._after_exit(now, self._exit_is_failure, self.reason)
        elif exit_reason is ExitReason.NAME_LOCKED:
            # The next scan of the locks finds the process that holds the name.
            self._wait(now, self._settings.backoff_s, "its name is held")
        elif exit_reason is ExitReason.CLEAN and self.state is InstanceState.SERVING:
            self._wait(now, self._settings.backoff_s, "it ended by itself")
        elif exit_reason is ExitReason.UNUSABLE_FILES:
            self._set_broken(now, "its files can't be used")
        else:
            self._after_exit(now, True, f"it ended: {exit_reason.value}")

    # Time-outs.

    def heartbeat_age_s(self, now: float) -> float:
        """Return the time since the last heartbeat, s; 0 in a state without heartbeats."""
        return now - self.last_heartbeat_at if self.state is InstanceState.SERVING else 0.0

    def kill_hung(self, now: float) -> list[Command]:
        """Kill the instance because its heartbeats have stopped."""
        if self.state is not InstanceState.SERVING:
            return []
        self._transition(now, InstanceState.KILLING, "no sign of its loop")
        self._exit_is_failure = True
        self.replacing = self.incarnation
        return [Kill(self.name, self.incarnation)]

    def on_command_dropped(self, command: Command) -> None:
        """Record that a command was not carried out.

        Only a Drain is recorded: a dropped Start is detected by the missing process, and a Kill is repeated
        anyway.
        """
        if isinstance(command, Drain):
            self._dropped_drain = command.incarnation

    def tick(self, now: float) -> list[Command]:
        """Return the commands due now. All earlier commands must have been carried out or dropped."""
        if self.state in ACTIVE_STATES and not self.incarnation:
            self._after_exit(now, False, "its start was not carried out")
            return []
        if self.state is InstanceState.STOPPING and self._dropped_drain == self.incarnation:
            self._dropped_drain = ""
            self.since = now  # `stop_s` counts from the Drain that is carried out
            return [Drain(self.name, self.incarnation)]
        if self.state is InstanceState.BROKEN and now >= self.wait_until:
            self._end_rest(now)
        if self.state is InstanceState.SERVING and now - self.since > self._settings.loop_s:
            self._failure_times = []
            self._single_attempt = False
        return self._kill_if_late(now)

    def _kill_if_late(self, now: float) -> list[Command]:
        elapsed_s = now - self.since
        if self.state is InstanceState.STARTING and elapsed_s > self._settings.ready_s:
            self._transition(now, InstanceState.KILLING, "not ready in time")
            self._exit_is_failure = True
        elif self.state is InstanceState.STOPPING and elapsed_s > self._settings.stop_s:
            self._transition(now, InstanceState.KILLING, "it did not end in time")
        elif self.state is InstanceState.KILLING and elapsed_s > KILL_REPEAT_S:
            self.since = now
        else:
            return []
        return [Kill(self.name, self.incarnation)]

    def reset_timeouts(self, now: float) -> None:
        """Restart the time-outs now: earlier reports may not have been received."""
        self.last_heartbeat_at = max(self.last_heartbeat_at, now)
        if self.state in (InstanceState.STARTING, InstanceState.STOPPING):
            self.since = max(self.since, now)

    # Transitions.

    def _transition(self, now: float, state: InstanceState, reason: str = "") -> None:
        if state not in TRANSITIONS[self.state]:
            raise AssertionError(f"{self.name}: no transition from {self.state.value} to {state.value}")
        self.state = state
        self.since = now
        self.reason = reason

    def _after_exit(self, now: float, is_failure: bool, reason: str) -> None:
        """Change to DOWN, WAITING or BROKEN after the process exited or could not be started."""
        self.replacing = ""
        if not self.desired:
            self._transition(now, InstanceState.DOWN)
        elif is_failure:
            self._after_failure(now, reason)
        else:
            self._wait(now, 0.0, reason)

    def _after_failure(self, now: float, reason: str) -> None:
        loop_s = self._settings.loop_s
        self._exit_is_failure = False
        self._failure_times = [at for at in self._failure_times if now - at < loop_s] + [now]
        failures = len(self._failure_times)
        if self._single_attempt or failures >= self._settings.loop:
            self._set_broken(now, f"ended {failures} times in {loop_s:g} s: {reason}")
            return
        backoff_s = min(self._settings.backoff_most_s, self._settings.backoff_s * 2 ** (failures - 1))
        self._wait(now, backoff_s * self._rng.uniform(*BACKOFF_JITTER), reason)

    def _wait(self, now: float, wait_s: float, reason: str) -> None:
        if not self.desired:
            self._transition(now, InstanceState.DOWN)
            return
        self._transition(now, InstanceState.WAITING, reason)
        self.wait_until = now + wait_s

    def _set_broken(self, now: float, reason: str) -> None:
        if self.state is InstanceState.STOPPING or not self.desired:
            self._wait(now, self._settings.backoff_most_s, reason)
            return
        self._transition(now, InstanceState.BROKEN, reason)
        self.wait_until = now + self._settings.rest_s * self._rng.uniform(*REST_JITTER)

    def _end_rest(self, now: float) -> None:
        self._transition(now, InstanceState.WAITING, self.reason)
        self._failure_times = []
        self._single_attempt = True
