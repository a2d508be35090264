"""Shared health checks: each ledger node is checked by one instance, which publishes the result.

The module is pure: it does no I/O, and uses no clock or random source of its own.

The assignment depends only on the names of nodes and instances (rendezvous hashing, Thaler and Ravishankar
1998): all instances with the same names agree without communication, and when an instance leaves, only its
own nodes are reassigned. While instances have different names, a node may be checked by two instances or by
none for a short time; neither does harm. A result is stored under `look/NODE`, bound to its author's session,
and is deleted when that session ends.

An instance uses a recent result of another instance instead of checking the node itself. A result may
exclude a node, or readmit the node sooner; a result never ends an operation.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import inf

import msgspec
import xxhash

from coveport.sidecar.leases.keys import INSTANCE_PREFIX
from coveport.sidecar.leases.store import Entry

RESULT_PREFIX = "look/"
RESULT_LIFETIME_S = 2.0  # time after the receipt of a result during which the result is used
REPUBLISH_S = 1.0  # interval at which unchanged results are published again; a change is published at once
OWN_OBSERVATION_LIFETIME_S = 5.0  # time during which an observation of this instance overrides a result
MAX_CLOCK_AHEAD_S = 5.0  # results dated further into the future are ignored: wrong clock


class HealthCheckResult(msgspec.Struct, frozen=True):
    """Result of an instance's check of a node.

    `name` of a field is the field's name in the store, if the two names differ.
    """

    checked_by: str = msgspec.field(name="by")  # incarnation of the author
    checked_at: float = msgspec.field(name="at")  # unix s, by the author's clock
    ok: bool
    latency_ms: float = msgspec.field(default=0.0, name="ms")
    sequence: int = msgspec.field(default=0, name="n")  # number of the result, counted by the author


@dataclass(frozen=True, slots=True)
class ReceivedResult:
    """A result of another instance. Its age counts from its receipt, so that clocks need not agree."""

    result: HealthCheckResult
    received_at: float
    revision: int


@dataclass(frozen=True, slots=True)
class OwnCheck:
    """The last check of a node by this instance; `ok` is the last known result."""

    started_at: float
    ok: bool
    published_at: float


def rendezvous_weight(instance: str, node: str) -> int:
    """Return the weight of an instance for a node; the instance with the highest weight checks it."""
    return xxhash.xxh3_64_intdigest(f"{instance}\0{node}".encode())


def assigned_checker(node: str, instances: Iterable[str]) -> str:
    """Return the instance that checks a node; empty if there are no instances."""
    return max(instances, key=lambda name: (rendezvous_weight(name, node), name), default="")


def assignments(nodes: Iterable[str], instances: Sequence[str]) -> dict[str, list[str]]:
    """Return the nodes that each instance checks."""
    assigned: dict[str, list[str]] = {name: [] for name in instances}
    for node in nodes:
        checker = assigned_checker(node, instances)
        if checker:
            assigned[checker].append(node)
    return assigned


class SharedHealthChecks:
    """Shared health checks at one instance: its assigned nodes, and the received results.

    `now` of all calls is in s of a clock that never steps; `unix` is the wall-clock time, used in published
    results and to reject results from the future.
    """

    def __init__(self, name: str, incarnation: str) -> None:
        self._name = name
        self._incarnation = incarnation
        self._received: dict[str, ReceivedResult] = {}
        self._own_checks: dict[str, OwnCheck] = {}
        self._observed: dict[
            str, tuple[float, bool]
        ] = {}  # by node: when this instance's last operation ended, and whether it succeeded
        self._instances: set[str] = set()
        self._checkers: dict[str, str] = {}  # assigned instance by node, for the current set of instances
        self._sequence = 0

    def checks_to_start(
        self, now: float, nodes: Iterable[str], entries: Mapping[str, Entry], interval_s: float
    ) -> list[str]:
        """Return the nodes assigned to this instance whose last check started at least `interval_s` ago."""
        instances = {key.removeprefix(INSTANCE_PREFIX) for key in entries if key.startswith(INSTANCE_PREFIX)}
        instances.add(self._name)
        if instances != self._instances:
            # Assignments are cached: hashing each pair of node and instance at every check costs too much.
            self._instances = instances
            self._checkers = {}
        return [
            node
            for node in nodes
            if self._checker(node) == self._name and self._is_check_overdue(now, node, interval_s)
        ]

    def _checker(self, node: str) -> str:
        checker = self._checkers.get(node)
        if checker is None:
            checker = self._checkers[node] = assigned_checker(node, self._instances)
        return checker

    def _is_check_overdue(self, now: float, node: str, interval_s: float) -> bool:
        last = self._own_checks.get(node)
        return last is None or now - last.started_at >= interval_s

    def check_started(self, now: float, node: str) -> None:
        """Record the start of a check of a node."""
        last_check = self._last_check(node)
        self._own_checks[node] = OwnCheck(now, last_check.ok, last_check.published_at)

    def check_finished(
        self, now: float, unix: float, node: str, *, ok: bool, latency_ms: float
    ) -> bytes | None:
        """Return the result to publish; None if the same result was published recently."""
        last_check = self._last_check(node)
        publish = last_check.ok is not ok or now - last_check.published_at >= REPUBLISH_S
        self._own_checks[node] = OwnCheck(now, ok, now if publish else last_check.published_at)
        if not publish:
            return None
        self._sequence += 1
        return msgspec.json.encode(
            HealthCheckResult(self._incarnation, unix, ok, round(latency_ms, 2), self._sequence)
        )

    def _last_check(self, node: str) -> OwnCheck:
        return self._own_checks.get(node, OwnCheck(-inf, True, -inf))

    def operation_observed(self, now: float, node: str, *, ok: bool) -> None:
        """Record whether an operation of this instance succeeded at a node."""
        self._observed[node] = now, ok

    def receive(self, now: float, unix: float, node: str, entry: Entry | None) -> HealthCheckResult | None:
        """Handle a changed result of a node; `entry` is None if it was deleted with the author's session.

        Return the result if it differs from the last one; None if not, if this instance is its author, or
        if recent operations of this instance contradict it.
        """
        if entry is None:
            self._received.pop(node, None)
            return None
        try:
            result = msgspec.json.decode(entry.value, type=HealthCheckResult)
        except msgspec.DecodeError:
            return None
        last_received = self._received.get(node)
        outdated = last_received is not None and entry.modified <= last_received.revision
        if outdated or result.checked_at > unix + MAX_CLOCK_AHEAD_S:
            return None
        self._received[node] = ReceivedResult(result, now, entry.modified)
        unchanged = last_received is not None and last_received.result.ok is result.ok
        if unchanged or result.checked_by == self._incarnation:
            return None
        return None if self._contradicts_observation(now, node, result.ok) else result

    def recent_result(self, now: float, node: str) -> HealthCheckResult | None:
        """Return a recent result from another instance, so that this instance need not check the node itself.

        None if there is no such result, or recent operations of this instance contradict the result.
        """
        received = self._received.get(node)
        if received is None or received.result.checked_by == self._incarnation:
            return None
        if now - received.received_at > RESULT_LIFETIME_S:
            return None
        return None if self._contradicts_observation(now, node, received.result.ok) else received.result

    def _contradicts_observation(self, now: float, node: str, ok: bool) -> bool:
        # The author may reach the node by a different network path, so this instance's own observations take
        # precedence.
        observed = self._observed.get(node)
        if observed is None:
            return False
        observed_at, was_ok = observed
        return was_ok is not ok and now - observed_at < OWN_OBSERVATION_LIFETIME_S

    def retain(self, nodes: Iterable[str]) -> None:
        """Discard the data of all other nodes."""
        listed = set(nodes)
        self._own_checks = {node: check for node, check in self._own_checks.items() if node in listed}
        self._received = {node: result for node, result in self._received.items() if node in listed}
        self._observed = {node: observed for node, observed in self._observed.items() if node in listed}
        self._checkers = {node: checker for node, checker in self._checkers.items() if node in listed}
