"""Versions of the programs that are connected to a coordinator: its status and upgrades depend on them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from coveport.serving.wire.versions import PROTOCOL_VERSION, UNANNOUNCED_VERSION


class PeerVersions:
    """Owns the announced version of each coordinator and proxy."""

    def __init__(self) -> None:
        self._of_coordinators: dict[str, int] = {}  # by inner address
        self._of_proxies: dict[str, int] = {}  # by name; of those that subscribe here

    def record_coordinator(self, address: str, version: int) -> None:
        """Record what a coordinator announced when it connected."""
        self._of_coordinators[address] = version

    def of_coordinator(self, address: str) -> int:
        """Return what a coordinator announced; the lowest version where it hasn't connected yet."""
        return self._of_coordinators.get(address, UNANNOUNCED_VERSION)

    def record_proxy(self, name: str, version: int) -> None:
        """Record what a proxy announced with a request."""
        self._of_proxies[name] = version

    def all_read(self, version: int, coordinators: Iterable[str]) -> bool:
        """Whether none of these (inner addresses) has announced an older version, when it last connected."""
        return all(self._of_coordinators.get(address, version) >= version for address in coordinators)

    def describe(self, coordinators: Iterable[str], proxies: Iterable[str]) -> dict[str, Any]:
        """Return the versions of the given live coordinators (inner addresses) and proxies (names).

        `lowest` is the lowest of all, our own included: while it is below `own`, an upgrade is under way.
        """
        known = {name: self._of_coordinators[name] for name in coordinators if name in self._of_coordinators}
        proxy_versions = [self._of_proxies[name] for name in proxies if name in self._of_proxies]
        by_version = Counter(proxy_versions)
        return {
            "own": PROTOCOL_VERSION,
            "lowest": min([PROTOCOL_VERSION, *known.values(), *proxy_versions]),
            "coordinators": known,
            "proxies": {str(version): by_version[version] for version in sorted(by_version)},
        }
