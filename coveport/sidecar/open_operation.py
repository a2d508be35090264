"""What the executor of effects holds for an operation that is open."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from coveport import balancing
from coveport.sidecar.downstream.operation_client import OperationClient
from coveport.sidecar.reducer.operation import Operation
from coveport.sidecar.upstream.attempt import Attempt, AttemptResult


class DeferredAttempt:
    """An attempt that is sent once the recorder allows it."""

    def __init__(self, done: Callable[[AttemptResult], None]) -> None:
        self._done = done
        self.ended = False

    def cancel(self) -> None:
        """End it: nothing was sent."""
        if not self.ended:
            self.ended = True
            self._done(AttemptResult(balancing.Outcome.MOOT))


@dataclass(slots=True)
class OpenOperation:
    """An operation's client, attempts and timer, until it is answered and all attempts have ended."""

    client: OperationClient | None
    operation: Operation
    class_name: str  # the name of its class when it came
    deadline_timer: asyncio.TimerHandle | None = None
    attempts: dict[int, Attempt | DeferredAttempt] = field(default_factory=dict)
    answered: bool = False
    forwarding: bool = False  # a long answer is being forwarded
    complete: bool = True  # its last byte was received
    ended: bool = False  # counted under how it ended
