"""Counts the load that this proxy puts on nodes, by service and zone, for its reports to coordinators.

The counts are updated when attempts begin and end, so a report needs no iteration over requests.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Final, NamedTuple

from coveport.serving.model.configuration import Service
from coveport.serving.model.node import Node
from coveport.serving.model.telemetry import ServiceLoad
from coveport.serving.model.view import ControlView

# Time between two load reports; long, as nodes take seconds to boot and bytes to other regions have a cost.
SAMPLE_INTERVAL_S: Final = 1.0


class LoadKey(NamedTuple):
    """The nodes of one service in one zone."""

    service: str
    zone: str


@dataclass(slots=True)
class LoadCounters:
    """Attempts of this proxy at nodes, by service and zone of the nodes."""

    in_flight: dict[LoadKey, int] = field(default_factory=dict)  # attempts that have not ended
    arrivals: dict[LoadKey, int] = field(default_factory=dict)  # attempts since the proxy started

    def record_selected(self, node: Node) -> None:
        """Count an attempt that begins."""
        key = LoadKey(node.service, node.zone)
        self.in_flight[key] = self.in_flight.get(key, 0) + 1
        self.arrivals[key] = self.arrivals.get(key, 0) + 1

    def record_finished(self, node: Node) -> None:
        """Count an attempt that has ended."""
        key = LoadKey(node.service, node.zone)
        self.in_flight[key] = max(0, self.in_flight.get(key, 0) - 1)


class LoadSampler:
    """Samples the loads of the services that are scaled, for the reports."""

    def __init__(
        self,
        view: ControlView,
        counters: LoadCounters,
        waiting_by_service: Callable[[], Mapping[str, int]],
        zone: str,
        now_s: Callable[[], float],
    ) -> None:
        """Create a sampler; `zone` is that of this proxy, where its waiting requests are counted."""
        self._view = view
        self._counters = counters
        self._waiting_by_service = waiting_by_service
        self._zone = zone
        self._now_s = now_s
        self._sampled_at_s = -inf

    def next_loads(self) -> tuple[ServiceLoad, ...]:
        """Return the loads; empty if no service is scaled or the last sample is younger than its interval."""
        services = frozenset(service.name for service in self._scaled_services())
        now_s = self._now_s()
        if not services or now_s - self._sampled_at_s < SAMPLE_INTERVAL_S:
            return ()
        self._sampled_at_s = now_s
        waiting = self._waiting_by_service()
        keys = {key for key in self._counters.arrivals if key.service in services}
        keys |= {LoadKey(service, self._zone) for service in services}
        return tuple(self._load(key, waiting) for key in sorted(keys))

    def _load(self, key: LoadKey, waiting: Mapping[str, int]) -> ServiceLoad:
        return ServiceLoad(
            service=key.service,
            zone=key.zone,
            in_flight=self._counters.in_flight.get(key, 0),
            waiting=waiting.get(key.service, 0) if key.zone == self._zone else 0,
            arrivals=self._counters.arrivals.get(key, 0),
        )

    def _scaled_services(self) -> Iterable[Service]:
        configuration = self._view.configuration
        services = configuration.services if configuration is not None else ()
        return (service for service in services if service.scaling is not None)
