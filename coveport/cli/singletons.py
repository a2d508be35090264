"""`coveport duties`: shows who holds the singleton roles, and has a holder step down."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from coveport.cli.exit_codes import ExitCode
from coveport.cli.operator_options import CONFIG, JSON, load_operator_file
from coveport.cli.store_access import (
    POLL_S,
    TAKE_UP_TIMEOUT_S,
    read_entries,
    run_at_store,
    write_request,
)
from coveport.sidecar.leases.keys import ROLE_PREFIX

if TYPE_CHECKING:
    from coveport.sidecar.config.operator_file import OperatorFile
    from coveport.sidecar.leases.store import Entry, Store


@click.group(
    invoke_without_command=True, epilog="Example: coveport duties --config deploy/coveport.toml --json"
)
@CONFIG
@JSON
@click.pass_context
def duties(ctx: click.Context, config: Path, json_: bool) -> int:
    """Show who holds which duty."""
    operator_file = load_operator_file(config)
    ctx.obj = operator_file
    if ctx.invoked_subcommand is not None:
        return ExitCode.DONE

    async def show(store: Store, prefix: str) -> int:
        entries = await read_entries(store, prefix)
        rows = await role_rows(store, entries, operator_file)
        if json_:
            click.echo(json.dumps(rows, indent=2))
            return ExitCode.DONE
        for row in rows:
            click.echo(f"{row['duty']:10} {row['zone'] or '-':10} {_describe_holder(row)}")
        return ExitCode.DONE

    return run_at_store(operator_file, show)


def _describe_holder(row: dict[str, Any]) -> str:
    if not row["holder"]:
        return "nobody"
    since = "" if row["since"] is None else time.strftime("%F %T", time.localtime(row["since"]))
    until = "" if row["until"] is None else f", {row['until'] - time.time():.1f} s left"
    return f"{row['holder']}, token {row['token']}, since {since}{until}"


async def role_rows(
    store: Store, entries: dict[str, Entry], operator_file: OperatorFile
) -> list[dict[str, Any]]:
    """Return a row for each role that is held, or for which the file's instance contends.

    A row has the role's name and zone, its holder (empty: nobody), the fencing token, and since and until
    when it is held, in Unix seconds.
    """
    platform_file = json.loads(operator_file.platform.read_text(encoding="utf-8"))
    zone = int(platform_file["settings"].get("zone", 0))
    held = {
        key.removeprefix(ROLE_PREFIX): entry for key, entry in entries.items() if key.startswith(ROLE_PREFIX)
    }
    roles = sorted({*held, *operator_file.duties.contended_roles(zone)})
    return [await _role_row(store, role, held.get(role)) for role in roles]


async def _role_row(store: Store, role: str, entry: Entry | None) -> dict[str, Any]:
    from coveport.sidecar.leases.store import Done

    name, _, zone = role.partition("@")
    row: dict[str, Any] = {
        "duty": name,
        "zone": zone,
        "holder": "",
        "token": 0,
        "since": None,
        "until": None,
    }
    if entry is None:
        return row
    holder, _, since = entry.value.decode(errors="replace").partition(" ")
    time_left = await store.time_left(entry.lease)
    return row | {
        "holder": holder.partition("#")[0],
        "token": entry.created,
        "since": float(since) if since else None,
        "until": time.time() + time_left.ttl_s if isinstance(time_left, Done) else None,
    }


@duties.command("yield")
@click.argument("name")
@click.pass_obj
def yield_(operator_file: OperatorFile, name: str) -> int:
    """Have whoever holds duty NAME hand it on to somebody else."""

    async def step_down(store: Store, prefix: str) -> int:
        entries = await read_entries(store, prefix)
        held = entries.get(ROLE_PREFIX + name)
        if held is None:
            click.echo(f"{name}: nobody holds it", err=True)
            return ExitCode.FAILED
        await write_request(store, prefix, f"ask/yield/{name}", b"%d" % held.created)
        deadline = time.monotonic() + TAKE_UP_TIMEOUT_S
        while time.monotonic() < deadline:
            current = (await read_entries(store, prefix)).get(ROLE_PREFIX + name)
            if current is None or current.created != held.created:
                click.echo(f"{name}: {held.value.decode().partition('#')[0]} has let go of it")
                return ExitCode.DONE
            await asyncio.sleep(POLL_S)
        click.echo(f"{name}: its holder has not let go of it in {TAKE_UP_TIMEOUT_S:g} s", err=True)
        return ExitCode.FAILED

    return run_at_store(operator_file, step_down)
