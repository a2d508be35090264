"""HTTP/1.1 to ledger nodes: one connection, one route step on it at a time."""

from __future__ import annotations

import asyncio
from math import isfinite

from coveport import http1
from coveport.balancing import Outcome
from coveport.sidecar.reducer.locality import Place
from coveport.sidecar.reducer.operation import Answer
from coveport.sidecar.reducer.streams import MOST_BODY, Budget, Upload
from coveport.sidecar.upstream.protocol import Pool
from coveport.sidecar.upstream.route_step import RouteStep, StepResult

PROBE_PATH = "/ping"

# One buffer for all connections: what is read is taken out of it before the next read begins.
_INBOX = memoryview(bytearray(64 * 1024))


def outcome_of(response: http1.Response) -> Outcome:
    """What a whole answer says."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.headers.get("x-not-run") == ["1"]:
        return Outcome.FULL
    return Outcome.ERROR  # the cautious reading of all else: it may have run


def load_of(response: http1.Response, fields: tuple[str, ...]) -> tuple[float, ...]:
    """The load report that came along, in the order of `fields`; empty where it is not whole and finite."""
    lines = response.headers.get("x-load")
    if not lines:
        return ()
    told = dict(part.strip().partition("=")[::2] for part in lines[0].split(","))
    try:
        load = tuple(float(told[name]) for name in fields)
    except (KeyError, ValueError):
        return ()
    return load if all(map(isfinite, load)) else ()


def request_of(step: RouteStep, place: Place) -> bytes:
    """A route step as bytes."""
    host = "{}:{}".format(*place[0])
    operation = step.operation
    if operation is None:
        return http1.write_request("GET", PROBE_PATH, [("Host", host)])
    headers = [
        ("Host", host),
        ("X-Request-Id", operation.id),
        ("X-Deadline", f"{max(1, round(step.left_s * 1000))}m"),
    ]
    if operation.key is not None:
        headers.append(("Idempotency-Key", operation.key))
    headers.extend(("content-type", value) for value in operation.content_type)
    headers.extend(("accept", value) for value in operation.accept)
    if operation.upload is not None:  # its body follows
        length = operation.upload.length
        headers.append(http1.CHUNKED if length is None else ("Content-Length", str(length)))
        return http1.write_head(f"{operation.method} {operation.target} HTTP/1.1", headers)
    return http1.write_request(operation.method, operation.target, headers, operation.body)


class Link(asyncio.BufferedProtocol):
    """One connection to a destination."""

    def __init__(
        self, pool: Pool, number: int, place: Place, step: RouteStep, fields: tuple[str, ...], budget: Budget
    ) -> None:
        self._budget = budget
        self._pool = pool
        self.number = number
        self.place = place
        self._fields = fields
        self._step: RouteStep | None = step
        self._parser = http1.ResponseParser(MOST_BODY, http1.MAX_BODY_BYTES)
        self._upload: Upload | None = None  # the long body that is being sent
        self._answer: http1.Response | None = None  # the long answer that is being passed on
        self._paused = False
        self._left = 0  # bytes of a long body that were unsent when last looked at
        self._transport: asyncio.Transport | None = None
        self._unsent = False
        self.idle_since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the route step that the connection was opened for."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # With no room below, a pause says that bytes are still ours, and resume that all are handed over.
        transport.set_write_buffer_limits(high=0)
        step, self._step = self._step, None
        if step is None or step.over:  # guards against a late connect for what is over
            transport.abort()
            return
        self._pool.joined(self)
        self._pool.counters.add("connects")
        self.carry(step)

    def carry(self, step: RouteStep) -> None:
        """Send a route step on this connection."""
        assert self._transport is not None
        self._step, step.link, self._unsent = step, self, False
        if not step.may_go(self):
            self._pool.net.loop.call_soon(step.fenced)
            return
        if step.long:
            # Held until this returns: a step never ends before its caller has it.
            self._pool.net.loop.call_soon(self._send_long, step)
            return
        self._transport.write(request_of(step, self.place))
        if not self._unsent and not self._transport.is_closing():
            step.hand()

    def _send_long(self, step: RouteStep) -> None:
        if step.over or self._transport is None or step.operation is None or step.operation.upload is None:
            return
        if not step.operation.upload.join(self):
            step.end(StepResult(Outcome.MOOT), keep=True)  # what has been sent elsewhere is gone
            return
        self._upload = step.operation.upload
        self._transport.write(request_of(step, self.place))
        self.more()

    def more(self) -> None:
        """Send on what has come of a long body."""
        upload, transport, step = self._upload, self._transport, self._step
        if upload is None or transport is None or step is None:
            return
        while not self._unsent and not transport.is_closing() and (piece := upload.next(self)) is not None:
            transport.write(piece if upload.length is not None else http1.write_chunk(piece))
            self._weigh()
            step.moved_at = self._pool.net.now_s()
            upload.took()
        if not upload.ended(self) or self._unsent or transport.is_closing():
            return
        self._leave()
        if upload.length is None:
            transport.write(http1.LAST_CHUNK)
        if not self._unsent and not transport.is_closing():
            step.hand()

    def _weigh(self) -> None:
        """Tell the budget how much of a long body is unsent."""
        left = self._transport.get_write_buffer_size() if self._transport is not None else 0
        self._budget.take(left - self._left)
        self._left = left

    def _leave(self) -> None:
        upload, self._upload = self._upload, None
        if upload is not None:
            upload.leave(self)

    @property
    def waits(self) -> bool:
        """Whether a long body stands still because the client's side does."""
        return self._paused or (self._upload is not None and not self._unsent)

    def pause(self) -> None:
        """Read no more for now."""
        if not self._paused and self._transport is not None and not self._transport.is_closing():
            self._paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Read on."""
        if self._paused and self._transport is not None and not self._transport.is_closing():
            self._paused = False
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        """Not all is handed to the connection yet."""
        self._unsent = True

    def resume_writing(self) -> None:
        """The last byte has been handed over."""
        self._unsent = False
        if self._upload is not None:
            self._weigh()
            self._pool.net.loop.call_soon(self.more)
        elif self._step is not None:
            self._step.hand()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where to read to."""
        return _INBOX[: self._budget.read_most()] if self._answer is not None else _INBOX

    def buffer_updated(self, nbytes: int) -> None:
        """Read on in the answer."""
        step = self._step
        if step is None:  # guards against stray bytes: nobody knows what they would answer
            self.drop()
            return
        try:
            self._parser.feed(_INBOX[:nbytes])
            if self._answer is not None:
                self._pass_on(step, self._answer)
                return
            response = self._parser.next_response()
        except http1.RemoteProtocolError as problem:
            self._garbled(step, problem)
            return
        if response is not None and response.is_streamed:
            self._begin(step, response)
        elif response is not None:
            if response.status == 200 and not step.handed:
                # Guards against what can't have been made for an operation that nobody has whole yet.
                step.garbled()
                return
            keep = response.keep_alive and step.handed and not self._parser.is_mid_message
            step.end(self._result(response), keep)

    def _begin(self, step: RouteStep, response: http1.Response) -> None:
        """A long answer begins to come."""
        outcome = outcome_of(response)
        kinds = response.headers.get("content-type")
        if outcome is not Outcome.OK or not step.handed:
            step.end(StepResult(outcome if step.handed else Outcome.CONNECT_FAILED))  # its body is nobody's
            return
        self._answer = response
        if not step.begin(Answer(b"", kinds[0] if kinds else None, response.content_length)):
            step.end(StepResult(Outcome.CANCELLED))
            return
        try:
            self._pass_on(step, response)
        except http1.RemoteProtocolError as problem:
            self._garbled(step, problem)

    def _pass_on(self, step: RouteStep, response: http1.Response) -> None:
        data, over = self._parser.next_data()
        step.moved_at = self._pool.net.now_s()
        if data and step.sink is not None:
            step.sink.more(data)
        if over:
            self._finish(step, response, response.keep_alive and not self._parser.is_mid_message)

    def _finish(self, step: RouteStep, response: http1.Response, keep: bool) -> None:
        self._answer = None
        step.end(StepResult(Outcome.OK, None, load_of(response, self._fields)), keep)

    def _garbled(self, step: RouteStep, problem: http1.RemoteProtocolError) -> None:
        self._pool.log.note("garbled answer", "{}:{}: {}".format(*self.place[0], problem))
        self._pool.counters.add("answers_garbled")
        step.garbled()

    def _result(self, response: http1.Response) -> StepResult:
        kinds = response.headers.get("content-type")
        return StepResult(
            outcome_of(response),
            Answer(response.body, kinds[0] if kinds else None),
            load_of(response, self._fields),
        )

    def eof_received(self) -> bool:
        """The destination ends; what was only waiting for that is whole now."""
        step = self._step
        if step is not None:
            response = self._parser.receive_eof()
            if response is not None and self._answer is not None:
                self._finish(step, response, False)
            elif response is not None:
                step.end(self._result(response))
            else:
                step.broken()
        self.drop()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """It is gone, whoever ended it."""
        self._transport = None
        self._weigh()
        self._pool.forget(self)
        if self._step is not None:
            self._step.broken()

    def release(self, keep: bool) -> None:
        """The route step is over: wait for the next one, or close."""
        self._step = self._answer = None
        self._leave()
        if keep:
            self.resume()
        if keep and self._transport is not None and not self._transport.is_closing():
            self._pool.put_idle(self)
        else:
            self.drop()

    def drop(self) -> None:
        """Close at once."""
        self._pool.forget(self)
        if self._transport is not None:
            # Guards against a resend that overtakes the close: abort alone closes in the loop's next turn,
            # and until then the route step given up would count as still out beside its successor.
            self._pool.net.shut_down(self._transport)
            self._transport.abort()

    @property
    def quiet(self) -> bool:
        """Whether nothing has come since the last answer: neither an end nor stray bytes."""
        # Guards against a connection that has just been closed: a reset would cost the operation.
        return self._transport is not None and self._pool.net.is_quiet(self._transport)


class Dialer:
    """Opens connections by HTTP/1.1 over TCP; see `coveport.sidecar.upstream.protocol.Dial`.

    `fields`: the names of a load report's figures, in the settings' order. `budget`: of bytes of long bodies.
    """

    def __init__(self, fields: tuple[str, ...], budget: Budget) -> None:
        self._fields = fields
        self._budget = budget

    async def __call__(self, pool: Pool, number: int, place: Place, step: RouteStep) -> None:
        """Connect; the link that comes up sends the step."""
        await pool.net.dial(lambda: Link(pool, number, place, step, self._fields, self._budget), place[0])
