"""Leases of proxies: a proxy is a member while it renews its lease, by requesting updates from a coordinator.

Any coordinator renews leases, and sends its peers the leases that it renewed. `LeaseTable.max_proxies` also
counts proxies whose lease expired recently: a partitioned proxy still spends its quota of the budgets that
all proxies share.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

LEASE_DURATION_S: Final = 1.2  # time from the last renewal; clients don't get the address of an expired lease
# Time from the last renewal for which a quota stays reserved, since the proxy may only be partitioned.
QUOTA_RETENTION_S: Final = 30.0


@dataclass(frozen=True, slots=True)
class ProxyLease:
    """A proxy's report about itself, sent with each renewal.

    Leases are sent within messages, which encode fields in their order: no field may be moved or retyped.
    """

    name: str  # name of the proxy's machine
    address: str  # ip:port for clients
    zone: str
    region: str
    ready: bool  # whether clients may be sent to the proxy
    renewal: int  # number that rises with every renewal within an incarnation
    incarnation: int  # when the process started, in Unix milliseconds; rises with every restart


@dataclass(slots=True)
class _LeaseEntry:
    lease: ProxyLease
    renewed_at_s: float
    renewed_locally: bool  # whether the proxy renewed at this coordinator, not at a peer


class LeaseTable:
    """All known leases."""

    def __init__(self) -> None:
        self._entries: dict[str, _LeaseEntry] = {}  # leases by the proxies' addresses

    def renew(self, lease: ProxyLease, now_s: float, local: bool) -> bool:
        """Apply a renewal; return whether it changes the answers to clients.

        `local`: the proxy renewed at this coordinator; otherwise a peer sent the renewal.
        """
        known_entry = self._entries.get(lease.address)
        if known_entry is not None and _is_older(lease, known_entry, now_s, local):
            return False
        self._entries[lease.address] = _LeaseEntry(lease, now_s, local)
        return known_entry is None or known_entry.lease.ready != lease.ready

    def release(self, lease: ProxyLease) -> None:
        """End the membership of a disconnected proxy until it renews again; its quota stays reserved."""
        entry = self._entries.get(lease.address)
        if entry is not None and entry.lease == lease:
            entry.lease = replace(lease, ready=False)

    def expire(self, now_s: float) -> None:
        """Remove the leases whose quota no longer needs to be reserved."""
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
        """Return the leases renewed at this coordinator after `since_s`, to be sent to its peers."""
        return (
            entry.lease
            for entry in self._entries.values()
            if entry.renewed_locally and entry.renewed_at_s > since_s
        )

    def max_proxies(self) -> int:
        """Return an upper bound of the number of proxies."""
        return len(self._entries)

    def addresses_for(self, zone: str, region: str, limit: int, now_s: float) -> list[str]:
        """Return addresses of ready proxies in the zone; if there are none, in the region; else of all."""
        ready = [lease for lease in self.active(now_s) if lease.ready]
        same_zone = [lease.address for lease in ready if lease.zone == zone]
        same_region = [lease.address for lease in ready if lease.region == region]
        return sorted(same_zone or same_region or [lease.address for lease in ready])[:limit]


def _is_older(lease: ProxyLease, known_entry: _LeaseEntry, now_s: float, local: bool) -> bool:
    """Return whether a renewal is older than the known entry.

    Incarnations are ordered by the wall clock at their start, which may step back. An incarnation that
    appears older is therefore accepted if the proxy renews at this coordinator, or if the known lease has
    expired.
    """
    if lease.incarnation == known_entry.lease.incarnation:
        return lease.renewal <= known_entry.lease.renewal
    is_known_active = now_s - known_entry.renewed_at_s <= LEASE_DURATION_S
    return lease.incarnation < known_entry.lease.incarnation and is_known_active and not local
