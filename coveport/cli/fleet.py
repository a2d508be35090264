"""`coveport fleet`: run the supervisor of a host's instances, and send it requests."""

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

REQUEST_TIMEOUT_S = 15.0  # a little longer than a supervisor waits for the store
LOG_FIELDS_NOT_SHOWN = ("incarnation", "at", "clock")


@click.group()
def fleet() -> None:
    """Keep the instances of one host: start, watch, drain, restart, scale."""


def fleet_of(path: Path) -> OperatorFile:
    """Read an operator's file; UnusableError if it has no fleet."""
    operator_file = load_operator_file(path)
    if not operator_file.fleet.name:
        raise UnusableError(f"{path}: [fleet] name is missing: there is no fleet")
    return operator_file


@fleet.command("run", epilog="Example: coveport fleet run deploy/coveport.toml")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--standby", is_flag=True, help="Wait where another supervisor is at work, and take over.")
def run(file: Path, standby: bool) -> int:
    """Supervise the fleet of the operator's FILE until SIGTERM.

    SIGTERM ends all instances, unless another supervisor stands by; SIGUSR2 ends the supervisor alone; SIGHUP
    reads the file anew. Exit code 1: another supervisor is at work already.
    """
    operator_file = fleet_of(file)
    from coveport.sidecar.supervisor.daemon import main

    return main(operator_file, file.resolve(), standby)


def ask(operator_file: OperatorFile, **request: Any) -> dict[str, Any]:
    """Send a request to the supervisor and return its answer; UnusableError if none answers."""
    from coveport.sidecar.supervisor.control import call, control_path

    path = control_path(operator_file)
    try:
        return call(path, {"id": uuid.uuid4().hex, **request}, REQUEST_TIMEOUT_S)
    except OSError as error:
        raise UnusableError(f"no supervisor answers at {path}: {error.strerror or error}") from error


def report(answer: dict[str, Any]) -> int:
    """Print the answer to a request; return the exit code."""
    click.echo(f"fleet: {answer.get('said', '')}", err=not answer["ok"])
    return ExitCode.DONE if answer["ok"] else ExitCode.FAILED


@fleet.command()
@CONFIG
@JSON
def status(config: Path, json_: bool) -> int:
    """Show the instances; exit code 1 where one that is wanted does not serve."""
    status_ = ask(fleet_of(config), do="status")
    if json_:
        click.echo(json.dumps(status_, indent=2))
    else:
        _print_status(status_)
    desired = [instance for instance in status_["instances"] if instance["wanted"]]
    is_complete = all(instance["state"] == "serving" for instance in desired)
    return ExitCode.DONE if is_complete else ExitCode.FAILED


def _print_status(status_: dict[str, Any]) -> None:
    click.echo(
        f"{status_['fleet']}: {status_['count']} instances, by {status_['supervisor']}"
        + ("" if status_["holds"] else ", which does not hold the duty")
    )
    rolling = status_["restart"]
    if rolling:
        reason = f": {rolling['why']}" if rolling["why"] else ""
        click.echo(f"restart: {rolling['phase']}, {rolling['taken']} of {rolling['of']}{reason}")
    for row in status_["instances"]:
        click.echo(
            f"{row['name']:16} {row['state']:9} {row['address']:22} pid {row['pid'] or '-':<8} "
            f"for {row['for_s']:>8.1f} s  served {row['served']:.3f}  {row['why']}".rstrip()
        )


@fleet.command()
@click.argument("names", nargs=-1, required=True)
@CONFIG
@click.option("--back", is_flag=True, help="Have them serve again.")
def drain(names: tuple[str, ...], config: Path, back: bool) -> int:
    """Have instances answer what they owe and stay down, until --back."""
    return report(ask(fleet_of(config), do="back" if back else "drain", names=list(names)))


@fleet.command()
@click.argument("names", nargs=-1)
@CONFIG
@click.option("--at-once", type=click.IntRange(1, 1000), default=1, help="So many at a time.")
@click.option("--resume", is_flag=True, help="Go on with one that was halted.")
@click.option("--end", is_flag=True, help="Give up one that is under way.")
def restart(names: tuple[str, ...], config: Path, at_once: int, resume: bool, end: bool) -> int:
    """Restart instances in turns (all, where none is named), each next one once the last one serves well."""
    if resume or end:
        return report(ask(fleet_of(config), do="resume" if resume else "end"))
    return report(ask(fleet_of(config), do="restart", names=list(names), at_once=at_once))


@fleet.command()
@click.argument("count", type=click.IntRange(0, 1000))
@CONFIG
def scale(count: int, config: Path) -> int:
    """Have COUNT instances."""
    return report(ask(fleet_of(config), do="scale", count=count))


@fleet.command()
@click.argument("names", nargs=-1)
@CONFIG
@click.option("--last", type=click.IntRange(1, 1_000_000), default=50, help="So many lines.")
@JSON
def logs(names: tuple[str, ...], config: Path, last: int, json_: bool) -> int:
    """Show the last lines of all instances' stream, or of those named."""
    from coveport.sidecar.supervisor.log_stream import read_stream, stream_path

    operator_file = fleet_of(config)
    for entry in read_stream(stream_path(operator_file.fleet_folder), frozenset(names), last):
        if json_:
            click.echo(json.dumps(entry))
            continue
        click.echo(_log_line(entry))
    return ExitCode.DONE


def _log_line(entry: dict[str, Any]) -> str:
    """Return an entry of the log stream as one line of text."""
    writer = entry.pop("instance", entry.pop("supervisor", "?"))
    at = time.strftime("%F %T", time.localtime(float(entry.pop("unix", 0.0))))
    event = entry.pop("event", "")
    level = entry.pop("level", "info")
    fields = " ".join(f"{key}={value}" for key, value in entry.items() if key not in LOG_FIELDS_NOT_SHOWN)
    return f"{at} {level:7} {writer:20} {event} {fields}".rstrip()
