"""Coordinator of slow start: grants instances shares of a warming node's safe load.

The module is pure: it does no I/O, and uses no clock or random source of its own.

Shares are whole operations. Each zone has one coordinator. The formats of the store are in
`slow_start_messages`, an instance's part in `slow_start_client`.

Times of different clocks are never compared. An instance may use a grant while its own clock is below
requested_at + G. The instance read requested_at from its clock before the grant was written, so no grant is
used later than G after the grant was written, by any clock within the drift. The coordinator counts a grant
as in use for G' = G (1 + drift) after writing the grant. A successor can't use times of its predecessor's
clock and counts from its takeover, which is later.

Let W be the window of a node's safe load, and B(age) the number of operations that a node of that age can
carry out in that window; it never falls with age. Operations that arrive within W were granted within W + G'
at most. So if

    granted in the last W + G'  <=  GRANTED_SHARE * B(age - W - G')

the granted operations in any window stay below GRANTED_SHARE of the safe load at the start of the window.
Instances without a grant (no store, no coordinator, an expired grant) divide a part of the load by the number
of instances, which the balancer limits to SLOW_START_BUDGET_FRACTION of B.
GRANTED_SHARE + SLOW_START_BUDGET_FRACTION < 1, so both together stay below the safe load under any partition.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import ceil

import msgspec
import xxhash

from coveport.sidecar.leases.keys import INSTANCE_PREFIX
from coveport.sidecar.leases.store import Entry, Put
from coveport.sidecar.singletons.singleton import Step
from coveport.sidecar.singletons.slow_start_messages import (
    GRANT_LIFETIME_S,
    GRANT_PREFIX,
    REQUEST_PREFIX,
    ROLE_NAME_PREFIX,
    CapacityGrant,
    CapacityRequest,
    CoordinatorState,
    OutstandingGrant,
    SafeLoad,
)

GRANTED_SHARE = 0.4  # share of a node's safe load that all grants together may use
DECISION_INTERVAL_S = 0.25
MAX_GRANTS_PER_STEP = 100  # etcd accepts at most 128 operations in a transaction


def apportion(total: int, weights: Mapping[str, float], salt: str) -> dict[str, int]:
    """Return whole shares of `total` by weight, with the rest assigned by the largest remainders.

    Ties are ordered by a hash of the name and `salt`, so that they don't favour the same name each time.
    """
    weight_sum = sum(weights.values())
    if total <= 0 or weight_sum <= 0:
        return {}
    exact = {name: total * weight / weight_sum for name, weight in weights.items()}
    shares = {name: int(share) for name, share in exact.items()}
    rest = total - sum(shares.values())
    by_remainder = sorted(
        exact,
        key=lambda name: (shares[name] - exact[name], xxhash.xxh3_64_intdigest(f"{salt}\0{name}".encode())),
    )
    for name in by_remainder[:rest]:
        shares[name] += 1
    return {name: share for name, share in shares.items() if share}


class SlowStartCoordinator:
    """Singleton role that grants capacity in one zone.

    `incarnation` marks the states that the coordinator writes; `drift` is the share by which two clocks may
    differ.
    """

    def __init__(
        self,
        zone: int,
        incarnation: str,
        safe_load: SafeLoad,
        drift: float,
        interval_s: float = DECISION_INTERVAL_S,
    ) -> None:
        self.name = f"{ROLE_NAME_PREFIX}{zone}"
        self.interval_s = interval_s
        self._zone = zone
        self._incarnation = incarnation
        self._safe_load = safe_load
        self.in_use_s = GRANT_LIFETIME_S * (1 + drift)  # G': time during which a grant counts as in use
        # A predecessor's state, and when this process first read the state.
        self._adopted: tuple[bytes | None, float] | None = None
        self._has_written = False  # whether this process has written a state
        # By instance: time of its request by the instance's clock, and when this process first read the
        # request, by this process' clock.
        self._requests_seen: dict[str, tuple[float, float]] = {}

    @property
    def _span_s(self) -> float:
        """W + G': operations granted within this time may arrive within one window."""
        return self._safe_load.overload_window_s + self.in_use_s

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """Return the step that answers the open requests within the nodes' safe load."""
        stored = msgspec.json.decode(state, type=CoordinatorState) if state else None
        if stored is None:
            stored = CoordinatorState(self._incarnation)
        if stored.written_by != self._incarnation or not self._has_written:
            stored = self._adopt(now, state, stored)
        return self._answer_requests(now, stored, entries)

    def _adopt(self, now: float, state: bytes | None, stored: CoordinatorState) -> CoordinatorState:
        """Take over a predecessor's state, and date all its grants at the first read of that state.

        The predecessor may be an earlier process of this instance. Its grants may be in use for a full
        lifetime from that read on.
        """
        if self._adopted is None or self._adopted[0] != state:
            self._adopted = state, now
        adopted_at = self._adopted[1]
        outstanding = {
            node: [OutstandingGrant(adopted_at, sum(grant.operations for grant in grants))]
            for node, grants in stored.outstanding.items()
        }
        return CoordinatorState(self._incarnation, stored.step, outstanding, stored.answered)

    def _answer_requests(
        self, now: float, stored: CoordinatorState, entries: Mapping[str, Entry]
    ) -> Step | None:
        requests = self._open_requests(now, stored, entries)
        outstanding = {
            node: [grant for grant in grants if now - grant.granted_at <= self._span_s]
            for node, grants in stored.outstanding.items()
        }
        granted: dict[str, dict[str, int]] = {name: {} for name in requests}
        for node in self._requested_nodes(requests):
            operations = self._apportion_node(node, requests, outstanding.get(node, ()), stored.step)
            for name, count in operations.items():
                granted[name][node] = count
            if operations:
                outstanding.setdefault(node, []).append(OutstandingGrant(now, sum(operations.values())))
        granted = {name: operations for name, operations in granted.items() if operations}
        if not granted:
            return None
        self._has_written = True
        return self._step(stored, entries, requests, outstanding, granted)

    def _requested_nodes(self, requests: Mapping[str, CapacityRequest]) -> list[str]:
        return sorted(
            {
                node
                for request in requests.values()
                for node, (zone, _) in request.nodes.items()
                if zone == self._zone
            }
        )

    def _apportion_node(
        self,
        node: str,
        requests: Mapping[str, CapacityRequest],
        outstanding: Sequence[OutstandingGrant],
        step: int,
    ) -> dict[str, int]:
        """Return how many operations on this node to grant, by name of the requesting instance."""
        requesting = {name: request for name, request in requests.items() if node in request.nodes}
        # The lowest age and the longest mean time of an operation that any instance reports.
        age_s = min(request.nodes[node][1] for request in requesting.values())
        service_s = max(request.service_s for request in requesting.values())
        grantable = GRANTED_SHARE * self._safe_load.operations(age_s - self._span_s, service_s)
        available = int(grantable) - sum(grant.operations for grant in outstanding)
        weights = {name: request.rate_per_s for name, request in requesting.items()}
        shares = apportion(available, weights, f"{node} {step}")
        # Capacity beyond the rate of an instance would be unused, and unavailable to other instances.
        return {
            name: min(share, ceil(requesting[name].rate_per_s * GRANT_LIFETIME_S))
            for name, share in shares.items()
        }

    def _step(
        self,
        stored: CoordinatorState,
        entries: Mapping[str, Entry],
        requests: Mapping[str, CapacityRequest],
        outstanding: Mapping[str, list[OutstandingGrant]],
        granted: Mapping[str, dict[str, int]],
    ) -> Step:
        step = stored.step + 1
        answered = {
            name: requested_at
            for name, requested_at in stored.answered.items()
            if INSTANCE_PREFIX + name in entries
        }
        answered |= {name: requests[name].requested_at for name in granted}
        next_state = CoordinatorState(
            self._incarnation,
            step,
            {node: grants for node, grants in outstanding.items() if grants},
            answered,
        )
        puts = []
        for name, operations in granted.items():
            request = requests[name]
            grant = CapacityGrant(request.incarnation, request.requested_at, step, operations)
            puts.append(Put(f"{GRANT_PREFIX}{self._zone}/{name}", msgspec.json.encode(grant)))
        total = sum(sum(operations.values()) for operations in granted.values())
        return Step(msgspec.json.encode(next_state), f"granted {total} to {len(granted)}", tuple(puts))

    def _open_requests(
        self, now: float, stored: CoordinatorState, entries: Mapping[str, Entry]
    ) -> dict[str, CapacityRequest]:
        """Return the requests of registered instances to answer, as many as fit in a step."""
        requests: dict[str, CapacityRequest] = {}
        for key, entry in entries.items():
            name = key.removeprefix(REQUEST_PREFIX)
            if name == key or INSTANCE_PREFIX + name not in entries:
                continue
            try:
                request = msgspec.json.decode(entry.value, type=CapacityRequest)
            except msgspec.DecodeError:
                continue
            if self._is_open(now, name, request, stored) and len(requests) < MAX_GRANTS_PER_STEP:
                requests[name] = request
        return requests

    def _is_open(self, now: float, name: str, request: CapacityRequest, stored: CoordinatorState) -> bool:
        first_read = self._requests_seen.get(name)
        if first_read is None or first_read[0] != request.requested_at:
            first_read = self._requests_seen[name] = request.requested_at, now
        if now - first_read[1] > GRANT_LIFETIME_S / 2:
            return False  # a grant would expire before the instance can use the grant
        if request.rate_per_s <= 0 or request.service_s <= 0:
            return False
        return stored.answered.get(name) != request.requested_at
