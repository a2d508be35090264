"""`coveport work`: what staff see of work in hand, and what they settle of it."""

from __future__ import annotations

import asyncio
import getpass
import json
import os
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from coveport.cli.errors import NOT_HELD, OK, Unusable
from coveport.cli.operator import CONFIG, JSON, loaded

if TYPE_CHECKING:
    from coveport.sidecar.config.operator_file import OperatorFile
    from coveport.sidecar.intent_log.record import Record
    from coveport.sidecar.intent_log.record_layout import RecordLayout
    from coveport.sidecar.leases.store import Entry, Store

CALL_S = 2.0
TRIES = 5  # where an instance writes the same record meanwhile


class StaffRecords:
    """The store of records, as staff reach it."""

    def __init__(self, store: Store, layout: RecordLayout) -> None:
        self.store = store
        self.layout = layout

    async def read(self, prefix: str) -> tuple[Entry, ...]:
        """What stands there."""
        from coveport.sidecar.leases.store import Unknown

        found = await self.store.read(prefix)
        if isinstance(found, Unknown):
            raise Unusable(f"the store does not answer: {found.why}")
        return found.entries

    async def record(self, identity: str) -> tuple[Record, Entry]:
        """One record; Unusable where there is none, or it can't be read."""
        from coveport.sidecar.intent_log.errors import RecordError
        from coveport.sidecar.intent_log.record_codec import decode
        from coveport.sidecar.intent_log.record_layout import is_id

        if not is_id(identity):
            raise Unusable(f"{identity!r} is no record's id: 32 digits of 0 to 9 and a to f")
        entries = await self.read(self.layout.record_key(identity))
        if not entries:
            raise Unusable(f"{identity}: there is no such record")
        try:
            return decode(entries[0].value), entries[0]
        except RecordError as problem:
            raise Unusable(f"{identity}: {problem}") from problem

    async def ids(self, unknown: bool) -> list[str]:
        """Of all records, or of those whose end is not known."""
        prefix = self.layout.unknown_key() if unknown else self.layout.record_key("")
        return [one.key[len(prefix) :] for one in await self.read(prefix)]


def with_records(told: OperatorFile, work: Callable[[StaffRecords], Awaitable[int]]) -> int:
    """Do something at the records' store that the file names."""
    from coveport.sidecar.intent_log.record_layout import RecordLayout
    from coveport.sidecar.leases.errors import StoreError
    from coveport.sidecar.leases.open_store import open_record_store

    async def run() -> int:
        store = open_record_store(told, CALL_S)
        try:
            return await work(StaffRecords(store, RecordLayout(told.work_prefix, told.work.kept_s)))
        finally:
            await store.close()

    try:
        return asyncio.run(run())
    except StoreError as problem:
        raise Unusable(str(problem)) from problem


def row(record: Record) -> dict[str, Any]:
    """What staff are shown of a record: nothing of what was asked or answered."""
    return {
        "id": record.id,
        "class": record.class_name,
        "key": record.idempotency_key,
        "is": record.status,
        "settled": None if record.resolution is None else record.resolution.final_status.value,
        "owner": record.owner,
        "taken": record.accepted_unix_s,
        "closed": record.closed_unix_s or None,
        "attempts": [
            {
                "node": one.node,
                "zone": one.zone,
                "cell": one.cell,
                "by": one.incarnation,
                "at": one.recorded_unix_s,
                "ended": None if one.outcome is None else one.outcome.name.lower(),
            }
            for one in record.attempts
        ],
        "owners": list(record.previous_owners),
        "lives": record.generation,
        "why": record.reason,
        "asked": record.request_id,
    }


def _at(unix: float) -> str:
    return time.strftime("%F %T", time.localtime(unix)) + f".{int(unix % 1 * 1000):03d}" if unix else "-"


def life(record: Record) -> Iterator[str]:
    """A record's life, in words."""
    key = f", key {record.idempotency_key}" if record.idempotency_key else ""
    yield f"{record.id}: {record.class_name}{key}, asked last as {record.request_id}"
    yield f"{_at(record.accepted_unix_s)}  taken by {(*record.previous_owners, record.owner)[0]}"
    for number, one in enumerate(record.attempts, 1):
        how = "no word of its end: it may have run" if one.outcome is None else one.outcome.name.lower()
        if one.outcome is not None and not one.may_have_run:
            how += ": it never ran"
        where = f"{one.node} (zone {one.zone}, cell {one.cell})"
        yield f"{_at(one.recorded_unix_s)}  attempt {number} at {where} by {one.incarnation}: {how}"
    for before, after in zip(
        record.previous_owners, (*record.previous_owners, record.owner)[1:], strict=False
    ):
        yield f"{'':23}  taken over from {before} by {after}"
    if record.generation > 1:
        yield f"{'':23}  its client asked again {record.generation - 1} times after it was closed"
    if record.final_status is None:
        yield f"{'':23}  {record.status}: {record.owner} is at it"
    else:
        why = f": {record.reason}" if record.reason else ""
        yield f"{_at(record.closed_unix_s)}  closed as {record.final_status.value}{why}"
    resolution = record.resolution
    if resolution is not None:
        yield (
            f"{_at(resolution.resolved_unix_s)}  settled as {resolution.final_status.value} "
            f"by {resolution.resolved_by}: {resolution.reason}"
        )


