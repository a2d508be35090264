"""`coveport check`: whether a configuration can be used."""

from __future__ import annotations

import os
from pathlib import Path

import click

from coveport.cli.errors import OK, Unusable


@click.command(short_help="Say whether a configuration can be used.",
               epilog="Example: coveport check example/config.json")
@click.argument("file", required=False, type=click.Path(path_type=Path))
def check(file: Path | None) -> int:
    """Read the platform's configuration FILE (or LB_CONFIG's) as a sidecar would, and say what is wrong.

    Nothing is started. Exit code 0 where it can be used, 2 where not.
    """
    from coveport.config import platform

    environ = dict(os.environ)
    if file is not None:
        environ["LB_CONFIG"] = str(file)
    try:
        config = platform.load(environ)
    except platform.ConfigError as problem:
        raise Unusable(str(problem)) from problem
    classes = ", ".join(one.name for one in config.settings.classes)
    click.echo(f"ok: {config.name} listens on {config.listen[0]}:{config.listen[1]}, discovery at "
               f"{config.discovery[0]}:{config.discovery[1]}, classes {classes}")
    return OK
