"""Answers the platform's question whether this proxy takes clients."""

from __future__ import annotations

from collections.abc import Callable

from coveport.serving.web.calls import Call, Reply, answers
from coveport.serving.wire.names import Path


class ReadinessCalls:
    """Handlers of the platform's calls."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    @answers("GET", Path.READY)
    async def ready(self, call: Call) -> Reply:
        """200 where clients are welcome."""
        return Reply(200 if self._is_ready() else 503)
