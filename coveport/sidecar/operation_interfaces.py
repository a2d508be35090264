"""Interfaces of `coveport.sidecar.effects` to optional parts of the sidecar."""

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
        """Return another instance's recent result for a destination; None: this instance must check."""

    def observed(self, destination: int, outcome: balancing.Outcome) -> None:
        """Record the outcome of an attempt of this instance."""


class OperationRecorder(Protocol):
    """Records operations before they can run (`intent_log.recorder`); optional."""

    def accept(self, number: int, client: OperationClient, operation: Operation) -> OperationClient | None:
        """Accept an operation; return the receiver of its response, None if the recorder answers it."""

    def send(self, number: int, step: int, destination: int, resume: ResumeSend) -> bool:
        """Return True if an attempt may be sent at once; else call `resume` once, in a later turn."""

    def attempt_ended(self, number: int, step: int, outcome: balancing.Outcome) -> None:
        """Record the outcome of an attempt."""

    def client_gone(self, number: int) -> None:
        """Record that an operation's client has disconnected."""


ResumeSend = Callable[[Callable[[], bool] | None], None]
"""Sends an attempt if the given fence check returns True right before the first byte; None: don't send it."""
