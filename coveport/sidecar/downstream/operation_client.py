"""The interface to the client of an operation, for any protocol."""

from __future__ import annotations

from typing import Protocol

from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.operation import Answer
from coveport.sidecar.upstream.attempt import Attempt


class OperationClient(Protocol):
    """The client that has submitted an operation and gets its final response, complete or streamed."""

    def begin(self, answer: Answer, source: Attempt) -> None:
        """Begin a streamed response, whose data come from `source`."""

    def more(self, data: bytes) -> None:
        """Forward a chunk of the streamed response."""

    def finish(self, complete: bool) -> None:
        """End a streamed response; the client must be able to detect an incomplete one."""

    def answer(self, verdict: Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """Send the complete response."""

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected; if so, its operation is cancelled soon."""
