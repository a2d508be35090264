"""HTTP/1.1 connections to ledger nodes, each of which carries one attempt at a time."""

from __future__ import annotations

import asyncio

from coveport import http1
from coveport.balancing import Outcome
from coveport.sidecar.reducer.endpoint import EndpointAddress
from coveport.sidecar.reducer.operation import Answer
from coveport.sidecar.reducer.streams import MAX_STREAMED_BODY_BYTES, Budget, Upload
from coveport.sidecar.upstream.attempt import Attempt, AttemptResult
from coveport.sidecar.upstream.http1_messages import encode_request, load_report, response_outcome
from coveport.sidecar.upstream.protocol import Pool

# Shared by all connections: the bytes are copied out before the next read.
_INBOX = memoryview(bytearray(64 * 1024))


class Connection(asyncio.BufferedProtocol):
    """One connection to a destination; implements `protocol.Connection`.

    `fields`: the names of a load report's values, in the settings' order. `budget`: limits the bytes of
    streamed bodies in memory.
    """

    def __init__(
        self,
        pool: Pool,
        number: int,
        endpoint: EndpointAddress,
        attempt: Attempt,
        fields: tuple[str, ...],
        budget: Budget,
    ) -> None:
        self._budget = budget
        self._pool = pool
        self.number = number
        self.endpoint = endpoint
        self._fields = fields
        self._attempt: Attempt | None = attempt
        self._parser = http1.ResponseParser(MAX_STREAMED_BODY_BYTES, http1.MAX_BODY_BYTES)
        self._upload: Upload | None = None  # the streamed request body that is being sent
        self._answer: http1.Response | None = None  # the streamed answer that is being forwarded
        self._read_paused = False
        self._unsent_bytes = 0  # bytes of a streamed body in the write buffer, as the budget counts them
        self._transport: asyncio.Transport | None = None
        self._write_paused = False
        self.idle_since = 0.0
        self.has_carried_rejection = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the attempt that the connection was opened for."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        # With a limit of 0, `pause_writing` means that the write buffer holds bytes, `resume_writing` that it
        # is empty.
        transport.set_write_buffer_limits(high=0)
        attempt = self._attempt
        self._attempt = None
        if attempt is None or attempt.ended:  # the attempt ended before its connection was up
            transport.abort()
            return
        self._pool.add_connection(self)
        self._pool.counters.add("connects")
        self.carry(attempt)

    def carry(self, attempt: Attempt) -> None:
        """Send an attempt on this connection."""
        assert self._transport is not None
        self._attempt = attempt
        attempt.connection = self
        self._write_paused = False
        if not attempt.may_start(self):
            self._pool.net.loop.call_soon(attempt.abandon_unsent)
            return
        if attempt.has_upload:
            # Called in the next iteration: an attempt must not end before `send` has returned it.
            self._pool.net.loop.call_soon(self._send_upload, attempt)
            return
        self._transport.write(encode_request(attempt, self.endpoint))
        if not self._write_paused and not self._transport.is_closing():
            attempt.mark_sent()

    def _send_upload(self, attempt: Attempt) -> None:
        if (
            attempt.ended
            or self._transport is None
            or attempt.operation is None
            or attempt.operation.upload is None
        ):
            return
        if not attempt.operation.upload.join(self):
            # The first bytes of the body have been released, so the attempt can't send them.
            attempt.end(AttemptResult(Outcome.MOOT), keep=True)
            return
        self._upload = attempt.operation.upload
        self._transport.write(encode_request(attempt, self.endpoint))
        self.forward_available()

    def forward_available(self) -> None:
        """Forward the chunks of a streamed request body that have been received."""
        upload, transport, attempt = self._upload, self._transport, self._attempt
        if upload is None or transport is None or attempt is None:
            return
        while (
            not self._write_paused and not transport.is_closing() and (chunk := upload.next(self)) is not None
        ):
            transport.write(chunk if upload.length is not None else http1.write_chunk(chunk))
            self._update_budget()
            attempt.progress_s = self._pool.net.now_s()
            upload.release_read()
        if not upload.is_read_by(self) or self._write_paused or transport.is_closing():
            return
        self._leave_upload()
        if upload.length is None:
            transport.write(http1.LAST_CHUNK)
        if not self._write_paused and not transport.is_closing():
            attempt.mark_sent()

    def _update_budget(self) -> None:
        """Update the budget with the number of bytes of a streamed body that are unsent."""
        unsent = self._transport.get_write_buffer_size() if self._transport is not None else 0
        self._budget.add(unsent - self._unsent_bytes)
        self._unsent_bytes = unsent

    def _leave_upload(self) -> None:
        upload = self._upload
        self._upload = None
        if upload is not None:
            upload.leave(self)

    @property
    def is_waiting_for_client(self) -> bool:
        """Whether a streamed body makes no progress because the client sends or reads nothing."""
        return self._read_paused or (self._upload is not None and not self._write_paused)

    def pause(self) -> None:
        """Pause reading."""
        if not self._read_paused and self._transport is not None and not self._transport.is_closing():
            self._read_paused = True
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resume reading."""
        if self._read_paused and self._transport is not None and not self._transport.is_closing():
            self._read_paused = False
            self._transport.resume_reading()

    def pause_writing(self) -> None:
        """Record that the transport could not write all bytes."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Continue, as the transport has written all bytes."""
        self._write_paused = False
        if self._upload is not None:
            self._update_budget()
            self._pool.net.loop.call_soon(self.forward_available)
        elif self._attempt is not None:
            self._attempt.mark_sent()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return _INBOX[: self._budget.read_limit()] if self._answer is not None else _INBOX

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes of the answer that were read."""
        attempt = self._attempt
        if attempt is None:  # stray bytes: there is no attempt that they could belong to
            self.drop()
            return
        try:
            self._parser.feed(_INBOX[:nbytes])
            if self._answer is not None:
                self._forward(attempt, self._answer)
                return
            response = self._parser.next_response()
        except http1.RemoteProtocolError as error:
            self._fail_malformed(attempt, error)
            return
        if response is not None and response.is_streamed:
            self._begin_answer(attempt, response)
        elif response is not None:
            if response.status == 200 and not attempt.sent:
                # Guards against a success for an operation that the node has not received completely.
                attempt.fail_malformed()
                return
            self._end_attempt(attempt, response)

    def _end_attempt(self, attempt: Attempt, response: http1.Response) -> None:
        """End the attempt with a complete answer; keep the connection if its next answer can be matched."""
        result = self._result(response)
        keep = response.keep_alive and attempt.sent and not self._parser.is_mid_message
        if result.outcome is Outcome.FULL:
            # The second rejection may be a late copy of the first: then the answer to this attempt is still
            # to come, and would be taken for that to the next one.
            keep = keep and not self.has_carried_rejection
            self.has_carried_rejection = True
        attempt.end(result, keep)

    def _begin_answer(self, attempt: Attempt, response: http1.Response) -> None:
        """Begin a streamed answer, whose head was received."""
        outcome = response_outcome(response)
        content_types = response.headers.get("content-type")
        if outcome is not Outcome.OK or not attempt.sent:
            attempt.end(
                AttemptResult(outcome if attempt.sent else Outcome.CONNECT_FAILED)
            )  # the body is not read
            return
        self._answer = response
        if not attempt.begin(
            Answer(b"", content_types[0] if content_types else None, response.content_length)
        ):
            attempt.end(AttemptResult(Outcome.CANCELLED))
            return
        try:
            self._forward(attempt, response)
        except http1.RemoteProtocolError as error:
            self._fail_malformed(attempt, error)

    def _forward(self, attempt: Attempt, response: http1.Response) -> None:
        data, is_last = self._parser.next_data()
        attempt.progress_s = self._pool.net.now_s()
        if data and attempt.sink is not None:
            attempt.sink.more(data)
        if is_last:
            self._finish(attempt, response, keep=response.keep_alive and not self._parser.is_mid_message)

    def _finish(self, attempt: Attempt, response: http1.Response, *, keep: bool) -> None:
        self._answer = None
        attempt.end(AttemptResult(Outcome.OK, None, load_report(response, self._fields)), keep)

    def _fail_malformed(self, attempt: Attempt, error: http1.RemoteProtocolError) -> None:
        self._pool.log.note("garbled answer", "{}:{}: {}".format(*self.endpoint[0], error))
        self._pool.counters.add("answers_garbled")
        attempt.fail_malformed()

    def _result(self, response: http1.Response) -> AttemptResult:
        content_types = response.headers.get("content-type")
        return AttemptResult(
            response_outcome(response),
            Answer(response.body, content_types[0] if content_types else None),
            load_report(response, self._fields),
        )

    def eof_received(self) -> bool:
        """Handle the end of stream, which completes an answer without a length."""
        attempt = self._attempt
        if attempt is not None:
            response = self._parser.receive_eof()
            if response is not None and self._answer is not None:
                self._finish(attempt, response, keep=False)
            elif response is not None:
                attempt.end(self._result(response))
            else:
                attempt.fail_connection()
        self.drop()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, whichever side has closed it."""
        self._transport = None
        self._update_budget()
        self._pool.forget(self)
        if self._attempt is not None:
            self._attempt.fail_connection()

    def release(self, keep: bool) -> None:
        """Return to the pool (`keep`) or close, as the attempt has ended."""
        self._attempt = None
        self._answer = None
        self._leave_upload()
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
            # Guards against a retry that reaches a node before this close: abort alone closes in the next
            # iteration of the event loop, and until then the cancelled attempt would count as in flight.
            self._pool.net.shut_down(self._transport)
            self._transport.abort()

    @property
    def is_quiet(self) -> bool:
        """Whether nothing has arrived since the last answer: neither an end of stream nor stray bytes."""
        # Guards against a connection that has just been closed: the operation would fail by a reset.
        return self._transport is not None and self._pool.net.is_quiet(self._transport)


class Dialer:
    """Opens connections by HTTP/1.1 over TCP; see `coveport.sidecar.upstream.protocol.Dial`.

    `fields`: the names of a load report's values, in the settings' order. `budget`: limits the bytes of
    streamed bodies in memory.
    """

    def __init__(self, fields: tuple[str, ...], budget: Budget) -> None:
        self._fields = fields
        self._budget = budget

    async def __call__(self, pool: Pool, number: int, endpoint: EndpointAddress, attempt: Attempt) -> None:
        """Connect; the new connection sends the attempt."""
        await pool.net.dial(
            lambda: Connection(pool, number, endpoint, attempt, self._fields, self._budget), endpoint[0]
        )
