"""Who has submitted an operation and waits for its response: the client side of any protocol."""

from __future__ import annotations

from typing import Protocol

from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.operation import Answer
from coveport.sidecar.upstream.attempt import Attempt


class OperationClient(Protocol):
    """Submitted an operation and waits for its one final response, complete or streamed."""

    def begin(self, answer: Answer, source: Attempt) -> None:
        """Begin a streamed response, whose data come from `source`."""

    def more(self, data: bytes) -> None:
        """Forward a chunk of the streamed response."""

    def finish(self, complete: bool) -> None:
        """End a streamed response; the client must be able to tell one that is not complete."""

    def answer(self, verdict: Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """Give the complete response."""

    def has_disconnected(self) -> bool:
        """Return whether it has disconnected, read or not; its operation is cancelled soon then."""
