"""`coveport fleet`: the instances of one host, supervised."""

from __future__ import annotations

import json
import time
import uuid
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode
from coveport.cli.operator_options import CONFIG, JSON, load_operator_file

if TYPE_CHECKING:
    from coveport.sidecar.config.operator_file import OperatorFile

WITHIN_S = 15.0  # a little longer than a supervisor waits for the store


@click.group()
def fleet() -> None:
    """Keep the instances of one host: start, watch, drain, restart, scale."""


def fleet_of(path: Path) -> OperatorFile:
    """An operator's file that has a fleet."""
    told = load_operator_file(path)
    if not told.fleet.name:
        raise UnusableError(f"{path}: [fleet] name is missing: there is no fleet")
    return told


@fleet.command("run", epilog="Example: coveport fleet run deploy/coveport.toml")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--standby", is_flag=True, help="Wait where another supervisor is at work, and take over.")
def run(file: Path, standby: bool) -> int:
    """Supervise the fleet of the operator's FILE until SIGTERM.

    SIGTERM ends all instances, unless another supervisor stands by; SIGUSR2 ends the supervisor alone; SIGHUP
    reads the file anew. Exit code 1: another supervisor is at work already.
    """
    told = fleet_of(file)
    from coveport.sidecar.supervisor.daemon import main

    return main(told, file.resolve(), standby)


def ask(told: OperatorFile, **words: Any) -> dict[str, Any]:
    """Ask the supervisor; Unusable where there is none."""
    from coveport.sidecar.supervisor.control import call, control_path

    path = control_path(told)
    try:
        return call(path, {"id": uuid.uuid4().hex, **words}, WITHIN_S)
    except OSError as problem:
        raise UnusableError(f"no supervisor answers at {path}: {problem.strerror or problem}") from problem


def said(answer: dict[str, Any]) -> int:
    """Print what became of a verb; the exit code."""
    click.echo(f"fleet: {answer.get('said', '')}", err=not answer["ok"])
    return ExitCode.DONE if answer["ok"] else ExitCode.FAILED


@fleet.command()
@CONFIG
@JSON
def status(config: Path, json_: bool) -> int:
    """Show the instances; exit code 1 where one that is wanted does not serve."""
    told = ask(fleet_of(config), do="status")
    if json_:
        click.echo(json.dumps(told, indent=2))
    else:
        click.echo(
            f"{told['fleet']}: {told['count']} instances, by {told['supervisor']}"
            + ("" if told["holds"] else ", which does not hold the duty")
        )
        if told["restart"]:
            it = told["restart"]
            click.echo(
                f"restart: {it['phase']}, {it['taken']} of {it['of']}"
                + (f": {it['why']}" if it["why"] else "")
            )
        for one in told["instances"]:
            click.echo(
                f"{one['name']:16} {one['state']:9} {one['address']:22} pid {one['pid'] or '-':<8} "
                f"for {one['for_s']:>8.1f} s  served {one['served']:.3f}  {one['why']}".rstrip()
            )
    return (
        ExitCode.DONE
        if all(one["state"] == "serving" for one in told["instances"] if one["wanted"])
        else ExitCode.FAILED
    )


@fleet.command()
@click.argument("names", nargs=-1, required=True)
@CONFIG
@click.option("--back", is_flag=True, help="Have them serve again.")
def drain(names: tuple[str, ...], config: Path, back: bool) -> int:
    """Have instances answer what they owe and stay down, until --back."""
    return said(ask(fleet_of(config), do="back" if back else "drain", names=list(names)))


@fleet.command()
@click.argument("names", nargs=-1)
@CONFIG
@click.option("--at-once", type=click.IntRange(1, 1000), default=1, help="So many at a time.")
@click.option("--resume", is_flag=True, help="Go on with one that was halted.")
@click.option("--end", is_flag=True, help="Give up one that is under way.")
def restart(names: tuple[str, ...], config: Path, at_once: int, resume: bool, end: bool) -> int:
    """Restart instances in turns (all, where none is named), each next one once the last one serves well."""
    if resume or end:
        return said(ask(fleet_of(config), do="resume" if resume else "end"))
    return said(ask(fleet_of(config), do="restart", names=list(names), at_once=at_once))


@fleet.command()
@click.argument("count", type=click.IntRange(0, 1000))
@CONFIG
def scale(count: int, config: Path) -> int:
    """Have COUNT instances."""
    return said(ask(fleet_of(config), do="scale", count=count))


@fleet.command()
@click.argument("names", nargs=-1)
@CONFIG
@click.option("--last", type=click.IntRange(1, 1_000_000), default=50, help="So many lines.")
@JSON
def logs(names: tuple[str, ...], config: Path, last: int, json_: bool) -> int:
    """Show the last lines of all instances' stream, or of those named."""
    from coveport.sidecar.supervisor.log_stream import read_stream, stream_path

    told = fleet_of(config)
    for one in read_stream(stream_path(told.fleet_folder), frozenset(names), last):
        if json_:
            click.echo(json.dumps(one))
            continue
        who = one.pop("instance", one.pop("supervisor", "?"))
        at, event = float(one.pop("unix", 0.0)), one.pop("event", "")
        level = one.pop("level", "info")
        rest = " ".join(
            f"{key}={value}" for key, value in one.items() if key not in ("incarnation", "at", "clock")
        )
        click.echo(f"{time.strftime('%F %T', time.localtime(at))} {level:7} {who:20} {event} {rest}".rstrip())
    return ExitCode.DONE
