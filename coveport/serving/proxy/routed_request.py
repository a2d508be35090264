"""What selecting a node for a request depends on. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.model.configuration import Route, Service
from coveport.serving.proxy.prompt_segments import PromptSegment


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request's route, the service drawn for it, the segments of its prompt, and its tenant."""

    route: Route  # with the tenant's priority and home regions
    service: Service
    segments: tuple[PromptSegment, ...] = ()
    tenant: str | None = None  # name; None: its route is public, or there are no tenants
    edition: int = 0  # of the configuration that decided
