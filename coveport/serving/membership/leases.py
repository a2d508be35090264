"""Leases of proxies: a proxy is a member while it renews, by requesting updates from any coordinator.

Coordinators send each other the leases that were renewed at them. `LeaseTable.max_proxies` also counts
proxies whose lease expired a while ago: a partitioned proxy still spends its quota of the budgets that all
proxies share.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

LEASE_DURATION_S: Final = 1.2  # after its last renewal a proxy's address is no longer handed out to clients
# So long after its last renewal a proxy's quota is still reserved, as it may only be partitioned.
QUOTA_RETENTION_S: Final = 30.0


@dataclass(frozen=True, slots=True)
class ProxyLease:
    """What a proxy reports of itself when it renews.

    It is sent within messages, which are encoded by the order of fields: none may be moved or retyped.
    """

    name: str  # of its machine
    address: str  # ip:port for clients
    zone: str
    region: str
    ready: bool  # whether clients may be sent there
    renewal: int  # rises with every renewal of an incarnation
    incarnation: int  # rises with every start of the process: Unix milliseconds


@dataclass(slots=True)
class _LeaseEntry:
    lease: ProxyLease
    renewed_at_s: float
    renewed_locally: bool  # at this coordinator


class LeaseTable:
    """All known leases."""

    def __init__(self) -> None:
        self._entries: dict[str, _LeaseEntry] = {}  # by address

    def renew(self, lease: ProxyLease, now_s: float, local: bool) -> bool:
        """Apply a renewal; return whether it changes the answers to clients.

        `local`: it was made at this coordinator, not received from a peer.
        """
        known = self._entries.get(lease.address)
        if known is not None and _is_older(lease, known, now_s, local):
            return False
        self._entries[lease.address] = _LeaseEntry(lease, now_s, local)
        return known is None or known.lease.ready != lease.ready

    def release(self, lease: ProxyLease) -> None:
        """End the membership of a proxy whose connection broke, until it renews; its quota stays reserved."""
        entry = self._entries.get(lease.address)
        if entry is not None and entry.lease == lease:
            entry.lease = replace(lease, ready=False)

    def expire(self, now_s: float) -> None:
        """Remove the leases whose quota need no longer be reserved."""
        expired = [
            address
            for address, entry in self._entries.items()
            if now_s - entry.renewed_at_s > QUOTA_RETENTION_S
        ]
        for address in expired:
            del self._entries[address]

    def active(self, now_s: float) -> list[ProxyLease]:
        """Return the leases of the proxies that are members now."""
        return [
            entry.lease for entry in self._entries.values() if now_s - entry.renewed_at_s <= LEASE_DURATION_S
        ]

    def renewed_locally_since(self, since_s: float) -> Iterable[ProxyLease]:
        """Return the leases that were renewed at this coordinator since then, to send to its peers."""
        return (
            entry.lease
            for entry in self._entries.values()
            if entry.renewed_locally and entry.renewed_at_s > since_s
        )

    def max_proxies(self) -> int:
        """Return how many proxies there are at most."""
        return len(self._entries)

    def addresses_for(self, zone: str, region: str, limit: int, now_s: float) -> list[str]:
        """Return the addresses for clients of a zone: ready proxies there, else in its region, else all."""
        ready = [lease for lease in self.active(now_s) if lease.ready]
        same_zone = [lease.address for lease in ready if lease.zone == zone]
        same_region = [lease.address for lease in ready if lease.region == region]
        return sorted(same_zone or same_region or [lease.address for lease in ready])[:limit]


def _is_older(lease: ProxyLease, known: _LeaseEntry, now_s: float, local: bool) -> bool:
    """Return whether a renewal is older than the known one.

    Incarnations are ordered by the time of day at their start, which may step back: one that seems older
    counts where the proxy itself renews with it, or where the lease of the known one has expired.
    """
    if lease.incarnation == known.lease.incarnation:
        return lease.renewal <= known.lease.renewal
    is_known_active = now_s - known.renewed_at_s <= LEASE_DURATION_S
    return lease.incarnation < known.lease.incarnation and is_known_active and not local
