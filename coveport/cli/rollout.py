"""`coveport rollout`: rolls other settings out to the instances, and shows how far that is."""

from __future__ import annotations

import asyncio
import getpass
import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode
from coveport.cli.operator_options import CONFIG, JSON, load_operator_file
from coveport.cli.store_access import (
    POLL_S,
    TAKE_UP_TIMEOUT_S,
    read_entries,
    run_at_store,
    write_request,
)
from coveport.sidecar.leases.keys import STATE_PREFIX

if TYPE_CHECKING:
    from coveport.sidecar.config.operator_file import OperatorFile
    from coveport.sidecar.leases.store import Store

REQUEST_KEY = "ask/rollout"
PLAN_KEY = STATE_PREFIX + "rollout"


@click.group()
@CONFIG
@click.pass_context
def rollout(ctx: click.Context, config: Path) -> None:
    """Give the instances other settings, a tenth at a time."""
    ctx.obj = load_operator_file(config)


@rollout.command("start")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.pass_obj
def start(operator_file: OperatorFile, file: Path) -> int:
    """Roll FILE out: a platform's JSON file, of which `settings` is taken, or such settings by themselves."""
    settings = _checked_settings(operator_file, file)
    return _request(operator_file, {"do": "start", "settings": json.dumps(settings, sort_keys=True)})


def _checked_settings(operator_file: OperatorFile, file: Path) -> Any:
    """Return the settings in a file; UnusableError where the instances could not take them."""
    from coveport.sidecar.config import platform
    from coveport.sidecar.config.errors import PlatformFileError

    try:
        document = json.loads(file.read_text(encoding="utf-8"))
        settings = document.get("settings", document)
        running_text = operator_file.platform.read_text(encoding="utf-8")
        candidate = json.loads(running_text) | {"settings": settings}
        running = platform.read(running_text, {})
        platform.read(json.dumps(candidate), {}, is_reload=True, running=running, where=str(file))
    except (ValueError, AttributeError) as error:
        raise UnusableError(f"{file}: {error}") from error
    except PlatformFileError as error:
        raise UnusableError(str(error)) from error
    return settings


def _request(operator_file: OperatorFile, request: dict[str, str]) -> int:
    """Write a request to the holder of the roll-out role, and wait until it is taken up."""

    async def send(store: Store, prefix: str) -> int:
        value = json.dumps(request | {"by": getpass.getuser()}).encode()
        if not await write_request(store, prefix, REQUEST_KEY, value, is_exclusive=True):
            click.echo("rollout: something that was asked before has not been taken up yet", err=True)
            return ExitCode.FAILED
        deadline = time.monotonic() + TAKE_UP_TIMEOUT_S
        while time.monotonic() < deadline:
            entries = await read_entries(store, prefix)
            if REQUEST_KEY not in entries:
                plan = json.loads(entries[PLAN_KEY].value)
                click.echo(f"rollout: {plan['said']}")
                return ExitCode.DONE if _was_accepted(plan) else ExitCode.FAILED
            await asyncio.sleep(POLL_S)
        click.echo("rollout: nobody holds this duty now; it is taken up once somebody does", err=True)
        return ExitCode.FAILED

    return run_at_store(operator_file, send)


def _was_accepted(plan: dict[str, Any]) -> bool:
    """Return whether the holder did what was requested, of which the stored plan has the text alone."""
    return "refused" not in plan["said"] and "there is no" not in plan["said"]


def _add_command(name: str, help_: str) -> None:
    """Add a command that requests what its name says."""

    @rollout.command(name, help=help_)
    @click.pass_obj
    def command(operator_file: OperatorFile) -> int:
        return _request(operator_file, {"do": name})


_add_command("pause", "Take no further step until resumed.")
_add_command("resume", "Go on.")
_add_command("abort", "Give all that have the new settings the old ones again.")


@rollout.command("status")
@JSON
@click.pass_obj
def status(operator_file: OperatorFile, json_: bool) -> int:
    """Show where the roll-out is, and what each instance runs."""

    async def show(store: Store, prefix: str) -> int:
        from coveport.sidecar.singletons.rollout_plan import instance_statuses

        entries = await read_entries(store, prefix)
        plan = json.loads(entries[PLAN_KEY].value) if PLAN_KEY in entries else None
        running = {name: status.running for name, status in sorted(instance_statuses(entries).items())}
        if json_:
            click.echo(json.dumps({"plan": plan, "instances": running}, indent=2))
        elif plan is None:
            click.echo("rollout: there was none")
        else:
            _print_plan(plan, running)
        return ExitCode.DONE

    return run_at_store(operator_file, show)


def _print_plan(plan: dict[str, Any], running: dict[str, str]) -> None:
    reason = f": {plan['why']}" if plan["why"] else ""
    click.echo(f"{plan['new']}: {plan['phase']}, step {plan['done']} of {len(plan['steps'])}{reason}")
    for name, settings in running.items():
        click.echo(f"  {name}: {settings or 'its own file'}")
