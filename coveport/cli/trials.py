"""Trials of many processes: `coveport lab run trials/...` plays one, `coveport lab trials` draws them."""

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
    """Print the result of a trial, and return the exit code."""
    for belief in beliefs:
        held_s = belief.end - belief.start
        click.echo(f"{belief.duty:8} {belief.instance:6} token {belief.token:5} held for {held_s:8.3f} s")
    click.echo(f"{len(beliefs)} holdings, {acts} acts accepted, {len(findings)} findings")
    for finding in findings:
        click.echo(f"{finding.rule}: {finding.what} (at {finding.at:.3f})")
    return ExitCode.FAILED if findings else ExitCode.DONE


def play_trial(
    path: Path, seed: int | None, ground: str, variant: str, sets: Sequence[str], logs: Path | None
) -> int:
    """Play a trial's file on virtual or real ground, and return the exit code."""
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
    from coveport.testbed.fault_injection.real import play as play_on_real_ground

    with tempfile.TemporaryDirectory() as temporary:
        folder = (logs or Path(temporary)).resolve()
        try:
            result = asyncio.run(play_on_real_ground(day.trial, seed, folder, day.store))
        except TrialError as error:
            raise UnusableError(str(error)) from error
        return report(result.findings, result.beliefs, result.acts)


def search_trials(
    path: Path, runs: int, workers: int, seed: int, out: Path, variant: str, sets: Sequence[str]
) -> int:
    """Draw trials for as many instances as a day of trials has, and write each find as such a day."""
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
        smallest = shrink(found, variant)
        assert isinstance(smallest.trial, Trial)
        finds += 1
        name = out / "finds" / f"{smallest.findings[0].rule}-{smallest.seed}.toml"
        name.parent.mkdir(parents=True, exist_ok=True)
        name.write_text(write(smallest.trial, smallest.seed, smallest.findings[0].what))
        click.echo(f"seed {smallest.seed}: {smallest.findings[0].rule}: {smallest.findings[0].what} ({name})")
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
            smallest = shrink(found, variant)
            finds.append(smallest)
            click.echo(f"seed {smallest.seed}: {smallest.findings[0].rule}: {smallest.findings[0].what}")
            for fault in smallest.trial.faults:
                click.echo(f"    {fault}")
    click.echo(f"{runs} trials of {instances} instances from seed {first_seed}: {len(finds)} finds")
    return ExitCode.FAILED if finds else ExitCode.DONE
