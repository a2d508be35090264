"""The listener and the client connections: operations in, one final answer each out."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from itertools import islice
from math import inf

from coveport import balancing, http1
from coveport.net.address import Address
from coveport.net.transport import Listening, Net
from coveport.sidecar.downstream.operation_reader import read_operation
from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.operation import Answer, Operation
from coveport.sidecar.reducer.streams import MOST_BODY, Budget, Upload
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log
from coveport.sidecar.upstream.route_step import RouteStep

HEALTH_PATH = "/_health"
FIRST_S = 2.0  # how long a connection may say nothing before its first request
HEAD_S = 2.6  # how long a request's head may take; the first one from the connect on
SLOWEST = 32 * 1024  # bytes a second of a body: who brings fewer for as long as a head may take is given up
STILL_S = 2.6  # how long no byte of a long body may come: as long as a head may take
IDLE_S = 5.0  # how long a connection is kept between requests
UNREAD_S = 20.0  # how long a client may leave an answer that is not all sent where it is
FRESH_S = 0.5  # how long a connection that has never carried a request is taken to be about to
WAITING_MOST = 512  # connections that may wait to be accepted
ACCEPT_MOST = 4  # connections accepted in one turn of the loop, so that room can be made in between
NEWEST = 16  # connections that have brought nothing yet and are given FRESH_S in a crowd all the same
KEPT_SHARE = 0.5  # of the clients there may be: above that, connections at rest are closed early ...
RESTED_S = 0.1  # ... if they have rested so long
SPARE = 4  # clients above the most that may be there at once while room is made
STILL_COMING_S = 0.7  # a front that has heard our no sends new connections for a while
ACCEPT_S = 2.0  # how long the planned end takes in what waits; asyncio pauses for 1 s after EMFILE
LINGER_S = 1.0  # how long to read on after a farewell, which a reset would destroy
LINGER_LONG_S = 5.0  # the same, where a long body was being sent
LINGER_MOST = 256 * 1024  # how much of what comes then: who sends 60 MB must not have our time for it
SWEEP_S = 0.25
FIRST_TURNS_S = 0.02  # what stood below a connection when it was accepted is read within this
CATCH_UP_S = 0.2  # the most that taking in what came during a stall may take
LAG_S = 0.05  # a sweep that is later than this says that we had no CPU for a while
MOST_HELD = (
    http1.MAX_HEAD_BYTES + http1.MAX_BODY_BYTES
)  # sent ahead of its turn; what is over that waits below

_INBOX = memoryview(bytearray(64 * 1024))  # shared: what is read is taken out before the next read


_STATUS = {Verdict.SERVED: 200, Verdict.BUSY: 503, Verdict.FAILED: 500, Verdict.DOUBLE: 409}


class Client(asyncio.BufferedProtocol):
    """One client connection; one operation at a time."""

    def __init__(self, listener: Listener) -> None:
        self._listener = listener
        self._parser = http1.RequestParser(MOST_BODY, http1.MAX_BODY_BYTES)
        self._upload: Upload | None = None  # the long body that is coming in
        self._stood_s = 0.0  # how long that one was not read, as nobody took it
        self._stands_from: float | None = None
        self._read_at = inf  # when bytes of it last came
        self._source: RouteStep | None = None  # where the long answer that is passed on comes from
        self._chunked = False  # how that one is framed
        self._left = 0  # bytes that were unsent when last looked at
        self._transport: asyncio.Transport | None = None
        self._operation: int | None = None  # the one that waits for its answer
        self._keep = True
        self._used = False
        self._bare = False  # the answer has no body, whatever its head says: HEAD was asked
        self.extra = False  # came when there were too many already
        self._unsent = self._paused = self._ended = False
        self._drained = 0  # bytes that came after the farewell ...
        self._drain_most = LINGER_MOST
        self._linger_s = LINGER_S  # ... and how much is read, for how long
        self.stalled_from: float | None = None  # set while its first request may have waited for us so long
        # When it went idle, or when the request that is coming in began: the first one with the connection.
        self._since = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client has connected."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=0)
        self._since = self._listener.net.now_s()
        self._listener.came(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where to read to."""
        return _INBOX[: self._listener.budget.read_most()] if self._upload is not None else _INBOX

    def buffer_updated(self, nbytes: int) -> None:
        """Take in what the client sends."""
        if self._ended:
            self._drained += nbytes
            if self._drained > self._drain_most and not self._paused and self._transport is not None:
                self._paused = True
                self._transport.pause_reading()
            return
        if self._used and not self._parser.is_mid_message:
            self._since = self._listener.net.now_s()
        elif self.stalled_from is not None and self._listener.net.now_s() > self._since + FIRST_TURNS_S:
            self.stalled_from = None  # it came up with nothing to read
        self._parser.feed(_INBOX[:nbytes])
        if self._upload is not None:
            self._read_at = self._listener.net.now_s()
            self._take_in(self._upload)
        else:
            self._advance()
        # Guards against a client that sends ahead without end.
        if len(self._parser.buffer) > MOST_HELD and not self._paused and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()

    def _advance(self) -> None:
        while self._operation is None and not self._unsent and not self._ended:
            try:
                request = self._parser.next_request()
                if request is None:
                    if self._parser.wants_continue and self._transport is not None:
                        self._transport.write(http1.write_response(100))
                    break
                if self._paused and self._transport is not None and len(self._parser.buffer) <= MOST_HELD:
                    self._paused = False
                    self._transport.resume_reading()
                self._since = self._listener.net.now_s()
                if not self._used:
                    self._used = True
                    self._listener.used(self)
                self._take(request)
            except http1.RemoteProtocolError as problem:
                self._reject(problem)

    def _take(self, request: http1.Request) -> None:
        self._keep = request.keep_alive
        self._bare = request.method == "HEAD"
        if request.target.partition("?")[0] == HEALTH_PATH:
            if request.method not in ("GET", "HEAD"):
                raise http1.RemoteProtocolError(405, "wrong method", Allow="GET, HEAD")
            self._write(200 if self._listener.ready() else 503)
            return
        if request.is_streamed:
            self._keep = False  # until it has come whole: an error leaves the rest of it behind
        operation = read_operation(request, self._listener.classes)
        operation.room = not self.too_many
        operation.wait_ms -= max(self._listener.waited_s(), self._waited_s()) * 1000
        self._listener.counters.add("operations")
        self._operation = self._listener.number()
        if not request.is_streamed:
            self._listener.take(self._operation, self, operation)
            return
        self._upload = upload = operation.upload = Upload(
            self._listener.budget, request.content_length, self._room
        )
        self._stood_s, self._stands_from, self._read_at = 0.0, None, self._listener.net.now_s()
        if self._parser.wants_continue and self._transport is not None:
            self._transport.write(http1.write_response(100))
        self._listener.take(self._operation, self, operation)
        if self._upload is upload:
            self._take_in(upload)

    def _take_in(self, upload: Upload) -> None:
        """Read on in a long body."""
        try:
            data, over = self._parser.next_data()
        except http1.RemoteProtocolError as problem:
            self._give_up(problem)
            return
        if data:
            upload.push(data)
        if self._upload is not upload:
            return  # it has had its answer meanwhile
        if over:
            self._upload, self._keep = None, self._parser.keep_alive
            upload.finish()
            assert self._operation is not None
            self._since = self._listener.net.now_s()
            self._listener.whole(self._operation, self._listener.waited_s() * 1000)
        elif upload.full and not self._paused and self._transport is not None:
            self._paused, self._stands_from = True, self._listener.net.now_s()
            self._transport.pause_reading()

    def _room(self) -> None:
        """Whoever passes a long body on takes more of it."""
        if self._upload is not None and self._paused and self._transport is not None:
            if self._stands_from is not None:
                self._stood_s += self._listener.net.now_s() - self._stands_from
                self._stands_from, self._read_at = None, self._listener.net.now_s()
            self._paused = False
            self._transport.resume_reading()

    def _give_up(self, problem: http1.RemoteProtocolError) -> None:
        """A long body can't be read on: nobody has had its last byte, so nothing runs."""
        self._gone()
        self._keep = False
        self._reject(problem)

    def _is_slow(self, now: float) -> bool:
        """Whether a request takes longer to come in than one may."""
        if self._listener.closing and self._upload is None:
            return now - self._since > LINGER_S
        stood = self._stood_s + (now - self._stands_from if self._stands_from is not None else 0.0)
        waited = now - self._since - (stood if self._upload is not None else 0.0)
        return waited > HEAD_S + self._parser.received_body_bytes / SLOWEST or (
            self._upload is not None and self._stands_from is None and now - self._read_at > STILL_S
        )

    def _waited_s(self) -> float:
        """How long a request may have stood below a connection that we took up after a stall."""
        since, self.stalled_from = self.stalled_from, None
        return self._listener.net.now_s() - since if since is not None else 0.0

    def _reject(self, problem: http1.RemoteProtocolError) -> None:
        self._listener.counters.add(f"rejected_{problem.status}")
        self._listener.log.note("bad request", f"{problem.status}: {problem}")
        # What was read whole leaves the connection usable, what was not doesn't.
        self._keep = self._keep and problem.status in (404, 405)
        self._write(problem.status, list(problem.headers.items()), f"{problem}\n".encode())

    def answer(self, verdict: Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        """Give the one final answer to the operation that came on this connection."""
        self._operation = None
        self._drop_upload()
        status, body, headers = _STATUS[verdict], b"", list[tuple[str, str]]()
        if verdict is Verdict.SERVED:
            assert answer is not None
            body = answer.body
            if answer.content_type is not None:
                headers.append(("Content-Type", answer.content_type))
        elif verdict is Verdict.BUSY and retry_after_ms > 0:
            headers.append(("Retry-After", f"{retry_after_ms / 1000:.3f}"))
        self._write(status, headers, body)
        if self._parser.is_mid_message:
            self._listener.net.loop.call_soon(self._advance)

    def _drop_upload(self) -> None:
        upload, self._upload = self._upload, None
        if upload is not None:
            # Guards against a reset that overtakes our answer to who is still sending: it sends on for a
            # while, and reads then. What is too long to be taken was refused by its head.
            self._drain_most = MOST_BODY
            self._linger_s = LINGER_LONG_S
            upload.close()
            if self._paused and self._transport is not None and not self._transport.is_closing():
                self._paused = False
                self._transport.resume_reading()

    def begin(self, answer: Answer, source: RouteStep) -> None:
        """The one final answer begins: a long one, passed on as it comes."""
        self._source, self._chunked = source, answer.length is None and not self._parser.is_http10
        headers = [("Content-Type", answer.content_type)] if answer.content_type is not None else []
        if answer.length is not None:
            headers.append(("Content-Length", str(answer.length)))
        elif self._chunked:
            headers.append(http1.CHUNKED)
        else:
            self._keep = False  # its end is the connection's
        self._keep = self._keep and not self._ending
        headers.extend(self._connection(self._keep))
        self._since = self._listener.net.now_s()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(http1.write_head("HTTP/1.1 200 OK", headers))

    def more(self, data: bytes) -> None:
        """More of the long answer has come."""
        if self._transport is None or self._transport.is_closing():
            return
        self._since = self._listener.net.now_s()
        self._transport.write(http1.write_chunk(data) if self._chunked else data)
        self._weigh()
        if self._unsent and self._source is not None:
            self._source.pause()

    def _weigh(self) -> None:
        """Tell the budget how much of a long answer is unsent."""
        left = self._transport.get_write_buffer_size() if self._transport is not None else 0
        self._listener.budget.take(left - self._left)
        self._left = left

    def finish(self, complete: bool) -> None:
        """End a streamed response; the client must be able to tell one that is not complete."""
        self._operation = self._source = None
        if self._transport is None or self._transport.is_closing():
            return
        if not complete:
            self._listener.net.reset(self._transport)
            return
        if self._chunked:
            self._transport.write(http1.LAST_CHUNK)
        self._since = self._listener.net.now_s()
        if not self._keep or self._ending:
            self._farewell()
        elif self._parser.is_mid_message:
            self._listener.net.loop.call_soon(self._advance)

    def _connection(self, keep: bool) -> tuple[tuple[str, str], ...]:
        # A client of HTTP/1.0 that asked to keep its connection wants to be told that it is kept.
        if not keep:
            return (("Connection", "close"),)
        return (("Connection", "keep-alive"),) if self._parser.is_http10 else ()

    @property
    def _ending(self) -> bool:
        return (
            self._listener.leaving or self.too_many
        ) and not self._parser.is_mid_message  # begun: taken, or soon

    def _write(self, status: int, headers: list[tuple[str, str]] | None = None, body: bytes = b"") -> None:
        if self._transport is None or self._transport.is_closing():
            return
        keep = self._keep and not self._ending
        lines = [*(headers or ()), *self._connection(keep)]
        self._since = self._listener.net.now_s()
        data = http1.write_response(status, lines, body)
        self._transport.write(data[: len(data) - len(body)] if self._bare else data)
        if not keep:
            self._farewell()

    def _farewell(self) -> None:
        """Close once all is written and read: bytes left unread would reset the answer away."""
        self._ended = True
        self._listener.ending(self)
        if self._transport is not None and not self._transport.is_closing():
            if self._paused:
                self._paused = False
                self._transport.resume_reading()
            # Guards against a client that has reset the connection meanwhile.
            with contextlib.suppress(OSError):
                self._transport.write_eof()

    def pause_writing(self) -> None:
        """The client does not read as fast as we write."""
        self._unsent = True

    def resume_writing(self) -> None:
        """All is written."""
        self._unsent = False
        self._weigh()
        if self._source is not None:
            self._since = self._listener.net.now_s()
            self._source.resume()
            return
        self._listener.net.loop.call_soon(self._advance)

    def eof_received(self) -> bool:
        """The client has gone away: nothing more is owed to it, nor taken of what it sent before."""
        self._gone()
        self._ended = True
        return False

    def left(self) -> bool:
        """Whether it has gone, even where that stands behind what is not read."""
        if self._transport is None:
            return True
        if not self._listener.net.is_over(self._transport):
            return False
        self._listener.net.loop.call_soon(self._leave)
        return True

    def _leave(self) -> None:
        self._gone()
        self._ended = True
        if self._transport is not None:
            self._transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """It is gone, whoever ended it."""
        self._gone()
        self._ended = True
        self._transport = None
        self._weigh()
        self._listener.lost(self)

    def _gone(self) -> None:
        operation, self._operation = self._operation, None
        self._source = None
        self._drop_upload()
        if operation is not None:
            self._listener.counters.add("clients_gone")
            self._listener.gone(operation)

    @property
    def too_many(self) -> bool:
        """Whether there was no room for this client when it came, and there still is none."""
        return self.extra and self._listener.crowded

    @property
    def since(self) -> float:
        """When it went idle, or when it came if it has carried nothing yet."""
        return self._since

    @property
    def _nothing_open(self) -> bool:
        return not (
            self._operation is not None
            or self._unsent
            or self._ended
            or self._transport is None
            or self._transport.is_closing()
        )

    def may_close(self, fresh_until: float) -> bool:
        """Whether it stands between two requests (one that came by then: before its first)."""
        # Guards against losing what was taken: a request may wait below, or be on its way on a connection
        # just accepted, and its client sends it again only if it had used the connection before.
        return (
            self._nothing_open
            and not self._parser.is_mid_message
            and (self._used or self._since < fresh_until)
            and self._quiet
        )

    def may_end(self) -> bool:
        """Whether its last answer is with the system, and nothing unread would have a close reset it away."""
        return self._ended and not self._unsent and self._quiet

    def may_drop(self) -> bool:
        """Whether it has brought no whole request yet, though all it sent is read."""
        return self._nothing_open and not self._used and self._quiet

    @property
    def _quiet(self) -> bool:
        # What we don't read for now is not known to be quiet.
        return (
            not self._paused and self._transport is not None and self._listener.net.is_quiet(self._transport)
        )

    def check(self, now: float) -> None:
        """Put an end to what takes too long, and to idle connections while the program closes."""
        if self._paused and self.left():
            return  # nobody would read of its end
        if self._unsent and self._transport is not None:
            left = self._transport.get_write_buffer_size()
            if left != self._left:
                self._since = now  # it reads, however slowly
                self._weigh()
        if self._upload is not None:
            if self._is_slow(now):
                self._give_up(http1.RemoteProtocolError(408, "the request did not come whole"))
            return
        if self._operation is not None and not (self._source is not None and self._unsent):
            return
        waited = now - self._since
        if self._unsent or self._ended:
            if waited > (UNREAD_S if self._unsent else self._linger_s):
                self.close()
        elif self._parser.is_mid_message:
            if self._is_slow(now):
                self._keep = False
                self._reject(http1.RemoteProtocolError(408, "the request did not come whole"))
        # Guards against connections that say nothing: by the hundred they would leave no room for others.
        elif (
            self._listener.closing
            or not self._listener.resting
            or waited > (IDLE_S if self._used else FIRST_S)
        ) and self.may_close(now - FRESH_S):
            self.close()

    def close(self) -> None:
        """Close at once."""
        self._listener.lost(self)
        if self._transport is not None:
            self._transport.abort()


class Listener:
    """Takes clients in and holds their connections."""

    def __init__(
        self,
        net: Net,
        counters: Counters,
        log: Log,
        classes: tuple[balancing.RequestClass, ...],
        *,
        most_clients: int,
        ready: Callable[[], bool],
        take: Callable[[int, Client, Operation], None],
        gone: Callable[[int], None],
        whole: Callable[[int, float], None],
        budget: Budget,
    ) -> None:
        self.net = net
        self.counters = counters
        self.log = log
        self.retune(classes)
        self.ready = ready
        self.take = take
        self.gone = gone
        self.whole = whole
        self.budget = budget
        self.closing = False  # the planned end: takes no new connections
        self._draining: asyncio.TimerHandle | None = None  # drained by staff: answers close connections
        self.resting = True  # connections at rest are kept
        self._most = most_clients
        self._numbers = 0
        self._clients: dict[Client, None] = {}  # the longest connected first
        self._new: dict[Client, None] = {}  # those that have brought no whole request yet, likewise
        self._ending: dict[Client, None] = {}  # those that have had their last answer
        self._server: Listening | None = None
        self._sweeper: asyncio.TimerHandle | None = None  # set while any client is connected
        self._sweep_due = self._awake_at = inf
        self._stalled_from: float | None = None  # set while what came during a stall is being read
        self._stall_seen = 0.0

    def retune(self, classes: tuple[balancing.RequestClass, ...]) -> None:
        """Take operations of these classes from now on."""
        self.classes = {cls.name: (number, cls.effect) for number, cls in enumerate(classes)}

    def drain(self, on: bool) -> None:
        """Drain, or take clients again: whoever comes is served either way, but its connection is not kept.

        Connections at rest are closed once new ones have stopped coming.
        """
        if self._draining is not None:
            self._draining.cancel()
            self._draining = None
        self.resting = True
        if on:
            self._draining = self.net.loop.call_later(STILL_COMING_S, self._rest_no_more)

    def _rest_no_more(self) -> None:
        self.resting = False
        now = self.net.now_s()
        for client in list(self._clients):
            client.check(now)

    @property
    def leaving(self) -> bool:
        """Whether connections close after their answer."""
        return self.closing or self._draining is not None

    async def open(self, address: Address) -> int:
        """Listen; the port that was bound."""
        self._server = await self.net.listen(
            lambda: Client(self), address, accept_most=ACCEPT_MOST, waiting_most=WAITING_MOST, shared=True
        )
        return self._server.port

    def number(self) -> int:
        """A fresh number for an operation."""
        self._numbers += 1
        return self._numbers

    def came(self, client: Client) -> None:
        """A client has connected; where there are too many, one that brings nothing makes room."""
        self._clients[client] = self._new[client] = None
        client.stalled_from = self._stalled_from
        if self._sweeper is None:
            self._sweep_later()
        if self.crowded:
            self.shed(1)
            client.extra = self.crowded

    def used(self, client: Client) -> None:
        """A client has brought its first whole request."""
        self._new.pop(client, None)
        self._tidy(2)

    def _tidy(self, most: int) -> None:
        """Close connections at rest where clients hold more than is good for all."""
        # Guards against clients that ask once and keep their connection: all clients together may hold only a
        # third of the descriptors, so those would leave none to who has something to ask.
        many = len(self._clients) - len(self._new) - int(self._most * KEPT_SHARE)
        if many > 0:
            before = self.net.now_s() - RESTED_S
            idle = (one for one in self._by_age() if one.since < before and one.may_close(before))
            for one in islice(idle, min(many, most)):
                one.close()

    def ending(self, client: Client) -> None:
        """A client has had its last answer and is about to close."""
        self._new.pop(client, None)
        self._ending[client] = None

    def shed(self, count: int) -> None:
        """Make room: who is leaving goes first, then who has brought nothing yet, then who is idle."""
        # Guards against running out of descriptors, and against silent or half-sent connections that
        # crowd out those who have work; a client opens another when it wants one.
        now = self.net.now_s()
        found = list(islice((one for one in self._ending if one.may_end()), count))
        if len(found) < count:
            # The newest may be about to send, unless there is no room left at all.
            sure = len(self._new) - (0 if len(self._clients) > self._most + SPARE else NEWEST)
            found += islice(
                (
                    one
                    for place, one in enumerate(self._new)
                    if (place < sure or one.since < now - FRESH_S) and one.may_drop()
                ),
                count - len(found),
            )
        if len(found) < count:
            found += islice((one for one in self._by_age() if one.may_close(now)), count - len(found))
        for client in found:
            client.close()

    def _by_age(self) -> list[Client]:
        """Those that have brought a request, who rests longest first."""
        return sorted((one for one in self._clients if one not in self._new), key=lambda one: one.since)

    @property
    def crowded(self) -> bool:
        """Whether there are more clients than we can hold: the last ones are turned away, at once."""
        return len(self._clients) > self._most

    def lost(self, client: Client) -> None:
        """A client connection is gone."""
        for table in (self._clients, self._new, self._ending):
            table.pop(client, None)

    def waited_s(self) -> float:
        """How long what is read in this turn may have stood below: more than 0 after a stall of ours only."""
        # Guards against a deadline counted from when we read: without CPU for seconds, we would go on for a
        # client that has long stopped waiting. Our sweep being late shows it, and all that is ready then was
        # there before the loop's next turn.
        now = self.net.now_s()
        if self._stalled_from is None:
            if now - self._sweep_due <= LAG_S:
                self._awake_at = now
                return 0.0
            self._stalled_from, self._stall_seen = min(self._awake_at, self._sweep_due), now
            self.counters.add("stalls")
            self.net.loop.call_soon(self._caught_up)
        return now - self._stalled_from

    def _caught_up(self) -> None:
        if (
            self._server is not None
            and not self._server.quiet
            and self.net.now_s() < self._stall_seen + CATCH_UP_S
        ):
            self.net.loop.call_soon(self._caught_up)  # a few connections are accepted in each turn
            return
        self._stalled_from, self._awake_at = None, self.net.now_s()
        if self._sweeper is not None:
            self._sweeper.cancel()
            self._sweep_later()

    def _sweep_later(self) -> None:
        self._sweep_due = self.net.now_s() + SWEEP_S
        self._sweeper = self.net.loop.call_later(SWEEP_S, self._sweep)

    def _sweep(self) -> None:
        self.waited_s()
        now = self.net.now_s()
        for client in list(self._clients):
            client.check(now)
        self._tidy(self._most)  # here too: where all that clients may hold is at rest, none of them comes
        if self._clients:
            self._sweep_later()
        else:
            self._sweeper = None
            self._sweep_due = inf

    @property
    def count(self) -> int:
        """How many clients are connected."""
        return len(self._clients)

    async def wind_up(self) -> None:
        """Take no new connections; close those between requests, each other one after its answer."""
        if self._server is not None:
            # Guards against losing what was taken: connections may still wait to be accepted.
            end = self.net.now_s() + ACCEPT_S
            while not self._server.quiet and self.net.now_s() < end:
                await asyncio.sleep(0.001)
            self._server.close()
            while not self._server.quiet and self.net.now_s() < end:  # these are not among our clients yet
                await asyncio.sleep(0.001)
        self.closing = True
        now = self.net.now_s()
        for client in list(self._clients):
            client.check(now)

    def close(self) -> None:
        """Close all that is left."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for client in list(self._clients):
            client.close()
