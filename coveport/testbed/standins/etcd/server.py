"""The members on loopback: KV, Lease and Watch of the published v3 API, and a control for their faults.

    python -m coveport.testbed.standins.etcd.server [--members 3]

prints one line of JSON, {"members": [port, ...], "control": port}, and serves until its standard input
ends. The control takes a line of JSON and answers with one; `CONTROLS` lists what it does.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc
from aetcd import rpc

from coveport.sidecar.leases.clock import boot_s
from coveport.sidecar.leases.errors import WatchLostError
from coveport.sidecar.leases.store import (
    Change,
    Compare,
    Delete,
    Done,
    Entry,
    Field,
    Outcome,
    Put,
    Refused,
    Transaction,
)
from coveport.testbed.standins.etcd.cluster import Cluster

TICK_S = 0.02
ANSWER_S = 5.0  # after which a member says that a request timed out
LEASE_GONE = "etcdserver: requested lease not found"


def _written(one: Entry) -> Any:
    return rpc.KeyValue(
        key=one.key.encode(),
        value=one.value,
        create_revision=one.created,
        mod_revision=one.modified,
        lease=one.lease,
        version=1,
    )


def _event(change: Change) -> Any:
    if change.entry is None:
        return rpc.Event(
            type=rpc.Event.DELETE, kv=rpc.KeyValue(key=change.key.encode(), mod_revision=change.revision)
        )
    return rpc.Event(type=rpc.Event.PUT, kv=_written(change.entry))


class Member:
    """One member's services."""

    def __init__(self, cluster: Cluster, number: int, faults: Faults) -> None:
        self._cluster = cluster
        self._number = number
        self._faults = faults
        self.server: Any = None
        self.port = 0
        self._watches: set[asyncio.Task[None]] = set()

    # How one answers.

    def _header(self, revision: int | None = None) -> Any:
        engine = self._cluster.engine
        return rpc.ResponseHeader(
            cluster_id=int(engine.identity),
            member_id=self._number + 1,
            revision=engine.revision if revision is None else revision,
            raft_term=self._cluster.term,
        )

    async def _awake(self) -> None:
        while self._cluster.members[self._number].stalled_until > boot_s():
            await asyncio.sleep(TICK_S)

    async def _proposed(self, context: Any, deed: Callable[[float], Outcome], kind: str = "") -> Outcome:
        await self._awake()
        if self._faults.delay_s:
            await asyncio.sleep(self._faults.delay_s)
        done: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()

        def hear(outcome: Outcome) -> None:
            if not done.done():
                done.set_result(outcome)

        self._cluster.propose(self._number, boot_s(), deed, hear)
        try:
            outcome = await asyncio.wait_for(done, ANSWER_S)
        except TimeoutError:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: request timed out")
            raise
        await self._awake()
        if self._faults.unheard(kind):
            await asyncio.sleep(ANSWER_S)
            await context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: request timed out")
        return outcome

    # KV.

    async def range(self, request: Any, context: Any) -> Any:
        """Range: linearizable by way of the leader, serializable from what this member has applied."""
        if request.serializable:
            await self._awake()
            member = self._cluster.members[self._number]
            found = [one for key, one in sorted(member.entries.items()) if _within(request, key)]
            return rpc.RangeResponse(
                header=self._header(member.revision), kvs=[_written(one) for one in found], count=len(found)
            )
        done = await self._proposed(context, lambda now: self._cluster.engine.read(now, ""))
        assert isinstance(done, Done)
        found = [one for one in done.entries if _within(request, one.key)]
        return rpc.RangeResponse(
            header=self._header(done.revision), kvs=[_written(one) for one in found], count=len(found)
        )

    async def txn(self, request: Any, context: Any) -> Any:
        """Txn with equal compares of create or mod revision, puts and deletes."""
        compares = []
        for one in request.compare:
            if one.result != rpc.Compare.EQUAL or one.target not in (rpc.Compare.CREATE, rpc.Compare.MOD):
                await context.abort(
                    grpc.StatusCode.UNIMPLEMENTED, "the stand-in compares revisions for equality"
                )
            compares.append(
                Compare(one.key.decode(), Field.CREATED, one.create_revision)
                if one.target == rpc.Compare.CREATE
                else Compare(one.key.decode(), Field.MODIFIED, one.mod_revision)
            )
        changes: list[Put | Delete] = []
        for one in request.success:
            if one.HasField("request_put"):
                put = one.request_put
                changes.append(Put(put.key.decode(), put.value, put.lease))
            else:
                changes.append(Delete(one.request_delete_range.key.decode()))
        transaction = Transaction(tuple(compares), tuple(changes))
        kind = "claim" if any(isinstance(one, Put) and "/duty/" in one.key for one in changes) else "txn"
        done = await self._proposed(context, lambda now: self._cluster.engine.commit(now, transaction), kind)
        if isinstance(done, Refused) and done.lease_gone:
            await context.abort(grpc.StatusCode.NOT_FOUND, LEASE_GONE)
        assert isinstance(done, Done | Refused)
        return rpc.TxnResponse(header=self._header(done.revision), succeeded=isinstance(done, Done))

    async def compact(self, request: Any, context: Any) -> Any:
        """Compact."""
        self._cluster.engine.compact(request.revision)
        return rpc.CompactionResponse(header=self._header())

    # Lease.

    async def grant(self, request: Any, context: Any) -> Any:
        """LeaseGrant."""
        done = await self._proposed(
            context, lambda now: self._cluster.engine.grant(now, float(request.TTL)), "grant"
        )
        assert isinstance(done, Done)
        return rpc.LeaseGrantResponse(header=self._header(done.revision), ID=done.lease, TTL=int(done.ttl_s))

    async def revoke(self, request: Any, context: Any) -> Any:
        """LeaseRevoke."""
        done = await self._proposed(context, lambda now: self._cluster.engine.revoke(now, request.ID))
        if not isinstance(done, Done):
            await context.abort(grpc.StatusCode.NOT_FOUND, LEASE_GONE)
        return rpc.LeaseRevokeResponse(header=self._header())

    async def keep(self, requests: AsyncIterator[Any], context: Any) -> AsyncIterator[Any]:
        """LeaseKeepAlive: an answer a request, with no time left where the lease is gone."""
        async for request in requests:
            lease = request.ID
            done = await self._proposed(
                context,
                lambda now, lease=lease: (  # type: ignore[misc]
                    self._cluster.engine.keep(now, lease)
                ),
                "keep",
            )
            ttl = int(done.ttl_s) if isinstance(done, Done) else 0
            yield rpc.LeaseKeepAliveResponse(header=self._header(), ID=lease, TTL=ttl)

    async def left(self, request: Any, context: Any) -> Any:
        """LeaseTimeToLive: -1 where the lease is gone."""
        done = await self._proposed(context, lambda now: self._cluster.engine.left(now, request.ID))
        ttl = int(done.ttl_s) if isinstance(done, Done) else -1
        return rpc.LeaseTimeToLiveResponse(header=self._header(), ID=request.ID, TTL=ttl)

    # Watch.

    async def watch(self, requests: AsyncIterator[Any], context: Any) -> None:
        """Watch: one a stream, from what this member has applied."""
        needs_leader = any(key == "hasleader" for key, _ in context.invocation_metadata())
        task: asyncio.Task[None] | None = None
        epoch = self._faults.watch_epoch
        try:
            async for request in requests:
                if request.HasField("create_request"):
                    task = asyncio.ensure_future(
                        self._follow(request.create_request, context, needs_leader, epoch)
                    )
                    self._watches.add(task)
                elif task is not None:
                    await self._awake()
                    if task.done():
                        break
                    await context.write(
                        rpc.WatchResponse(header=self._header(self._cluster.members[self._number].revision))
                    )
            if task is not None:
                await task
        finally:
            if task is not None:
                task.cancel()
                self._watches.discard(task)

    async def _follow(self, create: Any, context: Any, needs_leader: bool, epoch: int) -> None:
        member, engine = self._cluster.members[self._number], self._cluster.engine
        seen = create.start_revision - 1 if create.start_revision else member.revision
        await context.write(rpc.WatchResponse(header=self._header(member.revision), created=True))
        while True:
            await asyncio.sleep(TICK_S / 2)
            await self._awake()
            now = boot_s()
            if self._faults.watch_epoch != epoch or engine is not self._cluster.engine:
                await context.abort(grpc.StatusCode.UNAVAILABLE, "the stream broke")
            if needs_leader and not self._cluster.has_leader(self._number, now):
                await context.abort(grpc.StatusCode.UNAVAILABLE, "etcdserver: no leader")
            if not self._cluster.has_leader(self._number, now) or seen == member.revision:
                continue
            try:
                changes = [
                    one
                    for one in engine.changes("", seen)
                    if one.revision <= member.revision and _within(create, one.key)
                ]
            except WatchLostError as problem:
                await context.write(
                    rpc.WatchResponse(
                        header=self._header(),
                        canceled=True,
                        compact_revision=engine.compacted,
                        cancel_reason=str(problem),
                    )
                )
                return
            seen = max(seen, member.revision)
            if changes:
                await context.write(
                    rpc.WatchResponse(
                        header=self._header(member.revision), events=[_event(one) for one in changes]
                    )
                )

    # Life.

    async def start(self) -> None:
        """Serve, at the same port as before where there was one."""
        self.server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        unary, streamed = grpc.unary_unary_rpc_method_handler, grpc.stream_stream_rpc_method_handler

        def handler(call: Any, kind: Any, request: Any, response: Any) -> Any:
            return kind(
                call, request_deserializer=request.FromString, response_serializer=response.SerializeToString
            )

        self.server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    "etcdserverpb.KV",
                    {
                        "Range": handler(self.range, unary, rpc.RangeRequest, rpc.RangeResponse),
                        "Txn": handler(self.txn, unary, rpc.TxnRequest, rpc.TxnResponse),
                        "Compact": handler(
                            self.compact, unary, rpc.CompactionRequest, rpc.CompactionResponse
                        ),
                    },
                ),
                grpc.method_handlers_generic_handler(
                    "etcdserverpb.Lease",
                    {
                        "LeaseGrant": handler(
                            self.grant, unary, rpc.LeaseGrantRequest, rpc.LeaseGrantResponse
                        ),
                        "LeaseRevoke": handler(
                            self.revoke, unary, rpc.LeaseRevokeRequest, rpc.LeaseRevokeResponse
                        ),
                        "LeaseTimeToLive": handler(
                            self.left, unary, rpc.LeaseTimeToLiveRequest, rpc.LeaseTimeToLiveResponse
                        ),
                        "LeaseKeepAlive": handler(
                            self.keep, streamed, rpc.LeaseKeepAliveRequest, rpc.LeaseKeepAliveResponse
                        ),
                    },
                ),
                grpc.method_handlers_generic_handler(
                    "etcdserverpb.Watch",
                    {"Watch": handler(self.watch, streamed, rpc.WatchRequest, rpc.WatchResponse)},
                ),
            )
        )
        self.port = self.server.add_insecure_port(f"127.0.0.1:{self.port}")
        await self.server.start()

    async def stop(self) -> None:
        """Cut everybody off and be gone."""
        await self.server.stop(None)


