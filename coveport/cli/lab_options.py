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
def one_line(ground: str = "virtual", variants: Sequence[str] = ()) -> Iterator[None]:
    """Turns what the lab says of a file or a call into the end of the verb."""
    from coveport.testbed.scenario import ScenarioError

    expected: tuple[type[Exception], ...] = (ScenarioError,)
    if ground == "real":
        from coveport.testbed.loopback import GroundError

        expected += (GroundError,)
        if any(variants):
            raise UnusableError("variants of the sidecar run on virtual ground only")
    elif ground == "bare":
        from coveport.testbed.discrete_event.play import BareError

        expected += (BareError,)
        if any(variants):
            raise UnusableError("variants of the sidecar run on virtual ground only")
    elif any(variants):
        from coveport.testbed.broken import variant_named

        try:
            for name in variants:
                variant_named(name)
        except ValueError as problem:
            raise UnusableError(str(problem)) from problem
    try:
        yield
    except expected as problem:
        raise UnusableError(str(problem)) from problem
