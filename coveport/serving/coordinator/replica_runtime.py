"""Runs the replication core: feeds it time and messages, carries out its effects, hands answers out."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from coveport.net.transport import Net
from coveport.serving.replication.events import (
    Answer,
    CancelCall,
    CommittedState,
    Connected,
    Effect,
    Event,
    MessageRejected,
    Outcome,
    Persist,
    Persisted,
    PersistFailed,
    ReadNewest,
    Received,
    Send,
    ShutdownRequested,
    Submit,
    Tick,
)
from coveport.serving.replication.identity import MemberId
from coveport.serving.replication.messages import Message
from coveport.serving.replication.replica import Replica
from coveport.serving.storage.writer import RecordWriter

TICK_S = 0.05
STALL_S = 0.6  # a tick that comes so much too late: the process was frozen or had no processor


@dataclass(slots=True)
class ReplicaCallbacks:
    """What the coordinator wants to know of its core."""

    send: Callable[[str, object], None]
    committed: Callable[[CommittedState], None]
    stalled: Callable[[float], None]  # how late, in seconds


class ReplicaRuntime:
    """One member of the core, alive."""

    def __init__(
        self, net: Net, member: Replica, writer: RecordWriter, hooks: ReplicaCallbacks, log: Any
    ) -> None:
        self._net = net
        self.member = member
        self._writer = writer
        self._hooks = hooks
        self._log = log
        self._waiting: dict[int, asyncio.Future[Outcome]] = {}
        self._request = 0
        self._ticking: asyncio.TimerHandle | None = None
        self._ticked_s = net.now_s()
        self._said: object = None

    def start(self) -> None:
        """Begin to tick."""
        self._tick()

    def stop(self) -> None:
        """Tick no more."""
        if self._ticking is not None:
            self._ticking.cancel()

    def receive(self, sender: MemberId, message: Message) -> None:
        """A message of replication came from another coordinator."""
        self._handle(Received(sender, message))

    def connected(self, address: str) -> None:
        """A connection to another coordinator has come up."""
        self._handle(Connected(address))

    def hand_over(self) -> None:
        """Another leads from here on: this process is about to stop."""
        self._handle(ShutdownRequested())

    async def submit(self, command: bytes) -> Outcome:
        """Run a command at the primary."""
        return await self._ask(lambda request: Submit(request, command))

    async def read_newest(self) -> Outcome:
        """The newest acknowledged state, confirmed by a majority."""
        return await self._ask(ReadNewest)

    async def _ask(self, make: Callable[[int], Event]) -> Outcome:
        self._request += 1
        request = self._request
        answer: asyncio.Future[Outcome] = self._net.loop.create_future()
        self._waiting[request] = answer
        try:
            self._handle(make(request))
            return await answer
        finally:
            self._waiting.pop(request, None)
            if not answer.done() or answer.cancelled():
                self._handle(CancelCall(request))

    def look_for_stall(self) -> None:
        """Notice that the process stood still; to be called before anything that came meanwhile is taken."""
        now = self._net.now_s()
        late_s = now - self._ticked_s - TICK_S
        if late_s > STALL_S:
            self._ticked_s = now
            self._log.warning("process_stalled", seconds=round(late_s, 2))
            self._hooks.stalled(late_s)

    def _tick(self) -> None:
        self.look_for_stall()
        self._ticked_s = self._net.now_s()
        self._handle(Tick())
        self._ticking = self._net.loop.call_later(TICK_S, self._tick)

    def _handle(self, event: Event) -> None:
        self._carry_out_all(self.member.handle(self._net.now_s(), event))
        self._say()

    def _say(self) -> None:
        """Log what changed of the view."""
        view = self.member.describe()
        if view != self._said:
            self._said = view
            self._log.info("view_changed", **view)

    def _carry_out_all(self, effects: list[Effect]) -> None:
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case Send(address, message):
                self._hooks.send(address, message)
            case Persist(token, records):
                self._writer.submit(records, lambda error: self._persisted(token, error))
            case Answer(request, outcome):
                waiting = self._waiting.get(request)
                if waiting is not None and not waiting.done():
                    waiting.set_result(outcome)
            case CommittedState():
                self._hooks.committed(effect)
            case MessageRejected(sender, problem):
                self._log.error("message_rejected", sender=sender, error=problem)

    def _persisted(self, token: int, error: OSError | None) -> None:
        if error is not None:
            self._log.error("disk_write_failed", error=str(error))
        self._handle(Persisted(token) if error is None else PersistFailed(token))
