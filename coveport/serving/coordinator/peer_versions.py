"""Protocol versions that the connected coordinators and proxies have announced, for status and upgrades."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from coveport.serving.wire.versions import PROTOCOL_VERSION, UNANNOUNCED_VERSION


class PeerVersions:
    """Owns the announced protocol version of each coordinator and proxy."""

    def __init__(self) -> None:
        self._coordinator_versions: dict[str, int] = {}  # by inner address
        self._proxy_versions: dict[str, int] = {}  # by name, for proxies that subscribe here

    def record_coordinator(self, address: str, version: int) -> None:
        """Record the version that a coordinator announced when it connected."""
        self._coordinator_versions[address] = version

    def coordinator_version(self, address: str) -> int:
        """Return a coordinator's version; the lowest version if the coordinator hasn't connected yet."""
        return self._coordinator_versions.get(address, UNANNOUNCED_VERSION)

    def record_proxy(self, name: str, version: int) -> None:
        """Record the version that a proxy announced with a request."""
        self._proxy_versions[name] = version

    def all_support(self, version: int, coordinators: Iterable[str]) -> bool:
        """Return whether no coordinator of these inner addresses has announced an older version.

        A coordinator that has not connected yet counts as supporting the version.
        """
        return all(self._coordinator_versions.get(address, version) >= version for address in coordinators)

    def describe(self, coordinators: Iterable[str], proxies: Iterable[str]) -> dict[str, Any]:
        """Return the versions of the given live coordinators (inner addresses) and proxies (names).

        `lowest` is the lowest of these versions and of this process' own version. An upgrade is in progress
        while `lowest` is below `own`.
        """
        known = {
            name: self._coordinator_versions[name]
            for name in coordinators
            if name in self._coordinator_versions
        }
        proxy_versions = [self._proxy_versions[name] for name in proxies if name in self._proxy_versions]
        by_version = Counter(proxy_versions)
        return {
            "own": PROTOCOL_VERSION,
            "lowest": min([PROTOCOL_VERSION, *known.values(), *proxy_versions]),
            "coordinators": known,
            "proxies": {str(version): by_version[version] for version in sorted(by_version)},
        }
