"""Lease store for instances on several hosts: an etcd cluster, accessed through its v3 API.

Messages and stubs come from `aetcd`. The client class of `aetcd` is not used because it drops the revision
and the cluster id of response headers, which fencing tokens and the detection of a restored store need.
Endpoints are tried in turn. A transaction without a response has an unknown outcome and is never sent again,
not to another endpoint either; reads, grants and renewals are repeated.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from math import ceil
from typing import Any, TypeVar

import grpc
from aetcd import rpc

from coveport.sidecar.leases.errors import StoreError, WatchLostError
from coveport.sidecar.leases.store import (
    Change,
    Compare,
    Delete,
    Done,
    Entry,
    Field,
    Outcome,
    Refused,
    Store,
    Transaction,
    Unknown,
)

T = TypeVar("T")

CALL_TIMEOUT_S = 0.5  # time-out of a call to one endpoint
MAX_CONCURRENT_TRANSACTIONS = 32  # transactions in flight per `commit_all` call
HEARTBEAT_INTERVAL_S = 0.5  # interval between the progress requests of a watch
MAX_MISSED_HEARTBEATS = 4  # consecutive intervals without a response, after which a watch is lost
# With this metadata, a member that has lost its leader ends the stream; otherwise the stream would stay open
# without events.
REQUIRE_LEADER = (("hasleader", "true"),)
CHANNEL_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
)
# Status codes after which another endpoint may still answer.
ENDPOINT_FAILURES = frozenset(
    {
        grpc.StatusCode.UNAVAILABLE,
        grpc.StatusCode.DEADLINE_EXCEEDED,
        grpc.StatusCode.CANCELLED,
        grpc.StatusCode.UNKNOWN,
    }
)
ALL_KEYS = b"\0"  # as start of a range: the first key; as end of a range: no upper bound


def range_end(prefix: str) -> bytes:
    """Return the end of the key range that a prefix covers, as etcd's RangeRequest defines it."""
    end = prefix.encode()
    while end and end[-1] == 0xFF:
        end = end[:-1]
    return end[:-1] + bytes([end[-1] + 1]) if end else ALL_KEYS


def entry_of(message: Any) -> Entry:
    """Return the entry in a KeyValue message."""
    return Entry(
        message.key.decode(),
        bytes(message.value),
        message.create_revision,
        message.mod_revision,
        message.lease,
    )


def change_of(event: Any) -> Change:
    """Return the change in an Event message."""
    entry = None if event.type == event.DELETE else entry_of(event.kv)
    return Change(event.kv.mod_revision, event.kv.key.decode(), entry)


def transaction_request(transaction: Transaction) -> Any:
    """Return the TxnRequest of a transaction."""
    request = rpc.TxnRequest(compare=[_compare(compare) for compare in transaction.compares])
    for change in transaction.changes:
        operation = request.success.add()
        if isinstance(change, Delete):
            operation.request_delete_range.CopyFrom(rpc.DeleteRangeRequest(key=change.key.encode()))
        else:
            put = rpc.PutRequest(key=change.key.encode(), value=change.value, lease=change.lease)
            operation.request_put.CopyFrom(put)
    return request


def _compare(compare: Compare) -> Any:
    key = compare.key.encode()
    if compare.field is Field.CREATED:
        return rpc.Compare(
            result=rpc.Compare.EQUAL, target=rpc.Compare.CREATE, key=key, create_revision=compare.equals
        )
    return rpc.Compare(result=rpc.Compare.EQUAL, target=rpc.Compare.MOD, key=key, mod_revision=compare.equals)


