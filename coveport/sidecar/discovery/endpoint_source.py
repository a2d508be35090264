"""The source of the endpoint list: one discovery, and during a move also its successor."""

from __future__ import annotations

import random

from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.sidecar.discovery.discovery_client import DiscoveryClient, OnUpdate
from coveport.sidecar.discovery.endpoint_reader import DiscoveredEndpoints, EndpointReader
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log


class EndpointSource:
    """Keeps the endpoint list up to date from one discovery; moves to another discovery without a gap.

    `on_demand`: calls are made only after `request`, and `on_update` is called with None on a failure.
    """

    def __init__(
        self,
        net: Net,
        address: Address,
        reader: EndpointReader,
        on_update: OnUpdate,
        counters: Counters,
        log: Log,
        *,
        on_demand: bool,
        seed: int = 0,
    ) -> None:
        self._net = net
        self._reader = reader
        self._on_update = on_update
        self._counters = counters
        self._log = log
        self._on_demand = on_demand
        self._rng = random.Random(seed)
        self._is_closed = False
        self._client = self._new_client(address, on_update, on_demand=on_demand)
        self._successor: DiscoveryClient | None = None

    def start(self) -> None:
        """Begin to watch, unless calls are made on demand."""
        if not self._on_demand:
            self._client.request(full=False)

    def resume_from(self, version: int) -> None:
        """Begin with the changes since the list of that version, which the caller already has."""
        self._client.resume_from(version)

    def request(self, *, full: bool) -> None:
        """Request the full list once, or all changes from now on."""
        self._client.request(full=full)

    def move_to(self, address: Address) -> None:
        """Move to the discovery at an address; the present one is used until the new full list has come."""
        if self._is_closed:
            return
        if self._successor is not None:
            self._successor.close()  # of several moves in a row only the last one counts

        def on_update(update: DiscoveredEndpoints | None) -> None:
            if successor is self._successor:
                self._switch_to(successor)
            if successor is self._client:
                self._on_update(update)

        # Not on demand, so that the first call is retried until it succeeds: the list of the new discovery
        # may differ.
        successor = self._new_client(address, on_update, on_demand=False)
        self._successor = successor
        successor.request(full=True)

    def _switch_to(self, successor: DiscoveryClient) -> None:
        # Guards against updates of the old discovery after the new one's list: their versions are unrelated.
        predecessor = self._client
        self._client = successor
        self._successor = None
        predecessor.close()
        if self._on_demand:
            successor.set_on_demand()
        if predecessor.is_watching:
            successor.request(full=False)

    def _new_client(self, address: Address, on_update: OnUpdate, *, on_demand: bool) -> DiscoveryClient:
        return DiscoveryClient(
            self._net,
            address,
            self._reader,
            on_update,
            self._counters,
            self._log,
            on_demand=on_demand,
            rng=self._rng,
        )

    def read_pending(self) -> None:
        """Read the data that have already arrived, in this iteration of the event loop."""
        for client in (self._client, self._successor):
            if client is not None:
                client.read_pending()

    def close(self) -> None:
        """Close the connections and call no more."""
        self._is_closed = True
        self._client.close()
        if self._successor is not None:
            self._successor.close()
