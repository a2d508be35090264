"""One client connection: reads requests, submits operations, writes their responses.

A connection is idle, reads a request, waits for its response, writes a response, or is ending. While it is
ending it discards what it reads, as a close with unread bytes would cause a reset that destroys the last
response. It carries one operation at a time; pipelined requests wait in the parser, and above
MAX_PIPELINED_BYTES in the socket.
"""

from __future__ import annotations

import asyncio
import contextlib

from coveport import http1
from coveport.sidecar.downstream.context import DownstreamContext
from coveport.sidecar.downstream.limits import (
    FIRST_REQUEST_S,
    FIRST_TURNS_S,
    FRESH_S,
    HEAD_S,
    IDLE_S,
    LINGER_S,
    MAX_DISCARDED_BYTES,
    MAX_PIPELINED_BYTES,
    MIN_BODY_BYTES_PER_S,
    READ_BYTES,
    UNREAD_RESPONSE_S,
    UPLOAD_LINGER_S,
)
from coveport.sidecar.downstream.operation_reader import read_operation
from coveport.sidecar.downstream.upload_timing import UploadTiming
from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.operation import Answer, Operation
from coveport.sidecar.reducer.streams import MAX_STREAMED_BODY_BYTES, Upload
from coveport.sidecar.upstream.attempt import Attempt

HEALTH_PATH = "/_health"

# Shared by all connections: the bytes are copied out before the next read.
_INBOX = memoryview(bytearray(READ_BYTES))
_STATUS = {Verdict.SERVED: 200, Verdict.BUSY: 503, Verdict.FAILED: 500, Verdict.DUPLICATE: 409}


