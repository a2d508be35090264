"""The state that the executor of effects keeps for each open operation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from coveport import balancing
from coveport.sidecar.downstream.operation_client import OperationClient
from coveport.sidecar.reducer.operation import Operation
from coveport.sidecar.upstream.attempt import Attempt, AttemptResult


class DeferredAttempt:
    """An attempt that waits for the recorder's permission to be sent."""

    def __init__(self, on_ended: Callable[[AttemptResult], None]) -> None:
        self._on_ended = on_ended
        self.ended = False

    def cancel(self) -> None:
        """End the attempt; nothing of it has been sent."""
        if not self.ended:
            self.ended = True
            self._on_ended(AttemptResult(balancing.Outcome.MOOT))


@dataclass(slots=True)
class OpenOperation:
    """An operation's client, attempts and timer, until it is answered and all attempts have ended."""

    client: OperationClient | None
    operation: Operation
    class_name: str  # name of the operation's class when the operation was received
    deadline_timer: asyncio.TimerHandle | None = None
    attempts: dict[int, Attempt | DeferredAttempt] = field(default_factory=dict)
    answered: bool = False
    forwarding: bool = False  # whether a streamed answer is being forwarded
    complete: bool = True  # whether the last byte of the operation was received
    ended: bool = False  # whether the result of the operation was counted
