"""`coveport run`: one sidecar."""

from __future__ import annotations

import os
from pathlib import Path

import click

from coveport.cli.errors import UnusableError


@click.command(epilog="Example: coveport run --config example/config.json")
@click.option(
    "--config",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="The platform's JSON file, which beats LB_CONFIG, or an operator's file (.toml).",
)
@click.option("--as", "name", default="", help="Of an operator's file with a fleet: which of its instances.")
def run(config: Path | None, name: str) -> int:
    """Run a sidecar until SIGTERM, as the platform would.

    Its configuration is the file in LB_CONFIG; LB_NAME, LB_LISTEN and LB_DISCOVERY beat what the file says.
    SIGTERM ends it once nothing is owed, SIGHUP reads the file anew, SIGUSR1 prints the counters. With an
    operator's file it also takes part in the duties that the file names.
    """
    if config is not None and config.suffix == ".toml":
        from coveport.cli.operator_options import load_operator_file
        from coveport.sidecar.daemon import main as daemon

        operator_file = load_operator_file(config)
        fleet = operator_file.fleet
        if name and not fleet.number(name):
            raise UnusableError(f"{config}: [fleet] has no {name!r}: {fleet.name or 'NAME'}-1, -2, ...")
        if not name and fleet.name:
            raise UnusableError(
                f"{config}: a fleet's: coveport fleet run {config}, or one of it by --as NAME"
            )
        return daemon(operator_file, name)
    if name:
        raise UnusableError("--as goes with an operator's file that has a fleet")
    if config is not None:
        os.environ["LB_CONFIG"] = str(config)
    from coveport.sidecar.service import main

    return main()