class EtcdStore(Store):
    """The connection of one instance to the cluster.

    `endpoints` are addresses as HOST:PORT; `call_timeout_s` is the time-out of a call to one endpoint.
    """

    def __init__(self, endpoints: Sequence[str], call_timeout_s: float = CALL_TIMEOUT_S) -> None:
        if not endpoints:
            raise StoreError("no etcd endpoint is configured")
        self._endpoints = tuple(endpoints)
        self._call_timeout_s = call_timeout_s
        self._channels: dict[int, Any] = {}
        self._current = 0  # index of the endpoint in use

    async def read(self, prefix: str) -> Done | Unknown:
        """Return all entries whose keys start with a prefix, by a linearizable read."""
        request = rpc.RangeRequest(key=prefix.encode() or ALL_KEYS, range_end=range_end(prefix))
        response: Any = await self._call_until_answered(lambda channel: rpc.KVStub(channel).Range(request))
        if isinstance(response, Unknown):
            return response
        return _done(response, entries=tuple(map(entry_of, response.kvs)))

    async def commit(self, transaction: Transaction) -> Outcome:
        """Carry out a transaction; the request is sent only once."""
        request = transaction_request(transaction)
        try:
            response: Any = await self._call_once(lambda channel: rpc.KVStub(channel).Txn(request))
        except grpc.aio.AioRpcError:
            return await self._refuse_ended_lease()
        if isinstance(response, Unknown):
            return response
        return _done(response) if response.succeeded else _refused(response)

    async def commit_all(self, transactions: Sequence[Transaction]) -> list[Outcome]:
        """Carry out several transactions, each by a separate call, with limited concurrency."""
        slots = asyncio.Semaphore(MAX_CONCURRENT_TRANSACTIONS)

        async def commit(transaction: Transaction) -> Outcome:
            async with slots:
                return await self.commit(transaction)

        return list(await asyncio.gather(*map(commit, transactions)))

    async def grant(self, ttl_s: float) -> Done | Unknown:
        """Return a new lease. etcd uses whole seconds, so the time to live is rounded up."""
        request = rpc.LeaseGrantRequest(TTL=ceil(ttl_s))
        response: Any = await self._call_until_answered(
            lambda channel: rpc.LeaseStub(channel).LeaseGrant(request)
        )
        if isinstance(response, Unknown):
            return response
        return _done(response, lease=response.ID, ttl_s=float(response.TTL))

    async def renew(self, lease: int) -> Outcome:
        """Renew a lease by its time to live; the outcome is Refused if the lease has ended."""

        async def keep_alive(channel: Any) -> Any:
            stream = rpc.LeaseStub(channel).LeaseKeepAlive(metadata=REQUIRE_LEADER)
            try:
                await stream.write(rpc.LeaseKeepAliveRequest(ID=lease))
                response = await stream.read()
            finally:
                stream.cancel()
            if response is grpc.aio.EOF:
                raise TimeoutError
            return response

        response = await self._call_until_answered(keep_alive)
        if isinstance(response, Unknown):
            return response
        if response.TTL <= 0:
            return _refused(response, lease_gone=True)
        return _done(response, lease=lease, ttl_s=float(response.TTL))

    async def revoke(self, lease: int) -> Outcome:
        """Revoke a lease, which deletes the keys that are bound to it."""
        request = rpc.LeaseRevokeRequest(ID=lease)
        try:
            response: Any = await self._call_until_answered(
                lambda channel: rpc.LeaseStub(channel).LeaseRevoke(request)
            )
        except grpc.aio.AioRpcError:
            return await self._refuse_ended_lease()
        if isinstance(response, Unknown):
            return response
        return _done(response, lease=lease)

    async def time_left(self, lease: int) -> Outcome:
        """Return the remaining time of a lease, in whole seconds."""
        request = rpc.LeaseTimeToLiveRequest(ID=lease)
        response: Any = await self._call_until_answered(
            lambda channel: rpc.LeaseStub(channel).LeaseTimeToLive(request)
        )
        if isinstance(response, Unknown):
            return response
        if response.TTL < 0:
            return _refused(response, lease_gone=True)
        return _done(response, lease=lease, ttl_s=float(response.TTL))

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Sequence[Change]]:
        """Yield the changes after a revision; the watch is lost after too many missed heartbeats."""
        index = self._current
        endpoint = self._endpoints[index]
        stream = rpc.WatchStub(self._channel(index)).Watch(metadata=REQUIRE_LEADER)
        received = asyncio.Event()
        heartbeat = asyncio.ensure_future(_send_heartbeats(stream, received))
        try:
            await stream.write(_watch_request(prefix, after))
            while True:
                response = await stream.read()
                received.set()
                _check_watch(endpoint, response, after)
                if response.events:
                    yield [change_of(event) for event in response.events]
        except grpc.aio.AioRpcError as error:
            raise WatchLostError(f"{endpoint}: {error.details()}") from error
        except asyncio.CancelledError:
            # The heartbeat task cancelled the stream, not the caller.
            if heartbeat.done() and not heartbeat.cancelled():
                raise WatchLostError(f"{endpoint}: no response to heartbeats") from None
            raise
        except asyncio.InvalidStateError as error:
            raise WatchLostError(f"{endpoint}: the watch stream failed") from error
        finally:
            # The next watch starts at another endpoint, whatever the reason that this watch ended.
            self._leave_endpoint(index)
            heartbeat.cancel()
            stream.cancel()

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close(None)

    def _channel(self, index: int) -> Any:
        if index not in self._channels:
            self._channels[index] = grpc.aio.insecure_channel(self._endpoints[index], options=CHANNEL_OPTIONS)
        return self._channels[index]

    def _leave_endpoint(self, index: int) -> None:
        """Switch to the next endpoint, unless another call has already done so."""
        if self._current == index:
            self._current = (index + 1) % len(self._endpoints)

    async def _call_once(self, call: Callable[[Any], Awaitable[T]]) -> T | Unknown:
        """Call the current endpoint; raises AioRpcError only if the lease does not exist."""
        index = self._current
        endpoint = self._endpoints[index]
        try:
            return await asyncio.wait_for(call(self._channel(index)), self._call_timeout_s)
        except TimeoutError:
            self._leave_endpoint(index)
            return Unknown(f"{endpoint}: no answer in {self._call_timeout_s:g} s")
        except grpc.aio.AioRpcError as error:
            if error.code() in ENDPOINT_FAILURES:
                self._leave_endpoint(index)
                return Unknown(f"{endpoint}: {error.details()}")
            if error.code() is grpc.StatusCode.NOT_FOUND:
                raise
            return Unknown(f"{endpoint}: {error.code().name}: {error.details()}")

    async def _call_until_answered(self, call: Callable[[Any], Awaitable[T]]) -> T | Unknown:
        """Call the endpoints in turn until one of them answers; only for idempotent calls."""
        outcome: T | Unknown = Unknown("no endpoint was tried")
        for _ in self._endpoints:
            outcome = await self._call_once(call)
            if not isinstance(outcome, Unknown):
                break
        return outcome

    async def _refuse_ended_lease(self) -> Outcome:
        # The error has no response header, so identity and revision of the refusal are read separately.
        current = await self.read("\0")
        if isinstance(current, Unknown):
            return current
        return Refused(current.identity, current.revision, lease_gone=True)