@click.group()
@CONFIG
@click.pass_context
def work(ctx: click.Context, config: Path) -> None:
    """Show and settle what instances have written down of operations."""
    ctx.obj = loaded(config)


@work.command("list")
@JSON
@click.option("--unknown", is_flag=True, help="Only those of which nobody knows whether they ran.")
@click.pass_obj
def list_(told: OperatorFile, json_: bool, unknown: bool) -> int:
    """List records, oldest first."""

    async def run(records: StaffRecords) -> int:
        from coveport.sidecar.intent_log.errors import RecordError
        from coveport.sidecar.intent_log.record_codec import decode

        rows, unreadable = [], 0
        ids = set(await records.ids(True)) if unknown else None
        for entry in await records.read(records.layout.record_key("")):
            try:
                record = decode(entry.value)
            except RecordError as problem:
                unreadable += 1
                click.echo(f"coveport: {entry.key}: {problem}", err=True)
                continue
            if ids is None or record.id in ids:
                rows.append(row(record))
        rows.sort(key=lambda one: float(one["taken"]))
        if json_:
            click.echo(json.dumps(rows, indent=2))
        else:
            for one in rows:
                click.echo(
                    f"{one['id']}  {_at(one['taken'])}  {one['class']:10} "
                    f"{one['settled'] or one['is']:10} {one['owner']}  {one['why']}"
                )
        return NOT_HELD if unreadable else OK

    return with_records(told, run)


@work.command()
@click.argument("identity", metavar="ID")
@JSON
@click.pass_obj
def show(told: OperatorFile, identity: str, json_: bool) -> int:
    """Tell the life of one record."""

    async def run(records: StaffRecords) -> int:
        record, _ = await records.record(identity)
        click.echo(json.dumps(row(record), indent=2) if json_ else "\n".join(life(record)))
        return OK

    return with_records(told, run)


@work.command()
@click.argument("identity", metavar="ID")
@click.argument("end", type=click.Choice(["served", "never-run"]))
@click.option("--by", default="", help="Who says so; as whom you are logged in, where it is left out.")
@click.option("--why", required=True, help="How you know.")
@click.pass_obj
def settle(told: OperatorFile, identity: str, end: str, by: str, why: str) -> int:
    """Say of a record whose end nobody knows how it ended; it is kept with your name and reason."""

    async def run(records: StaffRecords) -> int:
        from coveport.sidecar.intent_log.errors import RecordError
        from coveport.sidecar.intent_log.record import FinalStatus
        from coveport.sidecar.leases.store import Refused, Unknown

        for _ in range(TRIES):
            record, entry = await records.record(identity)
            try:
                settled = record.resolved(FinalStatus(end), by or getpass.getuser(), why, time.time())
            except RecordError as problem:
                click.echo(f"coveport: {problem}", err=True)
                return NOT_HELD
            outcome = await records.store.commit(records.layout.write(record, entry.modified, settled))
            if isinstance(outcome, Unknown):
                raise Unusable(f"the store does not answer, it may be settled: {outcome.why}")
            if not isinstance(outcome, Refused):
                click.echo(f"{identity}: settled as {end}")
                return OK
        raise Unusable(f"{identity}: it is being written by others; try again")

    return with_records(told, run)


@work.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.pass_obj
def export(told: OperatorFile, file: Path) -> int:
    """Append the unknown ones to FILE, a JSON line each, each once, also where an earlier run was killed."""

    async def run(records: StaffRecords) -> int:
        from coveport.sidecar.intent_log.errors import RecordError
        from coveport.sidecar.intent_log.record_codec import decode

        known = exported(file)
        written = 0
        ids = await records.ids(True)
        with open(file, "ab") as out:
            for identity in ids:
                entries = await records.read(records.layout.record_key(identity))
                if not entries:
                    continue
                try:
                    record = decode(entries[0].value)
                except RecordError as problem:
                    click.echo(f"coveport: {identity}: {problem}", err=True)
                    continue
                if (identity, record.generation) in known:
                    continue
                # In one write: a kill leaves a line whole, or a piece that the next run takes away.
                out.write(json.dumps(row(record), sort_keys=True).encode() + b"\n")
                out.flush()
                written += 1
            os.fsync(out.fileno())
        click.echo(f"{written} written, {len(ids) - written} were there before")
        return OK

    return with_records(told, run)


def exported(file: Path) -> set[tuple[str, int]]:
    """Which are in a file already; a last line that a kill cut off is taken away."""
    try:
        data = file.read_bytes()
    except FileNotFoundError:
        return set()
    whole = data[: data.rfind(b"\n") + 1]
    if len(whole) < len(data):
        with open(file, "r+b") as out:
            out.truncate(len(whole))
    found = set()
    for number, line in enumerate(whole.splitlines(), 1):
        try:
            told = json.loads(line)
            found.add((str(told["id"]), int(told["lives"])))
        except (ValueError, KeyError, TypeError) as problem:
            raise Unusable(f"{file}:{number}: not a line of an export") from problem
    return found
