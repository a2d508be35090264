"""Answers the platform's readiness check: whether this proxy serves clients."""

from __future__ import annotations

from collections.abc import Callable

from coveport.serving.web.messages import ApiRequest, ApiResponse
from coveport.serving.web.router import route
from coveport.serving.wire.names import Path


class ReadinessApi:
    """The handler of the readiness check."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    @route("GET", Path.READY)
    async def ready(self, request: ApiRequest) -> ApiResponse:
        """Return 200 if the proxy serves clients, else 503."""
        return ApiResponse(200 if self._is_ready() else 503)
