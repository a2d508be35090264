"""A simulated host: processes with names, locks and notifications, and each supervisor's control of them.

A process starts slowly, reports ready, sends heartbeats, hangs, crashes, and exits when it is drained. The
host logs who was started, drained and killed, by whom and when; the judge reads that.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from math import inf

from coveport.sidecar.config.operator_sections import Fleet
from coveport.sidecar.supervisor.instance_state import ExitReason
from coveport.sidecar.supervisor.process_control import InstanceProcess, OnExit
from coveport.testbed.simulated_network.world import Process, World

HEARTBEATS_PER_TIMEOUT = 4
HEALTHY_SUCCESS = "1.0/50"  # as `X_SERVED` has it
LOSS_WHILE_STALLED = 0.98  # of notifications to a stalled supervisor: its socket's queue is short
NOTIFICATION_S = 0.0005
NAME_LOCKED_EXIT_S = 0.1
UNUSABLE_FILES_EXIT_S = 0.15
START_JITTER = (0.5, 1.5)  # factors, also of the time to a crash
DRAIN_S = (0.3, 1.2)
FIRST_PID = 1000

OnNotification = Callable[[int, dict[str, str]], None]


class EventKind(StrEnum):
    """What happened to a process."""

    START = "start"
    HELD = "held"  # it found its name locked
    READY = "ready"
    DRAIN = "drain"
    KILL = "kill"
    ENDED = "ended"
    HUNG = "hung"


@dataclass(frozen=True, slots=True)
class Event:
    """An event of the host's log. `by`: the supervisor; empty if it was none. `until`: of a hang."""

    at: float
    kind: EventKind
    name: str
    incarnation: str
    by: str = ""
    until: float = 0.0


@dataclass
class SimInstance:
    """One process of an instance."""

    name: str
    incarnation: str
    pid: int
    started: float
    holds_lock: bool = True
    is_alive: bool = True
    is_ready: bool = False
    draining_since: float = inf
    frozen_until: float = -inf  # until then it sends nothing and does nothing


@dataclass
class Faults:
    """What is wrong with processes that are started from now on."""

    crash_after_s: dict[str, float] = field(default_factory=dict)  # by name; "" for all
    are_files_unusable: bool = False
    ready_after_s: float = 0.4  # times a jitter


class SimHost:
    """The host. `are_names_locked`: whether names have locks at all."""

    def __init__(self, world: World, fleet: Fleet, rng: random.Random) -> None:
        self.world = world
        self.fleet = fleet
        self._rng = rng
        self.faults = Faults()
        self.running: dict[str, SimInstance] = {}  # by incarnation
        self.events: list[Event] = []
        self.controls: list[SimProcessControl] = []
        self.receiver: tuple[Process, OnNotification] | None = None  # who has the notification socket
        self.are_names_locked = True
        self._last_pid = FIRST_PID

    def log(self, kind: EventKind, instance: SimInstance, by: str = "", until: float = 0.0) -> None:
        """Log an event."""
        self.events.append(Event(self.world.now, kind, instance.name, instance.incarnation, by, until))

    def lock_owner(self, name: str) -> SimInstance | None:
        """Return the process that holds a name's lock."""
        return next(
            (instance for instance in self.running.values() if instance.name == name and instance.holds_lock),
            None,
        )

    def start(self, name: str, by: str) -> SimInstance:
        """Start a process for an instance."""
        self._last_pid += 1
        now = self.world.now
        instance = SimInstance(name, f"{self._last_pid}.{now:.3f}.sim", self._last_pid, now)
        self.running[instance.incarnation] = instance
        self.log(EventKind.START, instance, by)
        owner = self.lock_owner(name)
        if self.are_names_locked and owner is not None and owner is not instance:
            instance.holds_lock = False
            self.log(EventKind.HELD, instance)
            self.world.at(now + NAME_LOCKED_EXIT_S, self.end, instance, ExitReason.NAME_LOCKED)
            return instance
        if self.faults.are_files_unusable:
            self.world.at(now + UNUSABLE_FILES_EXIT_S, self.end, instance, ExitReason.UNUSABLE_FILES)
            return instance
        crash_after_s = self.faults.crash_after_s.get(name, self.faults.crash_after_s.get("", inf))
        if crash_after_s < inf:
            crash_at = now + crash_after_s * self._rng.uniform(*START_JITTER)
            self.world.at(crash_at, self.end, instance, ExitReason.CRASH)
        ready_at = now + self.faults.ready_after_s * self._rng.uniform(*START_JITTER)
        self.world.at(ready_at, self._become_ready, instance)
        return instance

    def _become_ready(self, instance: SimInstance) -> None:
        if not instance.is_alive or instance.draining_since < inf:
            return
        if self.world.now < instance.frozen_until:
            self.world.at(instance.frozen_until, self._become_ready, instance)
            return
        instance.is_ready = True
        self.log(EventKind.READY, instance)
        self._send_heartbeat(instance)

    def _send_heartbeat(self, instance: SimInstance) -> None:
        if not instance.is_alive:
            return
        if self.world.now < instance.frozen_until:
            self.world.at(instance.frozen_until, self._send_heartbeat, instance)
            return
        state = "READY" if instance.draining_since == inf else "STOPPING"
        self._notify(instance, {state: "1", "WATCHDOG": "1", "X_SERVED": HEALTHY_SUCCESS})
        next_at = self.world.now + self.fleet.hung_s / HEARTBEATS_PER_TIMEOUT
        self.world.at(next_at, self._send_heartbeat, instance)

    def _notify(self, instance: SimInstance, variables: dict[str, str]) -> None:
        """Send a datagram to whoever has the notification socket now."""
        if self.receiver is not None and self.receiver[0].alive:
            process, on_notification = self.receiver
            if not process.idle and self._rng.random() < LOSS_WHILE_STALLED:
                return
            received_at = self.world.now + NOTIFICATION_S
            self.world.at(received_at, on_notification, instance.pid, variables, process=process)

    def freeze(self, instance: SimInstance, duration_s: float) -> None:
        """Stop a process for so long, as SIGSTOP does."""
        instance.frozen_until = max(instance.frozen_until, self.world.now + duration_s)
        self.log(EventKind.HUNG, instance, until=instance.frozen_until)

    def drain(self, instance: SimInstance) -> None:
        """Send SIGTERM."""
        if instance.is_alive and instance.draining_since == inf:
            instance.draining_since = self.world.now
            self._notify(instance, {"STOPPING": "1"})
            self._finish_draining(instance)

    def _finish_draining(self, instance: SimInstance) -> None:
        if self.world.now < instance.frozen_until:
            self.world.at(instance.frozen_until, self._finish_draining, instance)
        else:
            exit_at = self.world.now + self._rng.uniform(*DRAIN_S)
            self.world.at(exit_at, self.end, instance, ExitReason.CLEAN)

    def end(self, instance: SimInstance, reason: ExitReason) -> None:
        """End a process: its lock is released, and supervisors that watch it are told."""
        if not instance.is_alive:
            return
        if reason is not ExitReason.CRASH and self.world.now < instance.frozen_until:
            self.world.at(instance.frozen_until, self.end, instance, reason)
            return
        instance.is_alive = False
        del self.running[instance.incarnation]
        self.log(EventKind.ENDED, instance)
        for control in self.controls:
            control.report_exit(instance, reason)


