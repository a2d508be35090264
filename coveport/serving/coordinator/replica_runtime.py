"""Runs this coordinator's replica: passes ticks, messages and commands to it, and executes its effects."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from coveport.net.transport import Net
from coveport.serving.coordinator.stall_detector import TICK_INTERVAL_S, StallDetector
from coveport.serving.log import EventLogger
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


@dataclass(frozen=True, slots=True)
class ReplicaCallbacks:
    """Functions that the runtime calls for effects of the replica."""

    send: Callable[[str, object], None]  # its arguments: inner address, message
    on_committed: Callable[[CommittedState], None]


class ReplicaRuntime:
    """A replica, its timer, its writer, and the calls that await an outcome."""

    def __init__(
        self,
        net: Net,
        replica: Replica,
        writer: RecordWriter,
        stall_detector: StallDetector,
        callbacks: ReplicaCallbacks,
        log: EventLogger,
    ) -> None:
        self._net = net
        self.replica = replica
        self._writer = writer
        self._stall_detector = stall_detector
        self._callbacks = callbacks
        self._log = log
        self._pending_calls: dict[int, asyncio.Future[Outcome]] = {}
        self._last_call_id = 0
        self._tick_timer: asyncio.TimerHandle | None = None
        self._logged_view: object = None

    def start(self) -> None:
        """Start the tick timer."""
        self._tick()

    def stop(self) -> None:
        """Stop the tick timer; from here on the replica only responds to input."""
        if self._tick_timer is not None:
            self._tick_timer.cancel()

    def receive(self, sender: MemberId, message: Message) -> None:
        """Handle a replication message of another coordinator."""
        self._handle(Received(sender, message))

    def record_connected(self, address: str) -> None:
        """Handle a new connection to another coordinator."""
        self._handle(Connected(address))

    def request_shutdown(self) -> None:
        """Let the replica hand over leadership and its state before this process stops."""
        self._handle(ShutdownRequested())

    async def submit(self, command: bytes) -> Outcome:
        """Run a command; if this task is cancelled, withdraw a command that was not started yet."""
        return await self._call(lambda call_id: Submit(call_id, command))

    async def read_newest(self) -> Outcome:
        """Return the newest acknowledged state, confirmed by a majority."""
        return await self._call(ReadNewest)

    async def _call(self, make_event: Callable[[int], Event]) -> Outcome:
        self._last_call_id += 1
        call_id = self._last_call_id
        outcome_future: asyncio.Future[Outcome] = self._net.loop.create_future()
        self._pending_calls[call_id] = outcome_future
        try:
            self._handle(make_event(call_id))
            return await outcome_future
        finally:
            self._pending_calls.pop(call_id, None)
            if not outcome_future.done() or outcome_future.cancelled():
                self._handle(CancelCall(call_id))

    def _tick(self) -> None:
        self._stall_detector.record_tick()
        self._handle(Tick())
        self._tick_timer = self._net.loop.call_later(TICK_INTERVAL_S, self._tick)

    def _handle(self, event: Event) -> None:
        for effect in self.replica.handle(self._net.now_s(), event):
            self._execute(effect)
        self._log_view_change()

    def _log_view_change(self) -> None:
        view = self.replica.describe()
        if view != self._logged_view:
            self._logged_view = view
            self._log.info("view_changed", **view)

    def _execute(self, effect: Effect) -> None:
        match effect:
            case Send(address, message):
                self._callbacks.send(address, message)
            case Persist(token, records):
                self._writer.submit(records, lambda error: self._on_written(token, error))
            case Answer(call_id, outcome):
                self._set_outcome(call_id, outcome)
            case CommittedState():
                self._callbacks.on_committed(effect)
            case MessageRejected(sender, problem):
                self._log.error("message_rejected", sender=sender, error=problem)

    def _set_outcome(self, call_id: int, outcome: Outcome) -> None:
        outcome_future = self._pending_calls.get(call_id)
        if outcome_future is not None and not outcome_future.done():
            outcome_future.set_result(outcome)

    def _on_written(self, token: int, error: OSError | None) -> None:
        if error is None:
            self._handle(Persisted(token))
            return
        self._log.error("disk_write_failed", error=str(error))
        self._handle(PersistFailed(token))
