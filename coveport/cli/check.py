"""`coveport check`: whether a configuration can be used."""

from __future__ import annotations

import os
from pathlib import Path

import click

from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode


@click.command(
    short_help="Say whether a configuration can be used.",
    epilog="Example: coveport check example/config.json",
)
@click.argument("file", required=False, type=click.Path(path_type=Path))
@click.option(
    "--rate",
    type=click.FloatRange(0, 1e6),
    default=0.0,
    help="Operations of recorded classes a second, over all instances: tells what records cost.",
)
def check(file: Path | None, rate: float) -> int:
    """Read the platform's configuration FILE (or LB_CONFIG's) as a sidecar would, and say what is wrong.

    A FILE that ends in .toml is an operator's: it is checked with the platform's file that it names.

    Nothing is started. Exit code 0 where it can be used, 2 where not.
    """
    from coveport.sidecar.config import platform
    from coveport.sidecar.config.errors import PlatformFileError

    environ = dict(os.environ)
    beside, cost = "", ""
    if file is not None and file.suffix == ".toml":
        from coveport.cli.operator_options import load_operator_file

        told = load_operator_file(file)
        if told.key_file is not None:
            from coveport.sidecar.intent_log.encryption import read_keys
            from coveport.sidecar.intent_log.errors import EncryptionError

            try:
                read_keys(told.key_file)
            except EncryptionError as problem:
                raise UnusableError(str(problem)) from problem
        if rate and told.work.record:
            from coveport.sidecar.intent_log.settings import cost_of

            cost = cost_of(rate, told.work.kept_s, told.work.body_most if told.key_file else 0)
        environ["LB_CONFIG"] = str(told.platform)
        held = ", ".join(told.duties.contended_roles(0)) or "none"
        beside = f"; store {told.store.url}, duties {held}, records {', '.join(told.work.record) or 'none'}"
    elif file is not None:
        environ["LB_CONFIG"] = str(file)
    try:
        config = platform.load(environ)
    except PlatformFileError as problem:
        raise UnusableError(str(problem)) from problem
    classes = ", ".join(one.name for one in config.settings.classes)
    click.echo(
        f"ok: {config.name} listens on {config.listen[0]}:{config.listen[1]}, discovery at "
        f"{config.discovery[0]}:{config.discovery[1]}, classes {classes}{beside}"
    )
    if cost:
        click.echo(cost)
    return ExitCode.DONE
