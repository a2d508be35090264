"""`coveport work`: shows the records of the intent log, and resolves those of which nobody knows the end."""

from __future__ import annotations

import getpass
import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode
from coveport.cli.operator_options import CONFIG, JSON, load_operator_file
from coveport.cli.record_export import append_record, open_for_export, read_exported
from coveport.cli.record_output import describe_history, format_time, record_as_json
from coveport.cli.record_store import RecordStore, run_at_records

if TYPE_CHECKING:
    from coveport.sidecar.config.operator_file import OperatorFile
    from coveport.sidecar.intent_log.record import Record

MAX_ATTEMPTS = 5  # of a write, where an instance writes the same record meanwhile


@click.group()
@CONFIG
@click.pass_context
def work(ctx: click.Context, config: Path) -> None:
    """Show and settle what instances have written down of operations."""
    ctx.obj = load_operator_file(config)


@work.command("list")
@JSON
@click.option("--unknown", is_flag=True, help="Only those of which nobody knows whether they ran.")
@click.pass_obj
def list_(operator_file: OperatorFile, json_: bool, unknown: bool) -> int:
    """List records, oldest first."""

    async def show(records: RecordStore) -> int:
        unknown_ids = set(await records.read_unknown_ids()) if unknown else None
        entries = await records.read(records.layout.record_key(""))
        decoded = [_decode(entry.key, entry.value) for entry in entries]
        readable = [record for record in decoded if record is not None]
        rows = [
            record_as_json(record) for record in readable if unknown_ids is None or record.id in unknown_ids
        ]
        rows.sort(key=lambda row: float(row["taken"]))
        if json_:
            click.echo(json.dumps(rows, indent=2))
        else:
            for row in rows:
                click.echo(_format_row(row))
        return ExitCode.DONE if len(readable) == len(decoded) else ExitCode.FAILED

    return run_at_records(operator_file, show)


def _decode(name: str, data: bytes) -> Record | None:
    """Return a record; None, with the reason on standard error, where it can't be read."""
    from coveport.sidecar.intent_log.errors import RecordError
    from coveport.sidecar.intent_log.record_codec import decode

    try:
        return decode(data)
    except RecordError as error:
        click.echo(f"coveport: {name}: {error}", err=True)
        return None


def _format_row(row: dict[str, Any]) -> str:
    return (
        f"{row['id']}  {format_time(row['taken'])}  {row['class']:10} "
        f"{row['settled'] or row['is']:10} {row['owner']}  {row['why']}"
    )


@work.command()
@click.argument("identity", metavar="ID")
@JSON
@click.pass_obj
def show(operator_file: OperatorFile, identity: str, json_: bool) -> int:
    """Tell the life of one record."""

    async def print_record(records: RecordStore) -> int:
        record, _ = await records.read_record(identity)
        text = json.dumps(record_as_json(record), indent=2) if json_ else "\n".join(describe_history(record))
        click.echo(text)
        return ExitCode.DONE

    return run_at_records(operator_file, print_record)


@work.command()
@click.argument("identity", metavar="ID")
@click.argument("end", type=click.Choice(["served", "never-run"]))
@click.option("--by", default="", help="Who says so; as whom you are logged in, where it is left out.")
@click.option("--why", required=True, help="How you know.")
@click.pass_obj
def settle(operator_file: OperatorFile, identity: str, end: str, by: str, why: str) -> int:
    """Say of a record whose end nobody knows how it ended; it is kept with your name and reason."""

    async def resolve(records: RecordStore) -> int:
        from coveport.sidecar.intent_log.errors import RecordError
        from coveport.sidecar.intent_log.record import FinalStatus
        from coveport.sidecar.leases.store import Refused, Unknown

        for _ in range(MAX_ATTEMPTS):
            record, entry = await records.read_record(identity)
            try:
                resolved = record.resolved(FinalStatus(end), by or getpass.getuser(), why, time.time())
            except RecordError as error:
                click.echo(f"coveport: {error}", err=True)
                return ExitCode.FAILED
            outcome = await records.store.commit(records.layout.write(record, entry.modified, resolved))
            if isinstance(outcome, Unknown):
                raise UnusableError(f"the store does not answer, it may be settled: {outcome.reason}")
            if not isinstance(outcome, Refused):
                click.echo(f"{identity}: settled as {end}")
                return ExitCode.DONE
        raise UnusableError(f"{identity}: it is being written by others; try again")

    return run_at_records(operator_file, resolve)


@work.command()
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@click.pass_obj
def export(operator_file: OperatorFile, file: Path) -> int:
    """Append the unknown ones to FILE, a JSON line each, each once, also where an earlier run was killed."""

    async def append(records: RecordStore) -> int:
        exported = read_exported(file)
        written = 0
        ids = await records.read_unknown_ids()
        with open_for_export(file) as out:
            for identity in ids:
                entries = await records.read(records.layout.record_key(identity))
                record = _decode(identity, entries[0].value) if entries else None
                if record is None or (identity, record.generation) in exported:
                    continue
                append_record(out, record)
                written += 1
        click.echo(f"{written} written, {len(ids) - written} were there before")
        return ExitCode.DONE

    return run_at_records(operator_file, append)