def _done(response: Any, *, entries: tuple[Entry, ...] = (), lease: int = 0, ttl_s: float = 0.0) -> Done:
    return Done(str(response.header.cluster_id), response.header.revision, entries, lease, ttl_s)


def _refused(response: Any, *, lease_gone: bool = False) -> Refused:
    return Refused(str(response.header.cluster_id), response.header.revision, lease_gone)


def _watch_request(prefix: str, after: int) -> Any:
    return rpc.WatchRequest(
        create_request=rpc.WatchCreateRequest(
            key=prefix.encode() or ALL_KEYS, range_end=range_end(prefix), start_revision=after + 1
        )
    )


def _check_watch(endpoint: str, response: Any, after: int) -> None:
    """Raise WatchLostError if a response means that the watch has ended."""
    if response is grpc.aio.EOF:
        raise WatchLostError(f"{endpoint}: the watch stream ended")
    if response.canceled or response.compact_revision:
        raise WatchLostError(f"{endpoint}: {response.cancel_reason or 'compacted'}")
    if response.header.revision < after:
        raise WatchLostError(f"{endpoint}: the store's revision is lower than {after}")


async def _send_heartbeats(stream: Any, received: asyncio.Event) -> None:
    """Send progress requests at intervals; cancel the stream after too many intervals without a response."""
    missed = 0
    while missed < MAX_MISSED_HEARTBEATS:
        await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        missed = 0 if received.is_set() else missed + 1
        received.clear()
        with contextlib.suppress(grpc.aio.AioRpcError, asyncio.InvalidStateError):
            await stream.write(rpc.WatchRequest(progress_request=rpc.WatchProgressRequest()))
    stream.cancel()