def _within(request: Any, key: str) -> bool:
    written = key.encode()
    if not request.range_end:
        return bool(written == request.key)
    return bool(written >= request.key and (request.range_end == b"\0" or written < request.range_end))


class Faults:
    """What is wrong with the answers."""

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.watch_epoch = 0
        self._unheard: dict[str, int] = {}

    def lose(self, kind: str, count: int) -> None:
        """The next so many answers of a kind are lost, after the deed."""
        self._unheard[kind] = count

    def unheard(self, kind: str) -> bool:
        """Whether this one is."""
        left = self._unheard.get(kind, 0)
        self._unheard[kind] = max(0, left - 1)
        return left > 0


CONTROLS = {
    "cut": "members a, b: neither hears the other",
    "heal": "all members hear each other",
    "stall": "member, seconds: it does nothing for so long",
    "kill": "member",
    "start": "member",
    "elect": "member: it leads from now on",
    "lose": "kind (claim, txn, keep, grant), count: answers lost",
    "delay": "seconds before each deed",
    "break_watches": "all streams",
    "compact": "all history",
    "save": "a backup",
    "restore": "the backup",
    "book": "every change so far",
    "state": "leader and term",
}


class Control:
    """Carries out what a trial asks for."""

    def __init__(self, cluster: Cluster, members: list[Member], faults: Faults) -> None:
        self._cluster = cluster
        self._members = members
        self._faults = faults

    async def do(self, told: dict[str, Any]) -> object:
        """One order; what is answered."""
        what, cluster = told["do"], self._cluster
        member = int(told.get("member", 0))
        if what == "cut":
            cluster.cut |= {(told["a"], told["b"]), (told["b"], told["a"])}
        elif what == "heal":
            cluster.cut.clear()
        elif what == "stall":
            cluster.members[member].stalled_until = boot_s() + float(told["seconds"])
        elif what == "kill":
            cluster.members[member].alive = False
            await self._members[member].stop()
        elif what == "start":
            cluster.members[member].alive = True
            await self._members[member].start()
        elif what == "elect":
            cluster.elect(member, boot_s())
        elif what == "lose":
            self._faults.lose(told["kind"], int(told["count"]))
        elif what == "delay":
            self._faults.delay_s = float(told["seconds"])
        elif what == "break_watches":
            self._faults.watch_epoch += 1
        elif what == "compact":
            cluster.engine.compact(cluster.engine.revision)
        elif what == "save":
            cluster.save()
        elif what == "restore":
            cluster.restore()
        elif what == "book":
            return [
                [
                    at,
                    one.revision,
                    one.key,
                    None
                    if one.entry is None
                    else [one.entry.value.decode(errors="replace"), one.entry.created, one.entry.lease],
                ]
                for at, one in cluster.engine.book
            ]
        elif what == "state":
            return {"leader": cluster.leader, "term": cluster.term, "revision": cluster.engine.revision}
        else:
            raise ValueError(f"no such order: {what}; there are {', '.join(CONTROLS)}")
        return "done"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One caller."""
        while line := await reader.readline():
            try:
                answer = await self.do(json.loads(line))
            except (ValueError, KeyError, IndexError, TypeError) as problem:
                answer = {"error": str(problem)}
            writer.write(json.dumps(answer).encode() + b"\n")
            await writer.drain()
        writer.close()


async def serve(count: int) -> None:
    """Serve until standard input ends."""
    cluster, faults = Cluster(count), Faults()
    members = [Member(cluster, number, faults) for number in range(count)]
    for one in members:
        await one.start()
    control = await asyncio.start_server(
        Control(cluster, members, faults).serve, "127.0.0.1", 0, limit=1 << 20
    )
    ports = {"members": [one.port for one in members], "control": control.sockets[0].getsockname()[1]}
    print(json.dumps(ports), flush=True)
    ended = asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    while not ended.done():
        cluster.tick(boot_s())
        await asyncio.sleep(TICK_S)
    for one in members:
        if cluster.members[one._number].alive:
            await one.stop()
    control.close()


def main() -> int:
    """The program."""
    reader = argparse.ArgumentParser(prog="etcd stand-in")
    reader.add_argument("--members", type=int, default=3)
    asyncio.run(serve(reader.parse_args().members))
    return 0


if __name__ == "__main__":
    sys.exit(main())
