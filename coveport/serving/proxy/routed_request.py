"""What selecting a node for a request depends on. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.serving.model.configuration import Route, Service
from coveport.serving.proxy.prompt_segments import PromptSegment


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A request's route, the service drawn for it, and the segments of its prompt."""

    route: Route
    service: Service
    segments: tuple[PromptSegment, ...] = ()
