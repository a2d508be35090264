"""Shared health checks: each ledger node is checked by one instance, which publishes the result. Pure.

Which instance checks which node follows from the names alone (rendezvous hashing, Thaler and Ravishankar
1998): all instances that see the same names agree without a message, and when one leaves only its own nodes
move. Where they see different names two instances check one node, or none does for a moment; neither does
harm. A result stands under `look/NODE`, bound to its author's session, so it goes when the author does.

An instance that would check a node takes another's recent result instead. A result may keep a node out or
let it in sooner; it never ends an operation.
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
RESULT_LIFETIME_S = 2.0  # a result is used for so long after it was received
REPUBLISH_S = 1.0  # an unchanged result is published again after so long, a change at once
OWN_OBSERVATION_LIFETIME_S = 5.0  # what our own operations saw overrides a result for so long
MAX_CLOCK_AHEAD_S = 5.0  # a result dated further into the future comes from a wrong clock: it is ignored


class HealthCheckResult(msgspec.Struct, frozen=True):
    """Result of one instance's check of a node. Names in the store differ where a `name` is given."""

    checked_by: str = msgspec.field(name="by")  # incarnation
    checked_at: float = msgspec.field(name="at")  # unix s, by the author's clock
    ok: bool
    latency_ms: float = msgspec.field(default=0.0, name="ms")
    sequence: int = msgspec.field(default=0, name="n")  # the author's count of results published


@dataclass(frozen=True, slots=True)
class ReceivedResult:
    """Another's result as it came to us: its age counts from then, whatever the clocks say."""

    result: HealthCheckResult
    received_at: float
    revision: int


@dataclass(frozen=True, slots=True)
class OwnCheck:
    """The last check of ours of a node; `ok` is the result that was last known."""

    started_at: float
    ok: bool
    published_at: float


def rendezvous_weight(instance: str, node: str) -> int:
    """Return the weight of an instance for a node; the highest one checks it."""
    return xxhash.xxh3_64_intdigest(f"{instance}\0{node}".encode())


def assigned_checker(node: str, instances: Iterable[str]) -> str:
    """Return which instance checks a node; empty if there is none."""
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
    """One instance's part: the nodes it is to check, and the results it has received.

    `now` of all calls is a clock of this instance that never steps, in s; `unix` is only published.
    """

    def __init__(self, name: str, incarnation: str) -> None:
        self._name = name
        self._incarnation = incarnation
        self._received: dict[str, ReceivedResult] = {}
        self._own_checks: dict[str, OwnCheck] = {}
        self._observed: dict[str, tuple[float, bool]] = {}  # by our own operations: when last, and whether ok
        self._instances: set[str] = set()
        self._checkers: dict[str, str] = {}  # by node, while the same instances are registered
        self._sequence = 0

    def checks_to_start(
        self, now: float, nodes: Iterable[str], entries: Mapping[str, Entry], interval_s: float
    ) -> list[str]:
        """Return the nodes assigned to this instance whose last check is `interval_s` ago."""
        instances = {key.removeprefix(INSTANCE_PREFIX) for key in entries if key.startswith(INSTANCE_PREFIX)}
        instances.add(self._name)
        if instances != self._instances:
            # Assignments are kept: a hash for each pair of node and instance at every check is too much.
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
        """Note that a check of a node starts."""
        before = self._last_check(node)
        self._own_checks[node] = OwnCheck(now, before.ok, before.published_at)

    def check_finished(
        self, now: float, unix: float, node: str, *, ok: bool, latency_ms: float
    ) -> bytes | None:
        """Return the result to publish; None if it is neither a change nor due again."""
        before = self._last_check(node)
        publish = before.ok is not ok or now - before.published_at >= REPUBLISH_S
        self._own_checks[node] = OwnCheck(now, ok, now if publish else before.published_at)
        if not publish:
            return None
        self._sequence += 1
        return msgspec.json.encode(
            HealthCheckResult(self._incarnation, unix, ok, round(latency_ms, 2), self._sequence)
        )

    def _last_check(self, node: str) -> OwnCheck:
        return self._own_checks.get(node, OwnCheck(-inf, True, -inf))

    def operation_observed(self, now: float, node: str, *, ok: bool) -> None:
        """Note what an operation of our own saw of a node."""
        self._observed[node] = now, ok

    def receive(self, now: float, unix: float, node: str, entry: Entry | None) -> HealthCheckResult | None:
        """Take another's result for a node (None: it went with its author's session).

        Return it if it changes what is known; None if not, if it is our own, or if our own operations saw
        otherwise lately.
        """
        if entry is None:
            self._received.pop(node, None)
            return None
        try:
            result = msgspec.json.decode(entry.value, type=HealthCheckResult)
        except msgspec.DecodeError:
            return None
        before = self._received.get(node)
        overtaken = before is not None and entry.modified <= before.revision
        if overtaken or result.checked_at > unix + MAX_CLOCK_AHEAD_S:
            return None
        self._received[node] = ReceivedResult(result, now, entry.modified)
        unchanged = before is not None and before.result.ok is result.ok
        if unchanged or result.checked_by == self._incarnation:
            return None
        return None if self._observed_otherwise(now, node, result.ok) else result

    def recent_result(self, now: float, node: str) -> HealthCheckResult | None:
        """Return another's recent result, in place of a check of our own; None if there is none."""
        received = self._received.get(node)
        if received is None or received.result.checked_by == self._incarnation:
            return None
        if now - received.received_at > RESULT_LIFETIME_S:
            return None
        return None if self._observed_otherwise(now, node, received.result.ok) else received.result

    def _observed_otherwise(self, now: float, node: str, ok: bool) -> bool:
        # The author may reach the node by another path than we do: what our own operations saw counts more.
        observed = self._observed.get(node)
        if observed is None:
            return False
        at, was_ok = observed
        return was_ok is not ok and now - at < OWN_OBSERVATION_LIFETIME_S

    def retain(self, nodes: Iterable[str]) -> None:
        """Forget all nodes but these."""
        listed = set(nodes)
        self._own_checks = {node: check for node, check in self._own_checks.items() if node in listed}
        self._received = {node: result for node, result in self._received.items() if node in listed}
        self._observed = {node: seen for node, seen in self._observed.items() if node in listed}
        self._checkers = {node: checker for node, checker in self._checkers.items() if node in listed}