class SimProcessControl:
    """One supervisor's control of the host's processes."""

    def __init__(self, host: SimHost, process: Process, name: str) -> None:
        self.host = host
        self.process = process
        self.name = name
        self.on_exit: OnExit = lambda name, incarnation, reason: None
        self._watched: set[str] = set()
        host.controls.append(self)

    def find_running(self) -> dict[str, str]:
        """Return the incarnations that hold a lock, by name."""
        running = {
            instance.name: instance.incarnation
            for instance in self.host.running.values()
            if instance.holds_lock
        }
        self._watched.update(running.values())
        return running

    def start(self, name: str) -> str:
        """Start a process."""
        instance = self.host.start(name, self.name)
        self._watched.add(instance.incarnation)
        return instance.incarnation

    def drain(self, incarnation: str) -> None:
        """Send SIGTERM."""
        instance = self.host.running.get(incarnation)
        if instance is not None and incarnation in self._watched:
            self.host.log(EventKind.DRAIN, instance, self.name)
            self.host.drain(instance)

    def kill(self, incarnation: str) -> None:
        """Send SIGKILL."""
        instance = self.host.running.get(incarnation)
        if instance is not None and incarnation in self._watched:
            self.host.log(EventKind.KILL, instance, self.name)
            self.host.end(instance, ExitReason.CRASH)

    def close_listener(self, name: str) -> None:
        """Do nothing: the simulated host has no listening sockets."""

    def identify(self, pid: int) -> InstanceProcess | None:
        """Return the watched process with this PID."""
        return next(
            (
                InstanceProcess(instance.name, instance.incarnation)
                for instance in self.host.running.values()
                if instance.pid == pid and instance.incarnation in self._watched
            ),
            None,
        )

    def stop_watching(self) -> None:
        """Watch no process any more."""
        self._watched.clear()

    def report_exit(self, instance: SimInstance, reason: ExitReason) -> None:
        """Report an exit to the supervisor, if it watched the process and is alive itself."""
        if instance.incarnation in self._watched and self.process.alive:
            self._watched.discard(instance.incarnation)
            exit_ = (instance.name, instance.incarnation, reason)
            self.host.world.soon(self._report, exit_, self.process)

    def _report(self, name: str, incarnation: str, reason: ExitReason) -> None:
        self.on_exit(name, incarnation, reason)