class ClientConnection(asyncio.BufferedProtocol):
    """One client connection, which carries one operation at a time."""

    def __init__(self, context: DownstreamContext) -> None:
        self._context = context
        self._parser = http1.RequestParser(MAX_STREAMED_BODY_BYTES, http1.MAX_BODY_BYTES)
        self._transport: asyncio.Transport | None = None
        # When the connection went idle, or when the present request or response began or last made progress;
        # the first request counts from the connect. Monotonic seconds.
        self._phase_began_at = 0.0
        self._operation: int | None = None  # the number of the operation that waits for its response
        self._upload: Upload | None = None  # the streamed request body that is being received
        self._upload_timing = UploadTiming(0.0)
        self._response_source: Attempt | None = None  # source of the streamed response that is being written
        self._is_response_chunked = False
        self._unsent_bytes = 0  # number of response bytes in the write buffer when they were last counted
        self._keep_alive = True
        self._omits_body = False  # whether the request is a HEAD request
        self._has_been_used = False  # whether the connection has carried a complete request
        self._is_excess = False  # whether there were more clients than allowed when this client connected
        self._is_write_paused = False
        self._is_read_paused = False
        self._is_ending = False  # whether the last response has been written or the client has disconnected
        self._discarded_bytes = 0  # bytes read since the connection began to end
        self._max_discarded_bytes = MAX_DISCARDED_BYTES
        self._linger_s = LINGER_S  # how long the connection is read on while it is ending
        # When the stall of the process began during which the first request may have arrived; None: no stall.
        self._stalled_since: float | None = None

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add this client; where there are too many, close a connection that has no operation."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        context = self._context
        self._phase_began_at = context.net.now_s()
        context.clients.add(self)
        self._stalled_since = context.sweep_timer.stalled_since
        context.sweep_timer.start()
        if context.clients.is_overfull:
            context.clients.shed(1)
            self._is_excess = context.clients.is_overfull

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into; the byte budget limits its size for a streamed body."""
        return _INBOX[: self._context.budget.read_limit()] if self._upload is not None else _INBOX

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that were read."""
        if self._is_ending:
            self._discarded_bytes += nbytes
            if self._discarded_bytes > self._max_discarded_bytes:
                self._pause_reading()
            return
        if self._has_been_used and not self._parser.is_mid_message:
            self._phase_began_at = self._context.net.now_s()
        elif (
            self._stalled_since is not None
            and self._context.net.now_s() > self._phase_began_at + FIRST_TURNS_S
        ):
            self._stalled_since = None  # nothing was waiting to be read when the connection was accepted
        self._parser.feed(_INBOX[:nbytes])
        if self._upload is not None:
            self._upload_timing.received(self._context.net.now_s())
            self._read_upload(self._upload)
        else:
            self._read_requests()
        # Guards against a client that pipelines requests without limit.
        if len(self._parser.buffer) > MAX_PIPELINED_BYTES:
            self._pause_reading()

    def pause_writing(self) -> None:
        """Record that the client reads more slowly than responses are written."""
        self._is_write_paused = True

    def resume_writing(self) -> None:
        """Continue once the write buffer is empty."""
        self._is_write_paused = False
        self._count_unsent()
        if self._response_source is not None:
            self._phase_began_at = self._context.net.now_s()
            self._response_source.resume()
            return
        self._context.net.loop.call_soon(self._read_requests)

    def eof_received(self) -> bool:
        """Cancel the operation and drop pipelined requests, because the client has disconnected."""
        self._cancel()
        self._is_ending = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove this client, whichever side has closed the connection."""
        self._cancel()
        self._is_ending = True
        self._transport = None
        self._count_unsent()
        self._context.clients.remove(self)

    # Requests.

    def _read_requests(self) -> None:
        while self._operation is None and not self._is_write_paused and not self._is_ending:
            try:
                request = self._parser.next_request()
                if request is None:
                    self._send_continue_if_wanted()
                    break
                if self._is_read_paused and len(self._parser.buffer) <= MAX_PIPELINED_BYTES:
                    self._resume_reading()
                self._phase_began_at = self._context.net.now_s()
                if not self._has_been_used:
                    self._has_been_used = True
                    self._context.clients.set_used(self)
                self._handle(request)
            except http1.RemoteProtocolError as error:
                self._reject(error)

    def _handle(self, request: http1.Request) -> None:
        context = self._context
        self._keep_alive = request.keep_alive
        self._omits_body = request.method == "HEAD"
        if request.target.partition("?")[0] == HEALTH_PATH:
            if request.method not in ("GET", "HEAD"):
                raise http1.RemoteProtocolError(405, "wrong method", Allow="GET, HEAD")
            self._write(200 if context.is_ready() else 503)
            return
        if request.is_streamed:
            # False until the body is complete: after an error the rest of the body is unread.
            self._keep_alive = False
        operation = read_operation(request, context.classes)
        operation.is_admitted = not self._is_rejected
        operation.wait_ms -= max(context.sweep_timer.stalled_s(), self._first_request_stalled_s()) * 1000
        context.counters.add("operations")
        self._operation = context.next_operation_number()
        if request.is_streamed:
            self._begin_upload(request, operation)
        else:
            context.submit(self._operation, self, operation)

    def _first_request_stalled_s(self) -> float:
        """Return how long the first request may have waited unread; 0 unless it arrived during a stall."""
        since = self._stalled_since
        self._stalled_since = None
        return self._context.net.now_s() - since if since is not None else 0.0

    def _send_continue_if_wanted(self) -> None:
        if self._parser.wants_continue and self._transport is not None:
            self._transport.write(http1.write_response(100))

    def _reject(self, error: http1.RemoteProtocolError) -> None:
        self._context.counters.add(f"rejected_{error.status}")
        self._context.log.note("bad request", f"{error.status}: {error}")
        # The connection stays usable only if the request was read to its end.
        self._keep_alive = self._keep_alive and error.status in (404, 405)
        self._write(error.status, list(error.headers.items()), f"{error}\n".encode())

    # Streamed request bodies.

    def _begin_upload(self, request: http1.Request, operation: Operation) -> None:
        assert self._operation is not None
        upload = Upload(self._context.budget, request.content_length, self._resume_upload)
        operation.upload = upload
        self._upload = upload
        self._upload_timing = UploadTiming(self._context.net.now_s())
        self._send_continue_if_wanted()
        self._context.submit(self._operation, self, operation)
        if self._upload is upload:
            self._read_upload(upload)

    def _read_upload(self, upload: Upload) -> None:
        try:
            data, is_last = self._parser.next_data()
        except http1.RemoteProtocolError as error:
            self._abort_upload(error)
            return
        if data:
            upload.push(data)
        if self._upload is not upload:
            return  # the response has come in the meantime
        if is_last:
            self._upload = None
            self._keep_alive = self._parser.keep_alive
            upload.finish()
            assert self._operation is not None
            self._phase_began_at = self._context.net.now_s()
            self._context.on_upload_complete(self._operation, self._context.sweep_timer.stalled_s() * 1000)
        elif upload.is_full and not self._is_read_paused and self._transport is not None:
            self._upload_timing.paused(self._context.net.now_s())
            self._pause_reading()

    def _resume_upload(self) -> None:
        """Resume reading: the upload accepts more of the body."""
        if self._upload is not None and self._is_read_paused and self._transport is not None:
            self._upload_timing.resumed(self._context.net.now_s())
            self._resume_reading()

    def _abort_upload(self, error: http1.RemoteProtocolError) -> None:
        """Reject a streamed body that is malformed or late: no node has its last byte, so nothing runs."""
        self._cancel()
        self._keep_alive = False
        self._reject(error)

    def _drop_upload(self) -> None:
        upload = self._upload
        self._upload = None
        if upload is not None:
            # Guards against a reset that destroys the response to a client that is still sending: it may send
            # the rest of the body before it reads. A body that is too long has been rejected by its head.
            self._max_discarded_bytes = MAX_STREAMED_BODY_BYTES
            self._linger_s = UPLOAD_LINGER_S
            upload.close()
            if self._transport is not None and not self._transport.is_closing():
                self._resume_reading()

    # Responses.

    def answer(self, verdict: Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """Write the final response to the present operation."""
        self._operation = None
        self._drop_upload()
        body = b""
        headers = list[tuple[str, str]]()
        if verdict is Verdict.SERVED:
            assert answer is not None
            body = answer.body
            if answer.content_type is not None:
                headers.append(("Content-Type", answer.content_type))
        elif verdict is Verdict.BUSY and retry_after_ms > 0:
            headers.append(("Retry-After", f"{retry_after_ms / 1000:.3f}"))
        self._write(_STATUS[verdict], headers, body)
        if self._parser.is_mid_message:
            self._context.net.loop.call_soon(self._read_requests)

    def begin(self, answer: Answer, source: Attempt) -> None:
        """Begin the final response as a stream whose data come from `source`."""
        self._response_source = source
        self._is_response_chunked = answer.length is None and not self._parser.is_http10
        headers = [("Content-Type", answer.content_type)] if answer.content_type is not None else []
        if answer.length is not None:
            headers.append(("Content-Length", str(answer.length)))
        elif self._is_response_chunked:
            headers.append(http1.CHUNKED)
        else:
            self._keep_alive = False  # the end of the connection marks the end of the body
        self._keep_alive = self._keep_alive and not self._closes_after_response
        headers.extend(self._connection_header(keep_alive=self._keep_alive))
        self._phase_began_at = self._context.net.now_s()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(http1.write_head("HTTP/1.1 200 OK", headers))

    def more(self, data: bytes) -> None:
        """Write a chunk of the streamed response; pause its source while the client doesn't read."""
        if self._transport is None or self._transport.is_closing():
            return
        self._phase_began_at = self._context.net.now_s()
        self._transport.write(http1.write_chunk(data) if self._is_response_chunked else data)
        self._count_unsent()
        if self._is_write_paused and self._response_source is not None:
            self._response_source.pause()

    def finish(self, complete: bool) -> None:
        """End the streamed response; with a reset if it is incomplete, so that the client can detect it."""
        self._operation = None
        self._response_source = None
        if self._transport is None or self._transport.is_closing():
            return
        if not complete:
            self._context.net.reset(self._transport)
            return
        if self._is_response_chunked:
            self._transport.write(http1.LAST_CHUNK)
        self._phase_began_at = self._context.net.now_s()
        if not self._keep_alive or self._closes_after_response:
            self._end()
        elif self._parser.is_mid_message:
            self._context.net.loop.call_soon(self._read_requests)

    def _write(self, status: int, headers: list[tuple[str, str]] | None = None, body: bytes = b"") -> None:
        if self._transport is None or self._transport.is_closing():
            return
        keep_alive = self._keep_alive and not self._closes_after_response
        all_headers = [*(headers or ()), *self._connection_header(keep_alive=keep_alive)]
        self._phase_began_at = self._context.net.now_s()
        data = http1.write_response(status, all_headers, body)
        self._transport.write(data[: len(data) - len(body)] if self._omits_body else data)
        if not keep_alive:
            self._end()

    def _connection_header(self, *, keep_alive: bool) -> tuple[tuple[str, str], ...]:
        if not keep_alive:
            return (("Connection", "close"),)
        # An HTTP/1.0 client that requested keep-alive expects a confirmation.
        return (("Connection", "keep-alive"),) if self._parser.is_http10 else ()

    @property
    def _closes_after_response(self) -> bool:
        # A request that has begun to arrive is still served on this connection.
        return (self._context.closes_after_response or self._is_rejected) and not self._parser.is_mid_message

    def _count_unsent(self) -> None:
        """Update the budget with the number of response bytes that are unsent."""
        unsent = self._transport.get_write_buffer_size() if self._transport is not None else 0
        self._context.budget.add(unsent - self._unsent_bytes)
        self._unsent_bytes = unsent

    # Closing, and time-outs.

    @property
    def phase_began_at(self) -> float:
        """When the connection went idle, or was opened if it has carried no request; monotonic seconds."""
        return self._phase_began_at

    @property
    def _is_rejected(self) -> bool:
        """Whether there were too many clients when this client connected, and there still are too many."""
        return self._is_excess and self._context.clients.is_overfull

    def may_close_idle(self, fresh_until: float) -> bool:
        """Return whether the client is between requests, or sent none and connected before `fresh_until`."""
        # Guards against losing a request: it may be unread, or on its way on a connection just accepted. A
        # client resends it only if it has used the connection before.
        return (
            self._has_nothing_in_flight
            and not self._parser.is_mid_message
            and (self._has_been_used or self._phase_began_at < fresh_until)
            and self._is_quiet
        )

    def may_close_ending(self) -> bool:
        """Return whether the last response has been written, and no unread bytes would cause a reset."""
        return self._is_ending and not self._is_write_paused and self._is_quiet

    def may_close_unused(self) -> bool:
        """Return whether all received bytes have been read without a complete request among them."""
        return self._has_nothing_in_flight and not self._has_been_used and self._is_quiet

    @property
    def _has_nothing_in_flight(self) -> bool:
        return not (
            self._operation is not None
            or self._is_write_paused
            or self._is_ending
            or self._transport is None
            or self._transport.is_closing()
        )

    @property
    def _is_quiet(self) -> bool:
        # While reading is paused there may be unread bytes.
        return (
            not self._is_read_paused
            and self._transport is not None
            and self._context.net.is_quiet(self._transport)
        )

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if the end of stream is unread.

        If the client has disconnected, the operation is cancelled soon.
        """
        if self._transport is None:
            return True
        if not self._context.net.has_peer_closed(self._transport):
            return False
        self._context.net.loop.call_soon(self._cancel_and_close)
        return True

    def check(self, now: float) -> None:
        """Enforce the time-outs, and close idle connections during a shutdown."""
        if self._is_read_paused and self.has_disconnected():
            return  # while reading is paused, asyncio doesn't report the disconnect
        if self._is_write_paused and self._transport is not None:
            unsent = self._transport.get_write_buffer_size()
            if unsent != self._unsent_bytes:
                self._phase_began_at = now  # the client has read something
                self._count_unsent()
        if self._upload is not None:
            if self._is_request_slow(now):
                self._abort_upload(http1.RemoteProtocolError(408, "the request did not come whole"))
            return
        is_writing_stalled = self._response_source is not None and self._is_write_paused
        if self._operation is None or is_writing_stalled:
            self._check_phase(now)

    def _check_phase(self, now: float) -> None:
        elapsed_s = now - self._phase_began_at
        if self._is_write_paused or self._is_ending:
            if elapsed_s > (UNREAD_RESPONSE_S if self._is_write_paused else self._linger_s):
                self.close()
        elif self._parser.is_mid_message:
            if self._is_request_slow(now):
                self._keep_alive = False
                self._reject(http1.RemoteProtocolError(408, "the request did not come whole"))
        # Guards against silent connections: hundreds of them would leave no capacity for other clients.
        elif (
            self._context.is_closing
            or not self._context.keeps_idle
            or elapsed_s > (IDLE_S if self._has_been_used else FIRST_REQUEST_S)
        ) and self.may_close_idle(now - FRESH_S):
            self.close()

    def _is_request_slow(self, now: float) -> bool:
        """Return whether the present request takes longer to arrive than allowed."""
        elapsed_s = now - self._phase_began_at
        if self._upload is None:
            if self._context.is_closing:
                return elapsed_s > LINGER_S
        else:
            if self._upload_timing.is_stalled(now):
                return True
            elapsed_s -= self._upload_timing.paused_s(now)
        return elapsed_s > HEAD_S + self._parser.received_body_bytes / MIN_BODY_BYTES_PER_S

    def _pause_reading(self) -> None:
        if not self._is_read_paused and self._transport is not None:
            self._is_read_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_read_paused and self._transport is not None:
            self._is_read_paused = False
            self._transport.resume_reading()

    def _end(self) -> None:
        """Close once all is written and read: unread bytes would cause a reset that destroys the response."""
        self._is_ending = True
        self._context.clients.set_ending(self)
        if self._transport is not None and not self._transport.is_closing():
            self._resume_reading()
            # Guards against a client that has reset the connection in the meantime.
            with contextlib.suppress(OSError):
                self._transport.write_eof()

    def _cancel(self) -> None:
        """Cancel the present operation, because the client has disconnected."""
        operation = self._operation
        self._operation = None
        self._response_source = None
        self._drop_upload()
        if operation is not None:
            self._context.counters.add("clients_gone")
            self._context.cancel(operation)

    def _cancel_and_close(self) -> None:
        self._cancel()
        self._is_ending = True
        if self._transport is not None:
            self._transport.abort()

    def close(self) -> None:
        """Close at once."""
        self._context.clients.remove(self)
        if self._transport is not None:
            self._transport.abort()
