"""Leases of proxies: a proxy is a member while it renews, by asking any coordinator for updates.

Coordinators tell each other the leases they renewed. `max_proxies` counts also the proxies whose lease
ended a while ago: one that is cut off still spends its share of the budgets that all proxies have together.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

LEASE_DURATION_S = 1.2  # after its last renewal a proxy is no longer named to clients
QUOTA_RETENTION_S = 30.0  # ... and so long after it, its share of the budgets is still set aside


@dataclass(frozen=True, slots=True)
class ProxyLease:
    """What a proxy says of itself when it renews."""

    name: str  # its machine's
    address: str  # ip:port where clients call
    zone: str
    region: str
    ready: bool  # whether clients may be sent there
    renewal: int  # rises with every renewal of one life of the process
    incarnation: int  # rises with every start of the process: Unix milliseconds


@dataclass(slots=True)
class _Held:
    lease: ProxyLease
    renewed_at_s: float
    renewed_locally: bool


class LeaseTable:
    """All leases that are known."""

    def __init__(self) -> None:
        self._held: dict[str, _Held] = {}  # by address

    def renew(self, lease: ProxyLease, now_s: float, local: bool) -> bool:
        """Take a renewal, made here or told by another coordinator; whether clients are told otherwise."""
        known = self._held.get(lease.address)
        if known is not None and _is_older(lease, known, now_s, local):
            return False
        self._held[lease.address] = _Held(lease, now_s, local)
        return known is None or known.lease.ready != lease.ready

    def release(self, lease: ProxyLease) -> None:
        """A broken connection: the proxy is no member until it asks again, but counts for the budgets."""
        held = self._held.get(lease.address)
        if held is not None and held.lease == lease:
            held.lease = replace(lease, ready=False)

    def expire(self, now_s: float) -> None:
        """Forget who left long ago."""
        for address in [
            name for name, held in self._held.items() if now_s - held.renewed_at_s > QUOTA_RETENTION_S
        ]:
            del self._held[address]

    def active(self, now_s: float) -> list[ProxyLease]:
        """Proxies that are members now."""
        return [held.lease for held in self._held.values() if now_s - held.renewed_at_s <= LEASE_DURATION_S]

    def renewed_locally_since(self, since_s: float) -> Iterable[ProxyLease]:
        """Leases renewed at this coordinator since then, to tell the others."""
        return (
            held.lease for held in self._held.values() if held.renewed_locally and held.renewed_at_s > since_s
        )

    def max_proxies(self) -> int:
        """How many proxies there may be."""
        return len(self._held)

    def addresses_for(self, zone: str, region: str, limit: int, now_s: float) -> list[str]:
        """Where clients of a zone are to go: the nearest group with a ready proxy."""
        ready = [lease for lease in self.active(now_s) if lease.ready]
        same_zone = [lease.address for lease in ready if lease.zone == zone]
        same_region = [lease.address for lease in ready if lease.region == region]
        return sorted(same_zone or same_region or [lease.address for lease in ready])[:limit]


def _is_older(lease: ProxyLease, known: _Held, now_s: float, local: bool) -> bool:
    """Whether a renewal says less than what is known.

    Lives are told apart by the time of day at their start, which may step back: a life that seems older
    counts where the proxy itself asks with it, or where the life known has let its lease run out.
    """
    if lease.incarnation == known.lease.incarnation:
        return lease.renewal <= known.lease.renewal
    is_known_live = now_s - known.renewed_at_s <= LEASE_DURATION_S
    return lease.incarnation < known.lease.incarnation and is_known_live and not local
