"""Between the recorder and who carries operations out: what it asks of them, who stands in for a client."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from coveport.balancing import interface as api
from coveport.sidecar.intent_log.pending_operation import Hand
from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.operation import Answer, Operation


class Hands(Protocol):
    """Whoever carries operations out."""

    def take(self, number: int, client: Any, asked: Operation) -> None:
        """An operation is to be carried out; its one answer goes to `client`."""

    def withdraw(self, number: int) -> None:
        """It is somebody else's."""

    def answered_elsewhere(self, cls: str, verdict: Verdict) -> None:
        """Count an answer that was given past them."""

    def now_ms(self) -> float:
        """The clock by which they tell the module of time."""

    def place_of(self, destination: int) -> tuple[str, int, int]:
        """Address, zone and cell of a destination."""

    @property
    def settings(self) -> api.Settings:
        """As they are now."""


class Answered(Protocol):
    """Who is told of answers before clients are."""

    def answered(
        self, hand: Hand, verdict: Verdict, answer: Answer | None, deliver: Callable[[], None]
    ) -> None:
        """The one final answer is there; `deliver` passes it on."""

    def finished(self, hand: Hand, whole: bool) -> None:
        """A long answer has been passed on, or broke."""


class Answering:
    """Stands in a client's place: what it is told goes by the recorder."""

    def __init__(self, recorder: Answered, hand: Hand, client: Any) -> None:
        self._recorder = recorder
        self.hand = hand
        self.client = client

    def begin(self, answer: Answer, source: Any) -> None:
        """A long answer begins."""
        self.client.begin(answer, source)

    def more(self, data: bytes) -> None:
        """More of it."""
        self.client.more(data)

    def finish(self, whole: bool) -> None:
        """It has ended."""
        self._recorder.finished(self.hand, whole)
        self.client.finish(whole)

    def answer(self, verdict: Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """The one final answer."""
        self._recorder.answered(
            self.hand, verdict, answer, lambda: self.client.answer(verdict, answer, retry_after_ms)
        )

    def left(self) -> bool:
        """Whether the client has gone."""
        gone: bool = self.client.left()
        return gone


class Nobody:
    """The client of what was taken over."""

    def __init__(self, recorder: Answered, hand: Hand) -> None:
        self._recorder = recorder
        self.hand = hand

    def begin(self, answer: Answer, source: Any) -> None:
        """Nobody reads it."""

    def more(self, data: bytes) -> None:
        """Nobody reads it."""

    def finish(self, whole: bool) -> None:
        """It has ended."""
        self._recorder.finished(self.hand, whole)

    def answer(self, verdict: Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """The one final answer."""
        self._recorder.answered(self.hand, verdict, answer, lambda: None)

    def left(self) -> bool:
        """Nobody waits for it, and it goes on all the same."""
        return False
