"""Answers the platform's question whether this proxy takes clients."""

from __future__ import annotations

from collections.abc import Callable

from coveport.serving.web.messages import ApiRequest, ApiResponse
from coveport.serving.web.router import route
from coveport.serving.wire.names import Path


class ReadinessCalls:
    """Handlers of the platform's calls."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    @route("GET", Path.READY)
    async def ready(self, call: ApiRequest) -> ApiResponse:
        """200 where clients are welcome."""
        return ApiResponse(200 if self._is_ready() else 503)
