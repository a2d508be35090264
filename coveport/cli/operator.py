"""`coveport duties` and `coveport rollout`: what staff see and ask of what instances do together."""

from __future__ import annotations

import asyncio
import getpass
import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from coveport.cli.errors import NOT_HELD, OK, Unusable

if TYPE_CHECKING:
    from coveport.sidecar.config.operator_file import OperatorFile
    from coveport.sidecar.leases.store import Entry, Store

CONFIG = click.option(
    "--config",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The operator's file (TOML).",
)
JSON = click.option("--json", "json_", is_flag=True, help="As JSON.")
TAKEN_S = 10.0  # how long a word to a holder may wait to be taken up


def loaded(path: Path) -> OperatorFile:
    """An operator's file, or all of its faults as the end of the verb."""
    from coveport.sidecar.config.errors import OperatorFileError
    from coveport.sidecar.config.operator_file import load

    try:
        return load(path)
    except OperatorFileError as problem:
        for line in str(problem).splitlines()[:-1]:
            click.echo(f"coveport: {line}", err=True)
        raise Unusable(str(problem).splitlines()[-1]) from problem


def at_store(told: OperatorFile, work: Callable[[Store, str], Awaitable[int]]) -> int:
    """Do something at the store that the file names; `work` is given it and the prefix."""
    from coveport.sidecar.leases.errors import StoreError
    from coveport.sidecar.leases.open_store import open_store

    async def run() -> int:
        store = open_store(told)
        try:
            return await work(store, told.store.prefix)
        finally:
            await store.close()

    try:
        return asyncio.run(run())
    except StoreError as problem:
        raise Unusable(str(problem)) from problem


async def standing(store: Store, prefix: str) -> dict[str, Entry]:
    """All that stands there, without the prefix."""
    from coveport.sidecar.leases.store import Unknown

    found = await store.read(prefix)
    if isinstance(found, Unknown):
        raise Unusable(f"the store does not answer: {found.why}")
    return {one.key[len(prefix) :]: one for one in found.entries}


async def put(store: Store, prefix: str, key: str, value: bytes, only_new: bool = False) -> bool:
    """Write a word for a holder; False where one stands there that was not taken up yet."""
    from coveport.sidecar.leases.store import Compare, Field, Put, Refused, Transaction, Unknown

    compares = (Compare(prefix + key, Field.CREATED, 0),) if only_new else ()
    done = await store.commit(Transaction(compares, (Put(prefix + key, value),)))
    if isinstance(done, Unknown):
        raise Unusable(f"the store does not answer, it may have been written: {done.why}")
    return not isinstance(done, Refused)


@click.group(
    invoke_without_command=True, epilog="Example: coveport duties --config deploy/coveport.toml --json"
)
@CONFIG
@JSON
@click.pass_context
def duties(ctx: click.Context, config: Path, json_: bool) -> int:
    """Show who holds which duty."""
    told = loaded(config)
    ctx.obj = told
    if ctx.invoked_subcommand is not None:
        return OK

    async def work(store: Store, prefix: str) -> int:
        entries = await standing(store, prefix)
        rows = await rows_of(store, entries, told)
        if json_:
            click.echo(json.dumps(rows, indent=2))
            return OK
        for row in rows:
            since = "" if row["since"] is None else time.strftime("%F %T", time.localtime(row["since"]))
            until = "" if row["until"] is None else f", {row['until'] - time.time():.1f} s left"
            holder = (
                f"{row['holder']}, token {row['token']}, since {since}{until}" if row["holder"] else "nobody"
            )
            click.echo(f"{row['duty']:10} {row['zone'] or '-':10} {holder}")
        return OK

    return at_store(told, work)


async def rows_of(store: Store, entries: dict[str, Entry], told: OperatorFile) -> list[dict[str, Any]]:
    """A row a duty: name, zone, holder, token, since and until (unix s); held by nobody: holder empty."""
    from coveport.sidecar.leases.store import Done

    zone = int(json.loads(told.platform.read_text(encoding="utf-8"))["settings"].get("zone", 0))
    held = {key.removeprefix("duty/"): one for key, one in entries.items() if key.startswith("duty/")}
    rows = []
    for name in sorted({*held, *told.duties.contended_roles(zone)}):
        entry = held.get(name)
        row: dict[str, Any] = {
            "duty": name.partition("@")[0],
            "zone": name.partition("@")[2],
            "holder": "",
            "token": 0,
            "since": None,
            "until": None,
        }
        if entry is not None:
            who, _, since = entry.value.decode(errors="replace").partition(" ")
            left = await store.time_left(entry.lease)
            row |= {
                "holder": who.partition("#")[0],
                "token": entry.created,
                "since": float(since) if since else None,
                "until": time.time() + left.ttl_s if isinstance(left, Done) else None,
            }
        rows.append(row)
    return rows


