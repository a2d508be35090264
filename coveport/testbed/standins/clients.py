"""Tills: the clients of one sidecar. Open loop: each wish is asked when it is due, whatever became of others.

Rows, by what became of a try:

- handed over to the last byte: `Asked`; then one of `Answered`, `Broke` and `GaveUp` (`GaveUp` "half" does
  not count, it comes beside one of them);
- never handed over: `Unasked` with "refused" (the sidecar could not be reached, or ended the connection
  before the last byte), "no connection" (the try's time was over first) or "gone" (its till left first);
- crossed by the sidecar's close of a connection that had been used before: `Unasked` "crossed", and the
  same request goes out once more on a new connection under the same id, with an `Asked` (or `Unasked`) of
  its own. `Unasked` "crossed" takes back the `Asked` of the same id before it, if there is one: nothing is
  owed for it;
- bytes that nobody waits for, behind an answer or on a resting connection: `Broke` "stray", the id empty.

Time of a try: its patience ends after `try_share` of what was left of the class's deadline when it was due.
The try has then failed, but its connection is held for the answer slack, `SOCKETS_MS` and what a harsh
network may add, so that an answer that is late can be told from one that never comes; only then `GaveUp`
"late" is written and the connection closed. What comes in between is written down and decides nothing.

A till that reads slowly (a fault of the day) has its rows at the times at which what it reads came to its
machine, as far as the ground can tell; and it reads on before it gives up or leaves.
"""

from __future__ import annotations

import asyncio
import heapq
import math
import random
from collections import deque
from collections.abc import Callable, Sequence

from coveport import http1
from coveport.net.address import Address
from coveport.sidecar.reducer.streams import MAX_STREAMED_BODY_BYTES
from coveport.testbed.backend import Host
from coveport.testbed.day import Change, Day, SidecarDrawn, Wish
from coveport.testbed.event_log import (
    Answered,
    Asked,
    Broke,
    EventLog,
    GaveUp,
    Lag,
    Unasked,
    digest_of_body,
    digest_of_request,
)
from coveport.testbed.ids import try_id
from coveport.testbed.network_model import asking_ms

LAG_MS = 5.0  # the lab being later than this is written down
CROSSED_MS = 20.0  # an end later than this after the request's last byte did not cross it
STREAM_MS = 500.0  # how often it is looked whether a long answer is still coming
SOCKETS_MS = 50.0  # by which time limits are longer on sockets
SOON_MS = 0.001  # what is due within this is due: clocks and timers round

_INBOX = memoryview(bytearray(64 * 1024))  # shared: what is read is taken out before the next read


class _Errand:
    """A wish on its way: what its tries have in common."""

    __slots__ = ("wish", "end", "over", "current", "risky", "rng", "backoff")

    def __init__(self, wish: Wish, end: float) -> None:
        self.wish = wish
        self.end = end
        self.over = False  # no further try will come of it
        self.current: _Try
        self.risky = math.inf  # when the first try that may have run was asked
        self.rng: random.Random | None = None
        self.backoff = 0.0


class _Try:
    """One try: an operation with an id of its own."""

    __slots__ = (
        "errand",
        "op",
        "number",
        "due",
        "limit",
        "patience",
        "asked",
        "connection",
        "over",
        "late",
        "digest",
    )

    def __init__(self, errand: _Errand, number: int, due: float) -> None:
        self.errand = errand
        self.number = number
        self.due = due
        self.op = try_id(errand.wish.op, number)
        self.limit = due + errand.wish.try_share * (errand.end - due)
        self.patience = 0
        self.asked = math.inf  # when its last byte was handed over
        self.connection: _Connection | None = None  # the one it is on, or that is being opened for it
        self.over = self.late = False
        self.digest = ""

    @property
    def expires(self) -> float:
        """When its till stops to wait for an answer, or for a connection."""
        return self.limit if self.asked == math.inf else self.asked + self.patience


