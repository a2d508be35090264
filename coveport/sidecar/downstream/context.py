"""The state and callbacks that all client connections of a listener share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from coveport import balancing
from coveport.net.transport import Net
from coveport.sidecar.downstream.client_table import ClientTable
from coveport.sidecar.downstream.operation_client import OperationClient
from coveport.sidecar.downstream.sweep_timer import SweepTimer
from coveport.sidecar.reducer.operation import Operation
from coveport.sidecar.reducer.streams import Budget
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log

RequestClasses = dict[str, tuple[int, balancing.Effect]]
"""The number and effect of each request class by its name, which is the first part of the path."""


@dataclass(slots=True)
class DownstreamContext:
    """The state and callbacks that all client connections of a listener share.

    `submit` is called with an operation and its number, `cancel` with the number when the client has
    disconnected, and `on_upload_complete` with the number when the streamed body is complete, and with the
    milliseconds for which its last bytes may have waited unread.
    """

    net: Net
    counters: Counters
    log: Log
    budget: Budget
    clients: ClientTable
    sweep_timer: SweepTimer
    classes: RequestClasses
    is_ready: Callable[[], bool]
    submit: Callable[[int, OperationClient, Operation], None]
    cancel: Callable[[int], None]
    on_upload_complete: Callable[[int, float], None]
    is_closing: bool = False  # whether the graceful shutdown has begun
    # Whether an operator drains this instance; if so, connections close after their response.
    is_draining: bool = False
    keeps_idle: bool = True  # whether idle connections stay open
    _last_operation: int = 0

    @property
    def closes_after_response(self) -> bool:
        """Whether connections are closed after the present response."""
        return self.is_closing or self.is_draining

    def next_operation_number(self) -> int:
        """Return the next unused operation number."""
        self._last_operation += 1
        return self._last_operation
