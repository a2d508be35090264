"""Client of one discovery: requests its endpoint list, watches for changes, retries failed calls."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable

from coveport import http1
from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.sidecar.discovery.discovery_connection import DiscoveryConnection
from coveport.sidecar.discovery.endpoint_reader import DiscoveredEndpoints, EndpointReader
from coveport.sidecar.discovery.errors import DiscoveryResponseError
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log

PATH = "/catalog/members"
# The sidecar must have a change within 6 s after discovery had it and was reachable, whatever failed before.
# So a watch, a connect and a call that time out in succession, each with the longest backoff after it, must
# take less: 1.5 + 0.5 + 1.0 + 1.5 s and three times 0.45 s.
WATCH_MS = 1500  # how long discovery holds a watch open without a change
WATCH_AFTER_FAILURE_MS = 1000  # the same right after a failure; with WATCH_GRACE_S at most CALL_TIMEOUT_S
WATCH_GRACE_S = 0.5  # how much longer a watch may take; discovery may stop answering without closing
CONNECT_TIMEOUT_S = 1.0  # as long as the operating system waits before it retransmits a SYN
CALL_TIMEOUT_S = 1.5  # time-out of a call other than a watch: an overloaded discovery queues its calls
EMPTY_WATCH_DELAY_S = 0.1  # delay before the next watch if one returned sooner than this, without a change
BACKOFFS_S = (0.02, 0.1, 0.3)  # mean backoffs after the first, second and further failures in a row
BACKOFF_JITTER = 0.5  # fraction by which a backoff may be longer or shorter than its mean
MAX_OLDER_LISTS = 3  # older lists in a row, after which discovery counts as restarted with lower versions

OnUpdate = Callable[[DiscoveredEndpoints | None], None]
"""Called with each list that was read, and with None when a call that was requested has failed."""


class DiscoveryClient:
    """Requests the endpoint list of one discovery server and watches the list for changes.

    `on_demand`: the client calls only on request and reports failures; otherwise it retries failed calls
    itself.
    """

    def __init__(
        self,
        net: Net,
        address: Address,
        reader: EndpointReader,
        on_update: OnUpdate,
        counters: Counters,
        log: Log,
        *,
        on_demand: bool,
        rng: random.Random,
    ) -> None:
        self._net = net
        self._address = address
        self._reader = reader
        self._on_update = on_update
        self._counters = counters
        self._log = log
        self._on_demand = on_demand
        self._rng = rng
        self._connection: DiscoveryConnection | None = None
        self._connecting: asyncio.Task[None] | None = None  # set while a connect is under way
        self._is_busy = False  # whether a call is under way, or its retry is scheduled
        self._version: int | None = None  # version of the last list that was accepted
        # Whether the last list could not be used, so that the next call requests the full list.
        self._was_malformed = False
        self._is_confirmed = False  # whether this discovery has returned a valid list
        self._is_watching = False
        self._is_full_requested = False
        self._is_closed = False
        self._failures = 0  # number of failures in a row
        # Number of consecutive lists that were rejected because their version was older than `_version`.
        self._older_lists = 0
        self._called_at = 0.0
        self._timer: asyncio.TimerHandle | None = None  # the time-out of the present connect or call

    def set_on_demand(self) -> None:
        """Call only on request from now on."""
        self._on_demand = True

    def resume_from(self, version: int) -> None:
        """Request only the changes since the list of that version, which the caller already has."""
        self._version = version

    @property
    def is_watching(self) -> bool:
        """Whether the list is watched for changes."""
        return self._is_watching

    def request(self, *, full: bool) -> None:
        """Request the full list once, or all changes from now on."""
        if full:
            self._is_full_requested = True
        else:
            self._is_watching = True
        if not self._is_busy:
            self._call_next()

    def read_pending(self) -> None:
        """Read the data that have already arrived, in this iteration of the event loop."""
        if self._is_busy and self._connection is not None and self._connection.transport is not None:
            self._net.read_now(self._connection.transport)

    def close(self) -> None:
        """Close the connection and call no more."""
        self._is_closed = True
        self._disconnect()

    def _call_next(self) -> None:
        if self._is_closed or not (self._is_watching or self._is_full_requested):
            return
        self._is_busy = True
        self._connecting = self._net.loop.create_task(self._call())

    @property
    def _wants_full(self) -> bool:
        return self._version is None or self._is_full_requested or self._was_malformed

    async def _call(self) -> None:
        if self._connection is None and not await self._connect():
            return
        self._connecting = None
        if self._connection is None:
            return  # the client was closed in the meantime
        connection = self._connection
        transport = connection.transport
        if transport is None or transport.is_closing():
            self._fail(connection, "the connection has ended")
            return
        target = PATH
        if self._wants_full:
            self._start_timer(CALL_TIMEOUT_S)
        else:
            wait_ms = self._watch_ms()
            target += f"?after={self._version}&wait_ms={wait_ms}"
            self._start_timer(wait_ms / 1000 + WATCH_GRACE_S if wait_ms else CALL_TIMEOUT_S)
        self._counters.add("pool_calls")
        self._called_at = self._net.now_s()
        host = f"{self._address[0]}:{self._address[1]}"
        transport.write(http1.write_request("GET", target, [("Host", host)]))

    async def _connect(self) -> bool:
        self._start_timer(CONNECT_TIMEOUT_S)
        connection = DiscoveryConnection(lambda response: self._receive(connection, response), self._log)
        self._connection = connection
        try:
            await self._net.dial(lambda: connection, self._address)
        except OSError as error:
            self._connecting = None
            self._fail(connection, f"no connection: {error}")
            return False
        return True

    def _watch_ms(self) -> int:
        if not self._is_confirmed:
            return 0  # after `resume_from` the first call must return at once, to confirm the list
        return WATCH_AFTER_FAILURE_MS if self._failures else WATCH_MS

    def _start_timer(self, seconds: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        # Guards against a discovery that stops answering without closing: all waits have a time-out.
        self._timer = self._net.loop.call_later(seconds, self._time_out)

    def _time_out(self) -> None:
        if self._connection is not None:
            self._fail(self._connection, "timed out", is_broken=True)

    def _receive(self, connection: DiscoveryConnection, response: http1.Response | None) -> None:
        """Handle the response to a call, or the end of the connection."""
        if connection is not self._connection:
            return
        if not self._is_busy:  # no call was under way, so nothing failed; the next call connects again
            self._disconnect()
            return
        if response is None:
            self._fail(connection, "the connection has ended", is_broken=True)
            return
        if response.status != 200:
            # Guards against more load on an overloaded discovery: the present list is still valid, and the
            # changes since then cost discovery one line each, while the full list costs a line per endpoint.
            self._fail(connection, f"status {response.status}")
            return
        try:
            update = self._read(json.loads(response.body))
        except (ValueError, RecursionError) as error:
            # Guards against a malformed list: the last valid one stays, and the full list is requested.
            self._was_malformed = True
            self._fail(connection, f"garbled: {error}")
            return
        self._accept(update, response.keep_alive)

    def _accept(self, update: DiscoveredEndpoints, keep_alive: bool) -> None:
        self._failures = 0
        self._is_busy = False
        self._is_full_requested = False
        self._was_malformed = False
        if not keep_alive:
            self._disconnect()
        elif self._timer is not None:
            self._timer.cancel()
        self._version = update.update.version
        has_waited = self._is_confirmed
        self._is_confirmed = True
        self._on_update(update)
        if self._is_busy or self._is_closed:  # the callback has made another request or closed this client
            return
        waited_s = self._net.now_s() - self._called_at
        if update.update.entries or not has_waited or waited_s > EMPTY_WATCH_DELAY_S:
            self._call_next()
        else:
            # Guards against a discovery that doesn't hold watches open: calls without a pause take all CPU.
            self._is_busy = True
            self._net.loop.call_later(EMPTY_WATCH_DELAY_S, self._call_next)

    def _read(self, data: object) -> DiscoveredEndpoints:
        """Read a list; raise DiscoveryResponseError if it is malformed, older or not as requested."""
        present = self._version
        if present is not None and isinstance(data, dict) and isinstance(data.get("seq"), int):
            # Guards against a stale replica, whose list would undo newer changes. After MAX_OLDER_LISTS of
            # them the older list is accepted, as discovery has probably restarted.
            if data["seq"] < present and self._older_lists < MAX_OLDER_LISTS:
                self._older_lists += 1
                raise DiscoveryResponseError(
                    f"version {data['seq']} is older than the present version {present}"
                )
            self._older_lists = 0
        if self._wants_full and isinstance(data, dict) and data.get("whole") is False:
            raise DiscoveryResponseError("got changes, but the whole list was asked for")
        return self._reader.read(data)

    def _fail(self, connection: DiscoveryConnection, reason: str, *, is_broken: bool = False) -> None:
        """Handle a failure and schedule the retry; `is_broken`: the connection ended or timed out."""
        if connection is not self._connection:
            return
        self._log.note("endpoint list", reason)
        self._counters.add("pool_failures")
        self._disconnect()
        # The backoff has jitter, as a failure of discovery affects all sidecars at the same moment.
        mean_s = BACKOFFS_S[min(self._failures, len(BACKOFFS_S) - 1)]
        backoff_s = mean_s * self._rng.uniform(1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER)
        # A broken watch is reopened at once, also if calls are made on demand: discovery has not rejected it.
        reopens_watch = is_broken and self._is_confirmed and not self._failures
        self._failures += 1
        self._is_busy = True
        if self._on_demand and not reopens_watch:
            # The callback gets None; its owner decides when to request again.
            self._is_watching = False
            self._is_full_requested = False
            self._is_busy = False
            self._on_update(None)
        elif not self._is_closed:
            self._net.loop.call_later(backoff_s, self._call_next)

    def _disconnect(self) -> None:
        connection = self._connection
        connecting = self._connecting
        self._connection = None
        self._connecting = None
        if connecting is not None:
            # Guards against connects that hang and each hold a descriptor, and against a late connection.
            connecting.cancel()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()