@duties.command("yield")
@click.argument("name")
@click.pass_obj
def yield_(told: OperatorFile, name: str) -> int:
    """Have whoever holds duty NAME hand it on to somebody else."""

    async def work(store: Store, prefix: str) -> int:
        entries = await standing(store, prefix)
        held = entries.get(f"duty/{name}")
        if held is None:
            click.echo(f"{name}: nobody holds it", err=True)
            return NOT_HELD
        await put(store, prefix, f"ask/yield/{name}", b"%d" % held.created)
        end = time.monotonic() + TAKEN_S
        while time.monotonic() < end:
            now = (await standing(store, prefix)).get(f"duty/{name}")
            if now is None or now.created != held.created:
                click.echo(f"{name}: {held.value.decode().partition('#')[0]} has let go of it")
                return OK
            await asyncio.sleep(0.05)
        click.echo(f"{name}: its holder has not let go of it in {TAKEN_S:g} s", err=True)
        return NOT_HELD

    return at_store(told, work)


@click.group()
@CONFIG
@click.pass_context
def rollout(ctx: click.Context, config: Path) -> None:
    """Give the instances other settings, a tenth at a time."""
    ctx.obj = loaded(config)


def ask(told: OperatorFile, word: dict[str, str]) -> int:
    """Write down what is asked for, and wait until a holder has taken it up."""

    async def work(store: Store, prefix: str) -> int:
        value = json.dumps(word | {"by": getpass.getuser()}).encode()
        if not await put(store, prefix, "ask/rollout", value, only_new=True):
            click.echo("rollout: something that was asked before has not been taken up yet", err=True)
            return NOT_HELD
        end = time.monotonic() + TAKEN_S
        while time.monotonic() < end:
            entries = await standing(store, prefix)
            if "ask/rollout" not in entries:
                plan = json.loads(entries["state/rollout"].value)
                click.echo(f"rollout: {plan['said']}")
                return OK if "refused" not in plan["said"] and "there is no" not in plan["said"] else NOT_HELD
            await asyncio.sleep(0.05)
        click.echo("rollout: nobody holds this duty now; it is taken up once somebody does", err=True)
        return NOT_HELD

    return at_store(told, work)


@rollout.command("start")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.pass_obj
def start(told: OperatorFile, file: Path) -> int:
    """Roll FILE out: a platform's JSON file, of which `settings` is taken, or such settings by themselves."""
    from coveport.sidecar.config import platform
    from coveport.sidecar.config.errors import PlatformFileError

    try:
        given = json.loads(file.read_text(encoding="utf-8"))
        settings = given.get("settings", given)
        base = json.loads(told.platform.read_text(encoding="utf-8")) | {"settings": settings}
        running = platform.read(told.platform.read_text(encoding="utf-8"), {})
        platform.read(json.dumps(base), {}, again=True, running=running, where=str(file))
    except (ValueError, AttributeError) as problem:
        raise Unusable(f"{file}: {problem}") from problem
    except PlatformFileError as problem:
        raise Unusable(str(problem)) from problem
    return ask(told, {"do": "start", "settings": json.dumps(settings, sort_keys=True)})


def _ordered(word: str, help_: str) -> None:
    @rollout.command(word, help=help_)
    @click.pass_obj
    def order(told: OperatorFile) -> int:
        return ask(told, {"do": word})


_ordered("pause", "Take no further step until resumed.")
_ordered("resume", "Go on.")
_ordered("abort", "Give all that have the new settings the old ones again.")


@rollout.command("status")
@JSON
@click.pass_obj
def status(told: OperatorFile, json_: bool) -> int:
    """Show where the roll-out is, and what each instance runs."""

    async def work(store: Store, prefix: str) -> int:
        from coveport.sidecar.singletons.rollout_plan import instance_statuses

        entries = await standing(store, prefix)
        plan = json.loads(entries["state/rollout"].value) if "state/rollout" in entries else None
        runs = {name: one.running for name, one in sorted(instance_statuses(entries).items())}
        if json_:
            click.echo(json.dumps({"plan": plan, "instances": runs}, indent=2))
        elif plan is None:
            click.echo("rollout: there was none")
        else:
            click.echo(
                f"{plan['new']}: {plan['phase']}, step {plan['done']} of {len(plan['steps'])}"
                + (f": {plan['why']}" if plan["why"] else "")
            )
            for name, what in runs.items():
                click.echo(f"  {name}: {what or 'its own file'}")
        return OK

    return at_store(told, work)
