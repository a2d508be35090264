"""`coveport check`: whether a configuration can be used."""

from __future__ import annotations

import os
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING

import click

from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from coveport.sidecar.config.operator_file import OperatorFile


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
    environ = dict(os.environ)
    details = ""
    cost = ""
    if file is not None and file.suffix == ".toml":
        from coveport.cli.operator_options import load_operator_file

        operator_file = load_operator_file(file)
        _check_keys(operator_file)
        cost = _record_cost(operator_file, rate)
        environ["LB_CONFIG"] = str(operator_file.platform)
        details = _describe_operator_file(operator_file)
    elif file is not None:
        environ["LB_CONFIG"] = str(file)
    click.echo(f"ok: {_describe_platform_file(environ)}{details}")
    if cost:
        click.echo(cost)
    return ExitCode.DONE


def _check_keys(operator_file: OperatorFile) -> None:
    """Raise UnusableError where the keys that encrypt records can't be read."""
    if operator_file.key_file is None:
        return
    from coveport.sidecar.intent_log.encryption import read_keys
    from coveport.sidecar.intent_log.errors import EncryptionError

    try:
        read_keys(operator_file.key_file)
    except EncryptionError as error:
        raise UnusableError(str(error)) from error


def _record_cost(operator_file: OperatorFile, rate: float) -> str:
    """Return the load that records put on the store at `rate` operations a second; empty: no records."""
    section = operator_file.work
    if not rate or not section.record:
        return ""
    from coveport.sidecar.intent_log.settings import cost_of

    return cost_of(rate, section.kept_s, section.body_most if operator_file.key_file else 0)


def _describe_operator_file(operator_file: OperatorFile) -> str:
    roles = ", ".join(operator_file.duties.contended_roles(0)) or "none"
    records = ", ".join(operator_file.work.record) or "none"
    return f"; store {operator_file.store.url}, duties {roles}, records {records}"


def _describe_platform_file(environ: Mapping[str, str]) -> str:
    from coveport.sidecar.config import platform
    from coveport.sidecar.config.errors import PlatformFileError

    try:
        config = platform.load(environ)
    except PlatformFileError as error:
        raise UnusableError(str(error)) from error
    classes = ", ".join(operation_class.name for operation_class in config.settings.classes)
    return (
        f"{config.name} listens on {config.listen[0]}:{config.listen[1]}, discovery at "
        f"{config.discovery[0]}:{config.discovery[1]}, classes {classes}"
    )
