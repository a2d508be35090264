"""Interfaces between recorder and executor, and the recorder's stand-ins for clients."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from coveport import balancing
from coveport.sidecar.intent_log.pending_operation import PendingOperation
from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.operation import Answer, Operation


class Client(Protocol):
    """Whoever waits for an operation's response."""

    def begin(self, answer: Answer, source: Any) -> None:
        """Begin a streamed response, whose parts come from `source`."""

    def more(self, data: bytes) -> None:
        """Pass on a part of a streamed response."""

    def finish(self, complete: bool) -> None:
        """End a streamed response; the client must be able to tell one that is not complete."""

    def answer(self, verdict: Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """Give the one final response."""

    def has_disconnected(self) -> bool:
        """Whether the client has disconnected."""


class Executor(Protocol):
    """Executes operations: `coveport.sidecar.effects`, or its simulated double."""

    def accept(self, number: int, client: Client, operation: Operation) -> None:
        """Execute an operation; its one final response goes to `client`."""

    def withdraw(self, number: int) -> None:
        """Give up an operation, which is another's; its client gets no response from here."""

    def answered_elsewhere(self, cls: str, verdict: Verdict) -> None:
        """Count a response that went past the executor."""

    def now_ms(self) -> float:
        """Return the time in ms by the balancer's clock."""

    def location_of(self, destination: int) -> tuple[str, int, int]:
        """Return address, zone and cell of a destination."""

    @property
    def settings(self) -> balancing.Settings:
        """The settings as they are now."""


class ResponseObserver(Protocol):
    """Gets responses before clients do."""

    def answered(
        self,
        pending: PendingOperation,
        verdict: Verdict,
        answer: Answer | None,
        deliver: Callable[[], None],
    ) -> None:
        """Handle the one final response; `deliver` passes it on."""

    def finished(self, pending: PendingOperation, complete: bool) -> None:
        """Handle the end of a streamed response."""


class RecordingClient:
    """Stands in for a client: its responses go by way of the recorder."""

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
        """Whether the client has disconnected."""
        return self._client.has_disconnected()


class AbsentClient:
    """Stands in for the client of an operation that was taken over: nobody reads the response."""

    def __init__(self, observer: ResponseObserver, pending: PendingOperation) -> None:
        self._observer = observer
        self._pending = pending

    def begin(self, answer: Answer, source: Any) -> None:
        """Ignore the begin of a streamed response."""

    def more(self, data: bytes) -> None:
        """Ignore a part of a streamed response."""

    def finish(self, complete: bool) -> None:
        """End a streamed response."""
        self._observer.finished(self._pending, complete)

    def answer(self, verdict: Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """Take the one final response."""
        self._observer.answered(self._pending, verdict, answer, lambda: None)

    def has_disconnected(self) -> bool:
        """Return False: a takeover goes on without a client."""
        return False
