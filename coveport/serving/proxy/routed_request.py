"""The inputs of node selection for one request. This module does no I/O and reads no clock."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.model.configuration import Route, Service
from coveport.serving.proxy.prompt_segments import PromptSegment


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request's route, the service drawn for it, the segments of its prompt, and its tenant."""

    route: Route  # includes the tenant's priority and home regions
    service: Service
    segments: tuple[PromptSegment, ...] = ()
    tenant: str | None = None  # name of the tenant; None if the route is public or no tenants are configured
    edition: int = 0  # edition of the configuration that routed the request
