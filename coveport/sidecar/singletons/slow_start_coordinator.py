"""Coordinator of slow start: grants instances shares of a warming node's safe load. Pure.

Shares are whole operations. One coordinator a zone. What stands in the store is in `slow_start_messages`, an
instance's part in `slow_start_client`.

No two clocks are compared. An instance may use a grant while its own clock is below requested_at + G, and
that time was taken before the grant was written; so no grant is used later than G after it was written, by
any clock within the drift. The coordinator counts a grant as in use for G' = G (1 + drift) from when it
wrote it. A successor, which knows no times of its predecessor's clock, counts from when it took over, which
is later.

Let W be the window over which a node's safe load holds, and B(age) what it bears in that window at that
age, which only grows. What arrives within W was granted within W + G' at most. So where

    granted in the last W + G'  <=  GRANTED_SHARE * B(age - W - G')

no window sees more of grants than GRANTED_SHARE of what the node bears when the window begins. Instances
without a grant (no store, no coordinator, an expired grant) keep to a share by count, which the balancer
holds under SLOW_START_BUDGET_FRACTION of B. GRANTED_SHARE + SLOW_START_BUDGET_FRACTION < 1: whatever is
partitioned, both together stay below the safe load.
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

GRANTED_SHARE = 0.4  # of what a node bears, that all grants together may come to
DECISION_INTERVAL_S = 0.25
MAX_GRANTS_PER_STEP = 100  # etcd takes 128 operations in a transaction


def apportion(total: int, weights: Mapping[str, float], salt: str) -> dict[str, int]:
    """Return whole shares of `total` by weight: rounded down, the rest to the largest remainders.

    Ties are ordered by a hash of the name and `salt`, so that they don't fall to the same one each time.
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
    """The role of the holder, for one zone.

    `incarnation` marks the states it writes; `drift` is the share by which any two clocks may differ.
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
        self.in_use_s = GRANT_LIFETIME_S * (1 + drift)  # G'
        self._adopted: tuple[bytes | None, float] | None = None  # another's state, and when it was first seen
        self._has_written = False  # since this process started
        # By instance: the time of its request, and when it was first seen by our clock.
        self._requests_seen: dict[str, tuple[float, float]] = {}

    @property
    def _span_s(self) -> float:
        """W + G': what was granted within it may arrive within one window."""
        return self._safe_load.overload_window_s + self.in_use_s

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """Return the step that answers the open requests as far as the nodes bear it."""
        stored = msgspec.json.decode(state, type=CoordinatorState) if state else None
        if stored is None:
            stored = CoordinatorState(self._incarnation)
        if stored.written_by != self._incarnation or not self._has_written:
            stored = self._adopt(now, state, stored)
        return self._answer_requests(now, stored, entries)

    def _adopt(self, now: float, state: bytes | None, stored: CoordinatorState) -> CoordinatorState:
        """Take over a predecessor's state, with all its grants as written when it was first seen.

        The predecessor may be an earlier process of this name: its grants may be in use, for as long as a
        grant can be, from when we first saw its state.
        """
        if self._adopted is None or self._adopted[0] != state:
            self._adopted = state, now
        seen_at = self._adopted[1]
        outstanding = {
            node: [OutstandingGrant(seen_at, sum(grant.operations for grant in grants))]
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
        """Return the operations of one node for each instance that requests it."""
        requesting = {name: request for name, request in requests.items() if node in request.nodes}
        # The lowest age and the longest operation that any instance reports.
        age_s = min(request.nodes[node][1] for request in requesting.values())
        service_s = max(request.service_s for request in requesting.values())
        bearable = GRANTED_SHARE * self._safe_load.operations(age_s - self._span_s, service_s)
        available = int(bearable) - sum(grant.operations for grant in outstanding)
        weights = {name: request.rate_per_s for name, request in requesting.items()}
        shares = apportion(available, weights, f"{node} {step}")
        # More than an instance could send in the time would only keep others from it.
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
        after = CoordinatorState(
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
        return Step(msgspec.json.encode(after), f"granted {total} to {len(granted)}", tuple(puts))

    def _open_requests(
        self, now: float, stored: CoordinatorState, entries: Mapping[str, Entry]
    ) -> dict[str, CapacityRequest]:
        """Return the requests to answer, of registered instances; so many as fit in a step."""
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
        seen = self._requests_seen.get(name)
        if seen is None or seen[0] != request.requested_at:
            seen = self._requests_seen[name] = request.requested_at, now
        if now - seen[1] > GRANT_LIFETIME_S / 2:
            return False  # a grant for it now would expire on its way
        if request.rate_per_s <= 0 or request.service_s <= 0:
            return False
        return stored.answered.get(name) != request.requested_at
