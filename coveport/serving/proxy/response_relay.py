"""Relays a node's response to the client.

A response to another request is never forwarded, and a truncated response never looks complete.

A node in trouble may send a second copy of a response, which may arrive in the place of the next response on
its connection. Responses contain the id of their request, so one with another id is skipped. The id doesn't
tell the attempts of one request apart: if an attempt goes out on the connection on which an earlier one was
rejected, a rejection may be a copy of the earlier one. A health check behind the attempt then tells, as
responses come in the order of the requests (`confirm_rejection`). A connection that carried a request without
an id, or a health check, carries no other request (`NodeConnection.must_close`).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from coveport import http1
from coveport.serving.proxy.client_connection import ClientConnection
from coveport.serving.proxy.counters import Counters
from coveport.serving.proxy.errors import BrokenResponseError
from coveport.serving.proxy.event_stream import EventSequence, EventSplitter
from coveport.serving.proxy.headers import end_to_end_headers, first_value
from coveport.serving.proxy.node_connection import NodeConnection
from coveport.serving.proxy.stall_timeouts import StallTimeouts, read_or_abandon
from coveport.serving.wire.names import Header

REJECTION_STATUSES = frozenset({408, 421, 429, 503})  # statuses that clients may take to mean "did not run"
MISDIRECTED_STATUS = 421
RETRIABLE_ERROR_STATUSES = frozenset({500, 502})  # the request ran and failed; another node may succeed
MAX_EVENT_BYTES = 256 * 1024  # of an event of a resumable stream, which is held until it is complete
MAX_STALE_RESPONSES = 2  # responses to other requests that are skipped before the expected response


class RelayOutcome(Enum):
    """The outcome of relaying one response."""

    FORWARDED = "the client has the complete response"
    SERVER_ERROR_FORWARDED = "the client has the node's own error"
    REJECTED = "the node is at capacity: it did not run the request"
    MISDIRECTED = "another incarnation answered: it did not run the request"
    SERVER_ERROR = "the node ran the request and failed, and another node may be tried"


REJECTIONS = frozenset({RelayOutcome.REJECTED, RelayOutcome.MISDIRECTED})


@dataclass(slots=True)
class ResponseRelay:
    """Relays the responses to one request, from all nodes that it is sent to."""

    client: ClientConnection
    attempt_id: str | None  # id sent with the request; the response must contain the same id
    is_resumable: bool
    counters: Counters
    sequence: EventSequence
    on_success_start: Callable[[NodeConnection], None]  # called when a successful response starts
    splitter: EventSplitter = field(default_factory=EventSplitter)

    async def relay(
        self, connection: NodeConnection, timeouts: StallTimeouts | None, may_retry: Callable[[], bool]
    ) -> RelayOutcome:
        """Read a response, forward it to the client, and return the outcome.

        Args:
            connection: carries the request, which has been written.
            timeouts: None if the node is never abandoned.
            may_retry: called after an error status; returns whether another node may be tried.

        Raises:
            BrokenResponseError: the response broke off, or belongs to another request.

        """
        response = await self._matching_head(connection, timeouts)
        if response.status in REJECTION_STATUSES:
            return await self._read_rejection(connection, response)
        return await self._relay_run(connection, response, timeouts, may_retry)

    async def confirm_rejection(
        self,
        connection: NodeConnection,
        rejection: RelayOutcome,
        health_path: str,
        timeouts: StallTimeouts | None,
        may_retry: Callable[[], bool],
    ) -> RelayOutcome:
        """Return the outcome of a rejected attempt whose rejection may be a copy of an earlier one.

        A health check is sent behind the attempt. Its response, which has no attempt id, comes behind the
        response to the attempt; so if a response that is not a rejection comes first, that is the response
        to the attempt, and the rejection was a copy. `timeouts` and `may_retry` are as in `relay`.

        Raises:
            BrokenResponseError: a response broke off, or neither of the two came.

        """
        connection.must_close = True  # the response to the health check has no id
        connection.send_health_check(health_path)
        for _ in range(MAX_STALE_RESPONSES + 1):
            response = await self._read_head(connection, timeouts)
            attempt_id = first_value(response.headers, Header.ATTEMPT_ID) or None
            if attempt_id is None:
                await self._skip_body(connection, response)
                return rejection
            self.counters.add("surplus")
            if attempt_id == self.attempt_id and response.status not in REJECTION_STATUSES:
                return await self._relay_run(connection, response, timeouts, may_retry)
            await self._skip_body(connection, response)
        raise BrokenResponseError("head", "the response to a health check", "others only")

    async def _relay_run(
        self,
        connection: NodeConnection,
        response: http1.Response,
        timeouts: StallTimeouts | None,
        may_retry: Callable[[], bool],
    ) -> RelayOutcome:
        """Relay the response of a node that ran the request, and return the outcome."""
        if 200 <= response.status < 300:
            await self._forward_success(connection, response, timeouts)
            return RelayOutcome.FORWARDED
        if self.client.has_begun:
            raise BrokenResponseError("head", "the resumed stream", f"status {response.status}")
        if response.status in RETRIABLE_ERROR_STATUSES and may_retry():
            await self._skip_body(connection, response)
            return RelayOutcome.SERVER_ERROR
        await self._forward_body(connection, response)
        is_server_error = response.status in RETRIABLE_ERROR_STATUSES
        return RelayOutcome.SERVER_ERROR_FORWARDED if is_server_error else RelayOutcome.FORWARDED

    async def _read_head(self, connection: NodeConnection, timeouts: StallTimeouts | None) -> http1.Response:
        if timeouts is None:
            return await connection.read_head()
        return await read_or_abandon(connection.read_head, timeouts, timeouts.head_s)

    async def _matching_head(
        self, connection: NodeConnection, timeouts: StallTimeouts | None
    ) -> http1.Response:
        """Return the head of the response to this attempt; skip complete responses to other requests."""
        for _ in range(MAX_STALE_RESPONSES + 1):
            response = await self._read_head(connection, timeouts)
            attempt_id = first_value(response.headers, Header.ATTEMPT_ID) or None
            if attempt_id == self.attempt_id:
                return response
            if attempt_id is None:
                break
            self.counters.add("surplus")
            connection.must_close = True
            await self._skip_body(connection, response)
        raise BrokenResponseError("head", f"attempt id {self.attempt_id!r}", f"{attempt_id!r}")

    async def _read_rejection(self, connection: NodeConnection, response: http1.Response) -> RelayOutcome:
        if response.status != MISDIRECTED_STATUS and Header.NOT_RUN not in response.headers:
            raise BrokenResponseError(
                "head", "a statement whether the request ran", f"status {response.status} without it"
            )
        await self._skip_body(connection, response)
        return RelayOutcome.MISDIRECTED if response.status == MISDIRECTED_STATUS else RelayOutcome.REJECTED

    async def _skip_body(self, connection: NodeConnection, response: http1.Response) -> None:
        is_last = not response.is_streamed
        while not is_last:
            _, is_last = await connection.read_data()

    async def _forward_success(
        self, connection: NodeConnection, response: http1.Response, timeouts: StallTimeouts | None
    ) -> None:
        if Header.STAMP not in response.headers:
            raise BrokenResponseError("head", "a stamp of the node", "no stamp")
        if "content-encoding" in response.headers:
            raise BrokenResponseError("head", "no content encoding", response.headers["content-encoding"][0])
        self.on_success_start(connection)
        if self.is_resumable:
            await self._forward_events(connection, response, timeouts)
        else:
            await self._forward_body(connection, response)

    async def _forward_body(self, connection: NodeConnection, response: http1.Response) -> None:
        """Forward the head, and then the body while it is being received."""
        is_last = not response.is_streamed
        headers = list(end_to_end_headers(response.headers))
        self.client.begin(response.status, headers, 0 if is_last else response.content_length)
        while not is_last:
            data, is_last = await connection.read_data()
            self.client.write(data)
            if not is_last:  # the node need not wait for a client that is slow to read the end
                await self.client.wait_writable()
        self.client.finish()

    async def _forward_events(
        self, connection: NodeConnection, response: http1.Response, timeouts: StallTimeouts | None
    ) -> None:
        """Forward complete events only, so that another node can resume the stream after any of them."""
        self.splitter.incomplete.clear()
        self.sequence.begin_stream()
        if not self.client.has_begun:
            self.client.begin(response.status, list(end_to_end_headers(response.headers)), None)
        is_last = not response.is_streamed
        while not is_last:
            if timeouts is None:
                data, is_last = await connection.read_data()
            else:
                data, is_last = await read_or_abandon(connection.read_data, timeouts, timeouts.event_s)
            for event in self.splitter.feed(data):
                self._forward_event(event)
            if len(self.splitter.incomplete) > MAX_EVENT_BYTES:
                raise BrokenResponseError("body", f"an event of at most {MAX_EVENT_BYTES} bytes", "more")
            if not is_last:
                await self.client.wait_writable()
        self.client.write(bytes(self.splitter.incomplete))
        self.client.finish()

    def _forward_event(self, event: bytes) -> None:
        if not self.sequence.may_follow(event):
            raise BrokenResponseError(
                "body", f"an event that follows id {self.sequence.last_id!r}", "an event that does not"
            )
        self.client.write(event)
        self.sequence.record_forwarded(event)
