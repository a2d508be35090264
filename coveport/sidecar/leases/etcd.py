"""The store for many hosts: an existing engine, by its published v3 API.

Messages and stubs are `aetcd`'s; its client proper leaves out the headers' revision and cluster, which
tokens and the guard against a restored store rest on. Endpoints are tried in turn. A transaction that
brought no answer is unknown and is never sent again here, also not to another endpoint; reads, grants and
renewals are.
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
    Done,
    Entry,
    Field,
    Outcome,
    Put,
    Refused,
    Transaction,
    Unknown,
)

T = TypeVar("T")

AT_ONCE = 32  # transactions of one instance that are on their way together
BEAT_S = 0.5  # a watch asks so often whether its stream still lives
BEATS = 4  # without an answer, after which it is given up
NEEDS_LEADER = (
    ("hasleader", "true"),
)  # a member that is cut off from its leader ends the stream instead of idling
OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
)
SERVED_ELSEWHERE = frozenset(
    {
        grpc.StatusCode.UNAVAILABLE,
        grpc.StatusCode.DEADLINE_EXCEEDED,
        grpc.StatusCode.CANCELLED,
        grpc.StatusCode.UNKNOWN,
    }
)


def end_of(prefix: str) -> bytes:
    """The end of the range of all keys that begin so."""
    last = prefix.encode()
    while last and last[-1] == 0xFF:
        last = last[:-1]
    return last[:-1] + bytes([last[-1] + 1]) if last else b"\0"


def entry(one: Any) -> Entry:
    """An entry from its message."""
    return Entry(one.key.decode(), bytes(one.value), one.create_revision, one.mod_revision, one.lease)


class EtcdStore:
    """One instance's way to the engine. `endpoints`: host:port each. `call_s`: how long one endpoint has."""

    def __init__(self, endpoints: Sequence[str], call_s: float = 0.5) -> None:
        if not endpoints:
            raise StoreError("no endpoint is named")
        self._endpoints = tuple(endpoints)
        self._call_s = call_s
        self._channels: dict[int, Any] = {}
        self._at = 0

    def _channel(self, at: int) -> Any:
        if at not in self._channels:
            self._channels[at] = grpc.aio.insecure_channel(self._endpoints[at], options=OPTIONS)
        return self._channels[at]

    def _next(self, at: int) -> None:
        """Leave an endpoint that did not answer, unless another call has left it already."""
        if self._at == at:
            self._at = (at + 1) % len(self._endpoints)

    async def _once(self, call: Callable[[Any], Awaitable[T]]) -> T | Unknown:
        at = self._at
        try:
            return await asyncio.wait_for(call(self._channel(at)), self._call_s)
        except TimeoutError:
            self._next(at)
            return Unknown(f"{self._endpoints[at]}: no answer in {self._call_s:g} s")
        except grpc.aio.AioRpcError as problem:
            if problem.code() in SERVED_ELSEWHERE:
                self._next(at)
                return Unknown(f"{self._endpoints[at]}: {problem.details()}")
            if problem.code() is grpc.StatusCode.NOT_FOUND:
                raise
            return Unknown(f"{self._endpoints[at]}: {problem.code().name}: {problem.details()}")

    async def _anywhere(self, call: Callable[[Any], Awaitable[T]]) -> T | Unknown:
        """For calls that harm nobody when they happen twice."""
        outcome: T | Unknown = Unknown("no endpoint was tried")
        for _ in self._endpoints:
            outcome = await self._once(call)
            if not isinstance(outcome, Unknown):
                break
        return outcome

    async def read(self, prefix: str) -> Done | Unknown:
        """All keys that begin so; asked of the leader, so never old."""
        request = rpc.RangeRequest(key=prefix.encode() or b"\0", range_end=end_of(prefix))
        found: Any = await self._anywhere(lambda channel: rpc.KVStub(channel).Range(request))
        if isinstance(found, Unknown):
            return found
        return Done(
            str(found.header.cluster_id), found.header.revision, tuple(entry(one) for one in found.kvs)
        )

    async def commit(self, transaction: Transaction) -> Outcome:
        """Carry it out, or not; sent once."""
        request = rpc.TxnRequest(compare=[self._compare(one) for one in transaction.compares])
        for one in transaction.changes:
            operation = request.success.add()
            if isinstance(one, Put):
                operation.request_put.CopyFrom(
                    rpc.PutRequest(key=one.key.encode(), value=one.value, lease=one.lease)
                )
            else:
                operation.request_delete_range.CopyFrom(rpc.DeleteRangeRequest(key=one.key.encode()))
        try:
            found: Any = await self._once(lambda channel: rpc.KVStub(channel).Txn(request))
        except grpc.aio.AioRpcError:
            return await self._lease_gone()
        if isinstance(found, Unknown):
            return found
        done = Done if found.succeeded else Refused
        return done(str(found.header.cluster_id), found.header.revision)

    async def commit_all(self, transactions: Sequence[Transaction]) -> list[Outcome]:
        """Several calls at a time, each by itself."""
        room = asyncio.Semaphore(AT_ONCE)

        async def one(transaction: Transaction) -> Outcome:
            async with room:
                return await self.commit(transaction)

        return list(await asyncio.gather(*map(one, transactions)))

    async def _lease_gone(self) -> Outcome:
        # The error brings no header; where the store stands is read, as a refusal tells it.
        now = await self.read("\0")
        return now if isinstance(now, Unknown) else Refused(now.identity, now.revision, lease_gone=True)

    @staticmethod
    def _compare(one: Compare) -> Any:
        if one.field is Field.CREATED:
            return rpc.Compare(
                result=rpc.Compare.EQUAL,
                target=rpc.Compare.CREATE,
                key=one.key.encode(),
                create_revision=one.equals,
            )
        return rpc.Compare(
            result=rpc.Compare.EQUAL, target=rpc.Compare.MOD, key=one.key.encode(), mod_revision=one.equals
        )

    async def grant(self, ttl_s: float) -> Done | Unknown:
        """A new lease; the engine counts in whole seconds, so it is rounded up."""
        request = rpc.LeaseGrantRequest(TTL=ceil(ttl_s))
        found: Any = await self._anywhere(lambda channel: rpc.LeaseStub(channel).LeaseGrant(request))
        if isinstance(found, Unknown):
            return found
        return Done(
            str(found.header.cluster_id), found.header.revision, lease=found.ID, ttl_s=float(found.TTL)
        )

    async def renew(self, lease: int) -> Outcome:
        """Renew."""

        async def ask(channel: Any) -> Any:
            stream = rpc.LeaseStub(channel).LeaseKeepAlive(metadata=NEEDS_LEADER)
            try:
                await stream.write(rpc.LeaseKeepAliveRequest(ID=lease))
                answer = await stream.read()
            finally:
                stream.cancel()
            if answer is grpc.aio.EOF:
                raise TimeoutError
            return answer

        found = await self._anywhere(ask)
        if isinstance(found, Unknown):
            return found
        if found.TTL <= 0:
            return Refused(str(found.header.cluster_id), found.header.revision, lease_gone=True)
        return Done(str(found.header.cluster_id), found.header.revision, lease=lease, ttl_s=float(found.TTL))

    async def revoke(self, lease: int) -> Outcome:
        """End a lease."""
        request = rpc.LeaseRevokeRequest(ID=lease)
        try:
            found: Any = await self._anywhere(lambda channel: rpc.LeaseStub(channel).LeaseRevoke(request))
        except grpc.aio.AioRpcError:
            return await self._lease_gone()
        if isinstance(found, Unknown):
            return found
        return Done(str(found.header.cluster_id), found.header.revision, lease=lease)

    async def time_left(self, lease: int) -> Outcome:
        """What a lease has left, in whole seconds."""
        request = rpc.LeaseTimeToLiveRequest(ID=lease)
        found: Any = await self._anywhere(lambda channel: rpc.LeaseStub(channel).LeaseTimeToLive(request))
        if isinstance(found, Unknown):
            return found
        if found.TTL < 0:
            return Refused(str(found.header.cluster_id), found.header.revision, lease_gone=True)
        return Done(str(found.header.cluster_id), found.header.revision, lease=lease, ttl_s=float(found.TTL))

    async def watch(self, prefix: str, after: int) -> AsyncIterator[Sequence[Change]]:
        """Changes, as the engine sends them; a stream that does not answer for a while is lost."""
        at = self._at
        stream = rpc.WatchStub(self._channel(at)).Watch(metadata=NEEDS_LEADER)
        create = rpc.WatchCreateRequest(
            key=prefix.encode() or b"\0", range_end=end_of(prefix), start_revision=after + 1
        )
        heard = asyncio.Event()
        beat = asyncio.ensure_future(self._beat(stream, heard))
        try:
            await stream.write(rpc.WatchRequest(create_request=create))
            while True:
                told = await stream.read()
                if told is grpc.aio.EOF:
                    raise WatchLostError(f"{self._endpoints[at]}: the stream ended")
                heard.set()
                if told.canceled or told.compact_revision:
                    raise WatchLostError(f"{self._endpoints[at]}: {told.cancel_reason or 'compacted'}")
                if told.header.revision < after:
                    raise WatchLostError(f"{self._endpoints[at]}: the store went back")
                if told.events:
                    yield [
                        Change(
                            one.kv.mod_revision,
                            one.kv.key.decode(),
                            None if one.type == one.DELETE else entry(one.kv),
                        )
                        for one in told.events
                    ]
        except grpc.aio.AioRpcError as problem:
            raise WatchLostError(f"{self._endpoints[at]}: {problem.details()}") from problem
        except asyncio.CancelledError:
            if beat.done() and not beat.cancelled():
                raise WatchLostError(f"{self._endpoints[at]}: silent") from None
            raise
        except asyncio.InvalidStateError as problem:
            raise WatchLostError(f"{self._endpoints[at]}: the stream broke") from problem
        finally:
            # Whatever ended it, the next watch begins elsewhere.
            self._next(at)
            beat.cancel()
            stream.cancel()

    async def _beat(self, stream: Any, heard: asyncio.Event) -> None:
        silent = 0
        while silent < BEATS:
            await asyncio.sleep(BEAT_S)
            silent = 0 if heard.is_set() else silent + 1
            heard.clear()
            with contextlib.suppress(grpc.aio.AioRpcError, asyncio.InvalidStateError):
                await stream.write(rpc.WatchRequest(progress_request=rpc.WatchProgressRequest()))
        stream.cancel()

    async def close(self) -> None:
        """Close every channel."""
        for channel in self._channels.values():
            await channel.close(None)