class _Connection(asyncio.BufferedProtocol):
    """A connection to the sidecar, which carries one operation at a time."""

    def __init__(self, tills: Tills, number: int, one: _Try) -> None:
        self._tills = tills
        self.number = number
        self.one: _Try | None = one
        self.parser = http1.ResponseParser(MAX_STREAMED_BODY_BYTES)
        self.transport: asyncio.Transport | None = None
        self.opening: asyncio.Task[None] | None = None
        self.used = False  # has carried an operation to its answer
        self.unsent = False
        self.slow = False  # its till has read slowly: what it reads may have come earlier
        self.paused = False  # its till reads nothing for now
        self.seen = 0
        self.began = 0.0  # of the answer: bytes, and when the first of them came

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the operation that the connection was opened for."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.opening = None
        # With no room below, a pause says that bytes are still ours, and resume that all are handed over.
        transport.set_write_buffer_limits(high=0)
        self._tills.opened(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where to read to."""
        return _INBOX

    def buffer_updated(self, nbytes: int) -> None:
        """Read on in the answer."""
        if self.one is None:
            self._tills.stray(self, nbytes)
            return
        if not self.seen:
            self.began = self._tills.came(self, self._tills.host.day_ms())
        self.seen += nbytes
        try:
            self.parser.feed(_INBOX[:nbytes])
            response = self.parser.next_response()
        except http1.RemoteProtocolError:
            self._tills.broken(self, "garbled")
            return
        if response is not None:
            self._tills.answered(self, response)

    def eof_received(self) -> bool:
        """The sidecar has ended; what was only waiting for that is whole now."""
        response = self.parser.receive_eof() if self.one is not None else None
        if response is not None:
            self._tills.answered(self, response)
        else:
            self._tills.broken(self, "end")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """It is gone, whoever ended it."""
        self._tills.broken(self, "end" if exc is None else "reset")

    def pause_writing(self) -> None:
        """Not all is handed over yet."""
        self.unsent = True

    def resume_writing(self) -> None:
        """The last byte has been handed over."""
        self.unsent = False
        if self.one is not None and self.one.asked == math.inf:
            self._tills.handed(self, self.one)

    def carry(self, one: _Try, request: bytes) -> None:
        """Send a request; whoever has a connection to carry on gives it an open one."""
        assert self.transport is not None
        self.one, one.connection, self.seen = one, self, 0
        self.transport.write(request)
        if not self.unsent and not self.transport.is_closing():
            self._tills.handed(self, one)


class Tills:
    """All tills of one sidecar.

    They hold `load.connections` at most; those that were left open after one use give way, the oldest first,
    to a wish that would else find no connection. A wish waits for one in turn, and its time runs meanwhile.
    """

    def __init__(
        self,
        host: Host,
        event_log: EventLog,
        day: Day,
        sidecar: SidecarDrawn,
        wishes: Sequence[Wish],
        address: Callable[[], Address],
    ) -> None:
        """`wishes`: this sidecar's, in order of time; `address`: where the sidecar listens, at each dial."""
        self.host = host
        self._write = event_log.write
        self._day = day
        self._sidecar = sidecar
        self._wishes = wishes
        self._address = address
        self._loop = host.net.loop
        scenario = day.scenario
        self._classes = scenario.classes
        self._rules = scenario.rules
        self._retries = scenario.load.retries
        self._most = scenario.load.connections
        self._linger_ms = [
            scenario.rules.answer_slack_ms + SOCKETS_MS + asking_ms(day, cls)
            for cls in range(len(scenario.classes))
        ]
        self._begun = 0  # wishes, from the front
        self._open = 0
        self._agenda: list[tuple[float, int, Callable[..., object], _Try | _Errand]] = []
        self._entries = self._connections = 0
        self._timer: asyncio.TimerHandle | None = None
        self._armed = math.inf
        self._closed = False
        self._links: dict[_Connection, None] = {}  # all, those being opened included
        self._idle: list[_Connection] = []  # the one used last at the end
        self._staying: dict[_Connection, None] = {}  # used once and left open, the oldest first
        self._waiting: deque[_Try] = deque()  # for a connection
        self._slow: dict[int, Change] = {}  # by fault
        self._slow_random = random.Random(f"slow readers {day.seed} {sidecar.number}")

    def change(self, change: Change) -> None:
        """Take in one of `day.TILL_CHANGES`; those for other sidecars' tills are passed over."""
        if change.target not in (-1, self._sidecar.number):
            return
        if change.on:
            self._slow[change.fault] = change
        else:
            self._slow.pop(change.fault, None)

    def start(self) -> None:
        """Begin; wishes that are due already are asked in the loop's next turn."""
        self._arm()

    def close(self) -> None:
        """Ask nothing more and drop all connections; what is open gets no further rows."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        for connection in list(self._links):
            self._drop(connection)

    @property
    def open_operations(self) -> int:
        """Tries that have no end yet: those waiting for a connection, and retries to come, included."""
        return self._open

    @property
    def done(self) -> bool:
        """Whether nothing more is to come and all has its end."""
        return self._begun == len(self._wishes) and not self._open

    # Time.

    def _enter(self, at: float, do: Callable[..., object], what: _Try | _Errand) -> None:
        self._entries += 1  # tells entries of one instant apart, in their order
        heapq.heappush(self._agenda, (at, self._entries, do, what))
        if at < self._armed:
            self._arm()

    def _arm(self) -> None:
        """Set the one timer to what is due next."""
        agenda = self._agenda
        while agenda and agenda[0][3].over:
            heapq.heappop(agenda)
        at = agenda[0][0] if agenda else math.inf
        if self._begun < len(self._wishes):
            at = min(at, self._wishes[self._begun].due)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._armed = at
        if at < math.inf and not self._closed:
            # Guards against a timer that comes early by rounding, again and again in the same instant.
            delay = max(at - self.host.day_ms(), SOON_MS)
            self._timer = self._loop.call_later(delay / 1000, self._wake)

    def _wake(self) -> None:
        now = self.host.day_ms()
        if now - self._armed > LAG_MS:
            self._write(Lag(now, f"tills of sidecar {self._sidecar.number}", now - self._armed))
        self._timer = None
        self._armed = -math.inf  # what is entered meanwhile is looked at below
        until, agenda, wishes = now + SOON_MS, self._agenda, self._wishes
        while True:
            due = wishes[self._begun].due if self._begun < len(wishes) else math.inf
            if agenda and agenda[0][0] < due:
                if agenda[0][0] > until:
                    break
                _, _, do, what = heapq.heappop(agenda)
                if not what.over:
                    do(what)
            elif due <= until:
                self._begun += 1
                self._begin(wishes[self._begun - 1])
            else:
                break
        self._arm()

    # A wish and its tries.

    def _begin(self, wish: Wish) -> None:
        errand = _Errand(wish, wish.due + self._classes[wish.cls].deadline_ms)
        if wish.leaves_ms >= 0:
            self._enter(wish.due + wish.leaves_ms, self._leave, errand)
        errand.current = _Try(errand, 0, wish.due)
        self._open += 1
        self._ask(errand.current)

    def _ask(self, one: _Try) -> None:
        if self._waiting or not self._place(one):
            self._waiting.append(one)
            self._serve_waiting()
        if one.asked == math.inf and not one.over:
            self._enter(one.limit, self._expire, one)

    def _serve_waiting(self) -> None:
        while self._waiting and not self._closed:
            one = self._waiting[0]
            if not one.over and not self._place(one):
                return
            self._waiting.popleft()

    def _place(self, one: _Try) -> bool:
        """Find a connection for it, or begin to open one; False where it has to wait."""
        new = one.errand.wish.stays
        while self._idle and not new:
            connection = self._idle.pop()
            if connection.transport is not None and not connection.transport.is_closing():
                self._carry(connection, one)
                return True
            self._forget(connection)
        if len(self._links) >= self._most:
            if self._staying:
                self._drop(next(iter(self._staying)))
            elif self._idle:
                self._drop(self._idle[0])
            else:
                return False
        self._dial(one)
        return True

    def _carry(self, connection: _Connection, one: _Try) -> None:
        one.patience = max(1, int(one.limit - self.host.day_ms()))
        wish, cls = one.errand.wish, self._classes[one.errand.wish.cls]
        safe = cls.repeats == "safe"
        method, target = "GET" if safe else "POST", f"/{cls.name}/{wish.op[:6]}"
        body = b"" if safe else (wish.op.encode() * (wish.body // len(wish.op) + 1))[: wish.body]
        key = wish.key if cls.repeats == "keyed" else ""
        ip, port = self._address()
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {ip}:{port}\r\nX-Request-Id: {one.op}\r\n"
            f"X-Deadline: {one.patience}m\r\n"
        )
        if key:
            head += f"Idempotency-Key: {key}\r\n"
        if one.number:
            head += "X-Retry: 1\r\n"
        if body:
            head += "Content-Type: application/octet-stream\r\n"
        if not safe:
            head += f"Content-Length: {len(body)}\r\n"
        one.digest = digest_of_request(method, target, one.op, key, body)
        connection.carry(one, head.encode() + b"\r\n" + body)

    def handed(self, connection: _Connection, one: _Try) -> None:
        """The last byte of a request is handed over."""
        errand = one.errand
        wish = errand.wish
        now = one.asked = self.host.day_ms()
        self._write(
            Asked(
                now,
                one.op,
                wish.op,
                self._sidecar.number,
                wish.cls,
                wish.key if self._classes[wish.cls].repeats == "keyed" else "",
                one.due,
                one.patience,
                connection.number,
                one.number > 0,
                one.digest,
            )
        )
        self._enter(now + one.patience, self._expire, one)
        if wish.half and connection.transport is not None:
            connection.transport.write_eof()
            self._write(GaveUp(now, one.op, "half"))
        if self._slow:
            self._read_slowly(connection, one, now)

    def _read_slowly(self, connection: _Connection, one: _Try, now: float) -> None:
        rng, waits = self._slow_random, 0.0
        for change in self._slow.values():
            if rng.random() < change.share:
                waits = max(waits, rng.random() * change.value)
        if waits and connection.transport is not None:
            connection.slow = connection.paused = True
            connection.transport.pause_reading()
            self._enter(now + waits, self._read_on, one)

    def _read_on(self, one: _Try) -> bool:
        """Read what has come; whether the till had not been reading."""
        connection = one.connection
        if connection is None or connection.transport is None or not connection.paused:
            return False
        connection.paused = False
        connection.transport.resume_reading()
        return True

    def _end(self, one: _Try) -> None:
        one.over, one.connection = True, None
        self._open -= 1

    def _unasked(self, one: _Try, now: float, why: str) -> None:
        wish, sidecar = one.errand.wish, self._sidecar.number
        self._write(Unasked(now, one.op, wish.op, sidecar, wish.cls, one.due, why))

    def _unreached(self, one: _Try, why: str) -> None:
        """It could not be handed over, and that is its end."""
        now = self.host.day_ms()
        self._unasked(one, now, why)
        self._end(one)
        self._again(one, now, ran=False)

    def _hang_up(self, one: _Try) -> None:
        """Drop the connection that it is on, or that is being opened for it."""
        connection = one.connection
        if connection is not None:
            connection.one = one.connection = None
            self._drop(connection)

    def _expire(self, one: _Try) -> None:
        """Its patience is over."""
        if one.late or self.host.day_ms() < one.expires - SOON_MS:
            return  # there is a later entry for it
        if one.connection is not None and one.connection.seen > http1.MAX_BUFFERED_UNSIZED_BYTES:
            self._enter(self.host.day_ms() + STREAM_MS, self._expire, one)  # a long answer has begun to come
            return
        if one.asked == math.inf:
            self._hang_up(one)
            self._unreached(one, "no connection")
            self._serve_waiting()
        else:
            one.late = True
            self._enter(one.expires + self._linger_ms[one.errand.wish.cls], self._give_up, one)
            self._again(one, one.expires, ran=True)

    def _give_up(self, one: _Try) -> None:
        """No answer came even in the slack."""
        if self._read_on(one):
            self._enter(self.host.day_ms() + SOCKETS_MS, self._give_up, one)
            return
        self._write(GaveUp(self.host.day_ms(), one.op, "late"))
        self._hang_up(one)
        self._end(one)
        self._serve_waiting()

    def _leave(self, errand: _Errand) -> None:
        """An impatient till goes: whatever is on, it wants nothing more."""
        one, errand.over = errand.current, True
        if one.over:
            return
        now = self.host.day_ms()
        if self._read_on(one):
            errand.over = False
            self._enter(now + SOCKETS_MS, self._leave, errand)
            return
        if one.asked != math.inf:
            self._write(GaveUp(now, one.op, "impatient"))
        elif one.due <= now + SOON_MS:
            self._unasked(one, now, "gone")
        self._hang_up(one)
        self._end(one)
        self._serve_waiting()

    def _again(self, one: _Try, now: float, *, ran: bool, after_ms: float = 0.0) -> None:
        """A try has just failed: let another follow where one may. `ran`: it may have run."""
        errand = one.errand
        wish, cls, number = errand.wish, self._classes[errand.wish.cls], one.number + 1
        errand.over = True
        if ran:
            errand.risky = min(errand.risky, one.asked)
            if cls.repeats == "never" or (cls.repeats == "keyed" and cls.scope != "all"):
                return
        if number >= wish.tries:
            return
        if errand.rng is None:
            errand.rng = random.Random(f"retries {self._day.seed} {wish.op}")
            figure = self._retries.backoff_ms
            errand.backoff = errand.rng.uniform(*figure) if isinstance(figure, tuple) else figure
        wait = errand.backoff * (2.0**one.number if self._retries.growing else 1.0)
        if after_ms > 0 and self._rules.retry_after and errand.rng.random() < self._retries.honour:
            wait = max(wait, min(after_ms, self._rules.max_retry_after_ms))
        due = now + wait
        if due + 1 > errand.end or (cls.repeats != "safe" and due > errand.risky + cls.window_ms):
            return
        errand.over = False
        errand.current = _Try(errand, number, due)
        self._open += 1
        self._enter(due, self._ask, errand.current)

    # Connections.

    def _dial(self, one: _Try) -> None:
        self._connections += 1  # the number below is no other sidecar's till's
        number = self._connections * len(self._day.sidecars) + self._sidecar.number
        connection = _Connection(self, number, one)
        one.connection = connection
        self._links[connection] = None
        connection.opening = self._loop.create_task(self._open_connection(connection))

    async def _open_connection(self, connection: _Connection) -> None:
        try:
            await self.host.dial(lambda: connection, self._address())
        except OSError:
            one, connection.one = connection.one, None
            self._forget(connection)
            if one is not None and not self._closed:
                one.connection = None
                self._unreached(one, "refused")
                self._serve_waiting()

    def opened(self, connection: _Connection) -> None:
        """A connection is up."""
        one = connection.one
        if one is None or connection not in self._links:
            # Guards against a connection that comes up after its try was over: unused, it would not be kept.
            self._drop(connection)
        else:
            self._carry(connection, one)

    def answered(self, connection: _Connection, response: http1.Response) -> None:
        """A whole answer has come."""
        one = connection.one
        assert one is not None and connection.transport is not None
        if one.asked == math.inf:
            self.broken(connection, "end")  # answered before it was asked: it can't have been read
            return
        connection.one, connection.used = None, True
        now, status = self.host.day_ms(), response.status
        after_ms = _retry_after_ms(response)
        came = self.came(connection, now)
        self._write(
            Answered(
                came, one.op, status, digest_of_body(response.body), after_ms, min(connection.began, came)
            )
        )
        self._end(one)
        wish = one.errand.wish
        if connection.parser.buffer:
            self.stray(connection, len(connection.parser.buffer))
        elif not response.keep_alive or wish.half:
            self._drop(connection)
        elif wish.stays:
            self._staying[connection] = None
        else:
            self._idle.append(connection)
        if not one.late:
            if status == 200:
                one.errand.over = True
            else:
                self._again(one, now, ran=status not in (429, 503), after_ms=after_ms)
        self._serve_waiting()

    def came(self, connection: _Connection, now: float) -> float:
        """When what is read now came, ms."""
        told = (
            connection.transport.get_extra_info("came_ms")
            if connection.slow and connection.transport is not None
            else None
        )
        return told if isinstance(told, float) else now

    def stray(self, connection: _Connection, count: int) -> None:
        """Bytes came that nobody waits for."""
        if connection in self._links:
            self._write(Broke(self.host.day_ms(), "", "stray", count))
            self._drop(connection)

    def broken(self, connection: _Connection, how: str) -> None:
        """A connection has ended, or can't be read on."""
        one, connection.one = connection.one, None
        self._drop(connection)
        if self._closed:
            return
        if one is not None:
            now, handed = self.came(connection, self.host.day_ms()), one.asked != math.inf
            # An end in answer to our own half close says nothing of a close that crossed.
            if (
                connection.used
                and not connection.seen
                and not one.late
                and not one.errand.wish.half
                and (not handed or now - one.asked <= CROSSED_MS)
            ):
                self._unasked(one, now, "crossed")
                one.asked = math.inf
                self._dial(one)
                self._enter(one.limit, self._expire, one)
            elif not handed:
                one.connection = None
                self._unreached(one, "refused")
            else:
                self._write(Broke(now, one.op, how, connection.seen))
                self._end(one)
                if not one.late:
                    self._again(one, now, ran=True)
        self._serve_waiting()

    def _drop(self, connection: _Connection) -> None:
        self._forget(connection)
        if connection.opening is not None and connection.transport is None:
            connection.opening.cancel()
        if connection.transport is not None:
            connection.transport.abort()

    def _forget(self, connection: _Connection) -> None:
        self._links.pop(connection, None)
        self._staying.pop(connection, None)
        if connection in self._idle:
            self._idle.remove(connection)


def _retry_after_ms(response: http1.Response) -> float:
    """What `Retry-After` asks for, in ms; 0 where it stands not there or is no number of seconds."""
    try:
        seconds = float(response.headers.get("retry-after", ["0"])[0])
    except ValueError:
        return 0.0
    return seconds * 1000 if 0 < seconds < math.inf else 0.0
