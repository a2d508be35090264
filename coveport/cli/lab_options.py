"""Options of the verbs that play days, and how their errors end a verb."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Sequence
from pathlib import Path

import click

from coveport.cli.errors import UnusableError

OUT_FILE = click.Path(dir_okay=False, path_type=Path)
OUT_FOLDER = click.Path(file_okay=False, path_type=Path)
GROUND = click.option(
    "--ground",
    type=click.Choice(["virtual", "real", "bare"]),
    default="virtual",
    show_default=True,
    help="Simulated time in one process, processes on loopback, or decisions alone.",
)
VARIANT = click.option("--variant", default="", metavar="NAME", help="Which variant of the sidecar.")


@contextlib.contextmanager
def usage_errors(ground: str = "virtual", variants: Sequence[str] = ()) -> Iterator[None]:
    """Check the ground and the variants, and turn the lab's errors on files and calls into UnusableError."""
    expected = _expected_errors(ground)
    _check_variants(ground, variants)
    try:
        yield
    except expected as error:
        raise UnusableError(str(error)) from error


def _check_variants(ground: str, variants: Sequence[str]) -> None:
    if not any(variants):
        return
    if ground != "virtual":
        raise UnusableError("variants of the sidecar run on virtual ground only")
    from coveport.testbed.broken import variant_named

    try:
        for name in variants:
            variant_named(name)
    except ValueError as error:
        raise UnusableError(str(error)) from error


def _expected_errors(ground: str) -> tuple[type[Exception], ...]:
    from coveport.testbed.scenario_file import ScenarioError

    if ground == "real":
        from coveport.testbed.loopback import GroundError

        return ScenarioError, GroundError
    if ground == "bare":
        from coveport.testbed.discrete_event.play import BareError

        return ScenarioError, BareError
    return (ScenarioError,)
