"""Trials of many processes: `coveport lab run trials/...`, and `coveport lab trials`, which draws them."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

import click

from coveport.cli.errors import UnusableError
from coveport.cli.exit_codes import ExitCode

if TYPE_CHECKING:
    from coveport.testbed.fault_injection.judge import Belief, Finding
    from coveport.testbed.fault_injection.search import Found


def report(findings: Sequence[Finding], beliefs: Sequence[Belief], acts: int) -> int:
    """Print what came of a trial; the exit code."""
    for one in beliefs:
        click.echo(f"{one.duty:8} {one.instance:6} token {one.token:5} held for {one.end - one.start:8.3f} s")
    click.echo(f"{len(beliefs)} holdings, {acts} acts accepted, {len(findings)} findings")
    for found in findings:
        click.echo(f"{found.rule}: {found.what} (at {found.at:.3f})")
    return ExitCode.FAILED if findings else ExitCode.DONE


def play_trial(
    path: Path, seed: int | None, ground: str, variant: str, sets: Sequence[str], logs: Path | None
) -> int:
    """Play a trial's file on a ground."""
    from coveport.testbed.fault_injection.broken_variants import SOUND, VARIANTS
    from coveport.testbed.fault_injection.days import load

    day = load(path, tuple(sets))
    seed = day.seed if seed is None else seed
    if variant and variant not in VARIANTS:
        raise UnusableError(f"no variant {variant!r}; one of {', '.join(VARIANTS)}")
    if ground == "virtual":
        from coveport.testbed.fault_injection.virtual import play

        played = play(day.trial, seed, VARIANTS.get(variant, SOUND))
        return report(played.findings, played.beliefs, len(played.acts))
    if ground != "real" or variant:
        raise UnusableError("trials run on virtual and real ground, variants on virtual ground only")
    from coveport.testbed.fault_injection.real import TrialError
    from coveport.testbed.fault_injection.real import play as real

    with tempfile.TemporaryDirectory() as own:
        folder = (logs or Path(own)).resolve()
        try:
            came = asyncio.run(real(day.trial, seed, folder, day.store))
        except TrialError as problem:
            raise UnusableError(str(problem)) from problem
        return report(came.findings, came.beliefs, came.acts)


def search_trials(
    path: Path, runs: int, workers: int, seed: int, out: Path, variant: str, sets: Sequence[str]
) -> int:
    """Draw trials for as many instances as a day of trials has; each find is kept as such a day."""
    from coveport.testbed.fault_injection.broken_variants import VARIANTS
    from coveport.testbed.fault_injection.days import load, write
    from coveport.testbed.fault_injection.schedules import Trial
    from coveport.testbed.fault_injection.search import hunt, shrink

    day = load(path, tuple(sets))
    if variant and variant not in VARIANTS:
        raise UnusableError(f"no variant {variant!r}; one of {', '.join(VARIANTS)}")
    finds = 0
    first = seed * runs
    for _, found in hunt(range(first, first + runs), day.trial.instances, variant, workers, bool(variant)):
        if found is None:
            continue
        less = shrink(found, variant)
        assert isinstance(less.trial, Trial)
        finds += 1
        name = out / "finds" / f"{less.findings[0].rule}-{less.seed}.toml"
        name.parent.mkdir(parents=True, exist_ok=True)
        name.write_text(write(less.trial, less.seed, less.findings[0].what))
        click.echo(f"seed {less.seed}: {less.findings[0].rule}: {less.findings[0].what} ({name})")
    click.echo(f"{runs} trials of {day.trial.instances} instances from seed {first}: {finds} finds")
    return ExitCode.FAILED if finds else ExitCode.DONE


@click.command("trials", short_help="Draw trials of many processes and look for one that breaks a rule.")
@click.option("--runs", type=click.IntRange(min=1), default=200, show_default=True)
@click.option("--first-seed", type=click.IntRange(min=0), default=0, show_default=True)
@click.option("--instances", type=click.IntRange(min=1, max=1000), default=5, show_default=True)
@click.option("--variant", default="", metavar="NAME", help="A broken variant, to see that it is found.")
@click.option("--work", is_flag=True, help="Trials of work in hand, not of duties.")
@click.option("--fleet", is_flag=True, help="Trials of a supervised fleet.")
@click.option("--workers", type=click.IntRange(min=0), default=0, help="Processes; 0: one a core.")
def trials(
    runs: int, first_seed: int, instances: int, variant: str, work: bool, fleet: bool, workers: int
) -> int:
    """Play drawn trials on simulated ground; print each find with as few faults as show it."""
    from coveport.testbed.fault_injection.search import VARIANTS_OF, hunt, shrink

    if work and fleet:
        raise UnusableError("--work and --fleet: one or the other")
    kind = "work" if work else "fleet" if fleet else "duties"
    if variant and variant not in VARIANTS_OF[kind]:
        raise UnusableError(f"no variant {variant!r}; one of {', '.join(VARIANTS_OF[kind])}")
    finds: list[Found] = []
    for _, found in hunt(
        range(first_seed, first_seed + runs), instances, variant, workers, bool(variant), kind
    ):
        if found is not None:
            less = shrink(found, variant)
            finds.append(less)
            click.echo(f"seed {less.seed}: {less.findings[0].rule}: {less.findings[0].what}")
            for fault in less.trial.faults:
                click.echo(f"    {fault}")
    click.echo(f"{runs} trials of {instances} instances from seed {first_seed}: {len(finds)} finds")
    return ExitCode.FAILED if finds else ExitCode.DONE
