"""Interfaces of `coveport.sidecar.effects` to its clients and to optional parts beside it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from coveport import balancing
from coveport.sidecar.downstream.operation_client import OperationClient
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.operation import Operation


class HealthCheckSharing(Protocol):
    """Shares health checks with other instances (`daemon`); optional."""

    def shared_result(self, destination: int) -> core.HealthCheckEnded | None:
        """Return another instance's recent result for a destination; None: check it here."""

    def observed(self, destination: int, outcome: balancing.Outcome) -> None:
        """Note the outcome of an attempt of this instance."""


class OperationRecorder(Protocol):
    """Records operations before they can run (`intent_log.recorder`); optional."""

    def accept(self, number: int, client: OperationClient, operation: Operation) -> OperationClient | None:
        """Accept an operation; return who gets its response, None: it is answered past the executor."""

    def send(self, number: int, step: int, destination: int, resume: ResumeSend) -> bool:
        """Ask to send an attempt: True: at once; False: `resume` is called once, in a later turn."""

    def attempt_ended(self, number: int, step: int, outcome: balancing.Outcome) -> None:
        """Note the outcome of an attempt."""

    def client_gone(self, number: int) -> None:
        """Note that an operation's client has disconnected."""


ResumeSend = Callable[[Callable[[], bool] | None], None]
"""Sends an attempt where the fence check is True right before the first byte; None: don't send it."""
