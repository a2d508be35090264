"""The pool of connections to ledger nodes, each of which carries one attempt at a time."""

from __future__ import annotations

import asyncio
import errno
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

from coveport.balancing import Outcome
from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.sidecar.reducer.endpoint import EndpointAddress
from coveport.sidecar.reducer.operation import Operation
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log
from coveport.sidecar.upstream.attempt import Attempt, AttemptResult, OnBegin, OnEnd
from coveport.sidecar.upstream.protocol import Connection, Dial

# Share of the keep-alive time after which the pool closes; the destination must not close first.
IDLE_SHARE = 0.8
REUSE_DELAY_S = 0.01  # delay before a reuse: some nodes send a second answer milliseconds after the first
SWEEP_INTERVAL_S = 0.25  # minimum time between two searches for expired idle connections
EVICTED_WHEN_EXHAUSTED = 16  # idle connections closed when the process has run out of descriptors
# The attempt never ran; a lack of descriptors in this process must not count as a failure of the destination.
NO_DESCRIPTOR = Outcome.FULL


class ConnectionPool:
    """The connections to all listed destinations: opens, reuses, and closes them when they are idle."""

    def __init__(
        self,
        net: Net,
        counters: Counters,
        log: Log,
        dial: Dial,
        *,
        keepalive_ms: float,
        connect_timeout_ms: float,
        max_connections: int,
    ) -> None:
        self.net = net
        self.counters = counters
        self.log = log
        self.dial = dial
        self.connect_timeout_s = connect_timeout_ms / 1000
        self._idle_s = keepalive_ms / 1000 * IDLE_SHARE
        self._max_connections = max_connections
        self._endpoints: dict[int, EndpointAddress] = {}
        self._idle: dict[int, list[Connection]] = {}  # by destination; the last used connection is at the end
        self._by_age: OrderedDict[Connection, None] = OrderedDict()  # all idle connections, oldest first
        self.connections: dict[Connection, None] = {}
        self.opening = 0
        self._sweeper: asyncio.TimerHandle | None = None  # set while any connection is idle

    def update_endpoints(
        self, changes: Iterable[tuple[int, EndpointAddress | None]], *, complete: bool
    ) -> None:
        """Apply changes of endpoints (None: removed); `complete`: all other endpoints are removed too."""
        changed = dict(changes)
        stale = [number for number in self._endpoints if complete and number not in changed]
        for number, endpoint in [*changed.items(), *((number, None) for number in stale)]:
            if self._endpoints.get(number) != endpoint:
                # Guards against the use of connections to a process that is gone: the process that now
                # listens at its address may be another destination.
                for connection in list(self._idle.get(number, ())):
                    connection.drop()
            if endpoint is None:
                self._endpoints.pop(number, None)
            else:
                self._endpoints[number] = endpoint

    @property
    def known(self) -> bool:
        """Whether any destination is known."""
        return bool(self._endpoints)

    @property
    def count(self) -> int:
        """Number of connections, including those being opened."""
        return len(self.connections) + self.opening

    @property
    def tables(self) -> dict[str, int]:
        """Number of entries in each table."""
        return {
            "links": len(self.connections),
            "idle": len(self._by_age),
            "opening": self.opening,
            "places": len(self._endpoints),
        }

    @property
    def endpoints(self) -> Mapping[int, EndpointAddress]:
        """The endpoint of each known destination, by its number."""
        return self._endpoints

    def address(self, number: int) -> Address | None:
        """Return the address of a destination; None if it is unknown."""
        endpoint = self._endpoints.get(number)
        return endpoint[0] if endpoint is not None else None

    def send(
        self,
        number: int,
        operation: Operation | None,
        timeout_s: float,
        done: OnEnd,
        began: OnBegin | None = None,
        sent: Callable[[], None] | None = None,
        fence: Callable[[], bool] | None = None,
    ) -> Attempt:
        """Start an attempt (operation None: a health check); `done` is called once, after this returns.

        `began`, `sent` and `fence`: see `Attempt`.
        """
        attempt = Attempt(self, operation, timeout_s, done, began, sent, fence)
        while idle := self._usable(number, operation):
            # Guards against a close right after an answer, which would be noticed only by a reset, and
            # against a second answer right after the first, which would be taken for the next operation's.
            now = self.net.now_s()
            connection = next(
                (candidate for candidate in reversed(idle) if candidate.idle_since <= now - REUSE_DELAY_S),
                None,
            )
            if connection is None:  # waiting for the rest of the delay takes less time than a connect
                connection = idle[0]
                self._take(connection)
                delay_s = connection.idle_since + REUSE_DELAY_S - now
                self.net.loop.call_later(delay_s, self._reuse_delayed, connection, attempt)
                return attempt
            self._take(connection)
            if self._reuse(connection, attempt):
                return attempt
        self._open(number, attempt)
        return attempt

    def _usable(self, number: int, operation: Operation | None) -> list[Connection]:
        """Return the idle connections that may carry an operation, the last used one last.

        Answers contain no id, so a late second copy of a rejection would be taken for the answer to the next
        operation on its connection. An operation that must not run twice is not sent there: it would be
        retried, although it runs.
        """
        idle = self._idle.get(number, [])
        if operation is None or not operation.runs_at_most_once:
            return idle
        return [connection for connection in idle if not connection.has_carried_rejection]

    def _reuse(self, connection: Connection, attempt: Attempt) -> bool:
        """Send an attempt on an idle connection; close the connection and return False if it is unusable."""
        if self.net.now_s() - connection.idle_since < self._idle_s and connection.is_quiet:
            self.counters.add("connections_reused")
            connection.carry(attempt)
            return True
        connection.drop()
        return False

    def _reuse_delayed(self, connection: Connection, attempt: Attempt) -> None:
        """Reuse a connection that was reserved for an attempt until its delay had passed."""
        if attempt.ended:
            if connection in self.connections:
                self._keep(connection)
        elif not (connection in self.connections and self._reuse(connection, attempt)):
            self._open(connection.number, attempt)

    def _open(self, number: int, attempt: Attempt) -> None:
        endpoint = self._endpoints.get(number)
        if endpoint is None:
            self.net.loop.call_soon(attempt.end, AttemptResult(Outcome.CONNECT_FAILED))
            return
        # Guards against running out of descriptors: idle connections are closed first.
        while self.count >= self._max_connections and self._by_age:
            self._evict()
        if self.count >= self._max_connections:
            self.log.note("descriptors", f"all {self.count} connections to destinations are in use")
            self.net.loop.call_soon(attempt.end, AttemptResult(NO_DESCRIPTOR))
        else:
            self._start_connect(number, endpoint, attempt)

    def _start_connect(self, number: int, endpoint: EndpointAddress, attempt: Attempt) -> None:
        attempt.limit_connect_time(self.connect_timeout_s)
        self.opening += 1
        connecting = self.net.loop.create_task(self._connect(number, endpoint, attempt))
        attempt.await_connection(connecting)
        connecting.add_done_callback(self._connect_ended)

    async def _connect(self, number: int, endpoint: EndpointAddress, attempt: Attempt) -> None:
        try:
            await self.dial(self, number, endpoint, attempt)
        except OSError as error:
            self.counters.add("connects_failed")
            if self._is_exhausted(error):
                host, port = endpoint[0]
                self.log.note("descriptors", f"no connection to {host}:{port}: {error}")
                attempt.end(AttemptResult(NO_DESCRIPTOR))
            else:
                attempt.end(AttemptResult(Outcome.CONNECT_FAILED))

    def _connect_ended(self, _task: asyncio.Task[object]) -> None:
        self.opening -= 1

    def _is_exhausted(self, error: OSError) -> bool:
        """Return whether the process ran out of descriptors; if so, close some idle connections."""
        if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
            return False
        for _ in range(EVICTED_WHEN_EXHAUSTED):
            if self._by_age:
                self._evict()
        return True

    def put_idle(self, connection: Connection) -> None:
        """Keep a connection for its next attempt."""
        connection.idle_since = self.net.now_s()
        self._keep(connection)

    def _keep(self, connection: Connection) -> None:
        if self._endpoints.get(connection.number) != connection.endpoint:
            connection.drop()  # the destination has moved or was removed in the meantime
            return
        self._idle.setdefault(connection.number, []).append(connection)
        self._by_age[connection] = None
        if self._sweeper is None:
            self._sweeper = self.net.loop.call_later(self._idle_s, self._sweep)

    def add_connection(self, connection: Connection) -> None:
        """Register a connection that has come up."""
        self.connections[connection] = None

    def forget(self, connection: Connection) -> None:
        """Remove a connection that is no longer of use."""
        self.connections.pop(connection, None)
        self._take(connection)

    def _take(self, connection: Connection) -> None:
        if connection in self._by_age:
            del self._by_age[connection]
            idle = self._idle[connection.number]
            idle.remove(connection)
            if not idle:
                del self._idle[connection.number]

    def _evict(self) -> None:
        next(iter(self._by_age)).drop()

    def _sweep(self) -> None:
        while self._by_age:
            oldest = next(iter(self._by_age))
            if self.net.now_s() - oldest.idle_since < self._idle_s:
                break
            oldest.drop()
        self._sweeper = None
        if self._by_age:
            expires_in_s = next(iter(self._by_age)).idle_since + self._idle_s - self.net.now_s()
            self._sweeper = self.net.loop.call_later(max(expires_in_s, SWEEP_INTERVAL_S), self._sweep)

    def close(self) -> None:
        """Close all connections."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for connection in list(self.connections):
            connection.drop()
