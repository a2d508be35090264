"""Interfaces between recorder and executor, and the clients that the recorder passes to the executor."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from coveport import balancing
from coveport.sidecar.intent_log.pending_operation import PendingOperation
from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.operation import Answer, Operation


class Client(Protocol):
    """The connection that waits for an operation's response."""

    def begin(self, answer: Answer, source: Any) -> None:
        """Begin a streamed response, whose parts come from `source`."""

    def more(self, data: bytes) -> None:
        """Pass on a part of a streamed response."""

    def finish(self, complete: bool) -> None:
        """End a streamed response; the client must be able to recognize an incomplete response."""

    def answer(self, verdict: Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """Send the one final response."""

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected."""


class Executor(Protocol):
    """Executes operations: implemented by `coveport.sidecar.effects`, and by a simulation in trials."""

    def accept(self, number: int, client: Client, operation: Operation) -> None:
        """Execute an operation, and send its one final response to `client`."""

    def withdraw(self, number: int) -> None:
        """Abandon an operation that another instance owns; send its client no response."""

    def answered_elsewhere(self, cls: str, verdict: Verdict) -> None:
        """Count a response that the recorder sent without the executor."""

    def now_ms(self) -> float:
        """Return the time in ms by the balancer's clock."""

    def location_of(self, destination: int) -> tuple[str, int, int]:
        """Return the address, zone and cell of a destination."""

    @property
    def settings(self) -> balancing.Settings:
        """The present settings."""


class ResponseObserver(Protocol):
    """Handler that receives each response before the client does."""

    def answered(
        self,
        pending: PendingOperation,
        verdict: Verdict,
        answer: Answer | None,
        deliver: Callable[[], None],
    ) -> None:
        """Handle the one final response; `deliver` passes the response on to the client."""

    def finished(self, pending: PendingOperation, complete: bool) -> None:
        """Handle the end of a streamed response."""


class RecordingClient:
    """Wrapper of a client: the recorder handles the end of each response before the client gets that end."""

    def __init__(self, observer: ResponseObserver, pending: PendingOperation, client: Client) -> None:
        self._observer = observer
        self._pending = pending
        self._client = client

    def begin(self, answer: Answer, source: Any) -> None:
        """Begin a streamed response."""
        self._client.begin(answer, source)

    def more(self, data: bytes) -> None:
        """Pass on a part of a streamed response."""
        self._client.more(data)

    def finish(self, complete: bool) -> None:
        """End a streamed response."""
        self._observer.finished(self._pending, complete)
        self._client.finish(complete)

    def answer(self, verdict: Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """Take the one final response."""
        self._observer.answered(
            self._pending, verdict, answer, lambda: self._client.answer(verdict, answer, retry_after_ms)
        )

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected."""
        return self._client.has_disconnected()


class AbsentClient:
    """Stands in for the client of an operation taken over: the response is recorded and then dropped."""

    def __init__(self, observer: ResponseObserver, pending: PendingOperation) -> None:
        self._observer = observer
        self._pending = pending

    def begin(self, answer: Answer, source: Any) -> None:
        """Ignore the beginning of a streamed response."""

    def more(self, data: bytes) -> None:
        """Ignore a part of a streamed response."""

    def finish(self, complete: bool) -> None:
        """End a streamed response."""
        self._observer.finished(self._pending, complete)

    def answer(self, verdict: Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """Take the one final response."""
        self._observer.answered(self._pending, verdict, answer, lambda: None)

    def has_disconnected(self) -> bool:
        """Return False, as a takeover goes on without a client."""
        return False
