"""Options of the verbs that work by an operator's file, and the reading of that file."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from coveport.cli.errors import UnusableError

if TYPE_CHECKING:
    from coveport.sidecar.config.operator_file import OperatorFile

CONFIG = click.option(
    "--config",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The operator's file (TOML).",
)
JSON = click.option("--json", "json_", is_flag=True, help="As JSON.")


def load_operator_file(path: Path) -> OperatorFile:
    """Read an operator's file; print all but its last fault, and raise UnusableError with that one."""
    from coveport.sidecar.config.errors import OperatorFileError
    from coveport.sidecar.config.operator_file import load

    try:
        return load(path)
    except OperatorFileError as error:
        *faults, last_fault = str(error).splitlines()
        for fault in faults:
            click.echo(f"coveport: {fault}", err=True)
        raise UnusableError(last_fault) from error
