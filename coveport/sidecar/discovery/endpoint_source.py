"""Where the endpoint list comes from: one discovery, and during a move its successor beside it."""

from __future__ import annotations

import random

from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.sidecar.discovery.discovery_client import DiscoveryClient, OnUpdate
from coveport.sidecar.discovery.endpoint_reader import DiscoveredEndpoints, EndpointReader
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log


class EndpointSource:
    """Keeps the endpoint list current by one discovery; moves to another one without a gap.

    `on_demand`: the list is requested by `request` alone, and `on_update` gets None for a failure.
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
        """Begin to watch, unless the list is requested on demand."""
        if not self._on_demand:
            self._client.request(full=False)

    def resume_from(self, version: int) -> None:
        """Begin from a list of that version, which is known already."""
        self._client.resume_from(version)

    def request(self, *, full: bool) -> None:
        """Request the full list once, or all changes from now on."""
        self._client.request(full=full)

    def move_to(self, address: Address) -> None:
        """Move to the discovery at an address; until its full list has come the present one goes on."""
        if self._is_closed:
            return
        if self._successor is not None:
            self._successor.close()  # guards against several moves in a row: only the last one counts

        def on_update(update: DiscoveredEndpoints | None) -> None:
            if successor is self._successor:
                self._switch_to(successor)
            if successor is self._client:
                self._on_update(update)

        # It retries until it is answered, though nobody has requested it: the list may differ there.
        successor = self._new_client(address, on_update, on_demand=False)
        self._successor = successor
        successor.request(full=True)

    def _switch_to(self, successor: DiscoveryClient) -> None:
        # Guards against updates of the old one after the new one's list: their versions differ.
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
        """Read what has come already in this turn of the loop."""
        for client in (self._client, self._successor):
            if client is not None:
                client.read_pending()

    def close(self) -> None:
        """Stop calling."""
        self._is_closed = True
        self._client.close()
        if self._successor is not None:
            self._successor.close()
