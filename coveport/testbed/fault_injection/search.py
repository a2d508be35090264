"""Draws trials, plays them side by side, and shrinks the first that breaks a rule."""

from __future__ import annotations

import concurrent.futures
import multiprocessing
import os
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from coveport.testbed.fault_injection.broken_variants import SOUND, VARIANTS
from coveport.testbed.fault_injection.fleet import sim as fleet_sim
from coveport.testbed.fault_injection.fleet.broken_variants import SOUND as FLEET_SOUND
from coveport.testbed.fault_injection.fleet.broken_variants import VARIANTS as FLEET_VARIANTS
from coveport.testbed.fault_injection.fleet.trial import FleetTrial
from coveport.testbed.fault_injection.fleet.trial import draw as draw_fleet
from coveport.testbed.fault_injection.judge import Finding
from coveport.testbed.fault_injection.schedules import Trial, draw, without
from coveport.testbed.fault_injection.virtual import play
from coveport.testbed.fault_injection.work import sim
from coveport.testbed.fault_injection.work.broken_variants import SOUND as WORK_SOUND
from coveport.testbed.fault_injection.work.broken_variants import VARIANTS as WORK_VARIANTS

CHUNK = 5  # trials that a worker takes at a time


Drawn = Trial | sim.WorkTrial | FleetTrial
# Kinds of trials, and who draws them.
DRAWS: dict[str, Callable[[int, int], Drawn]] = {"duties": draw, "work": sim.draw, "fleet": draw_fleet}

VARIANTS_OF: dict[str, Sequence[str]] = {
    "duties": tuple(VARIANTS),
    "work": tuple(WORK_VARIANTS),
    "fleet": tuple(FLEET_VARIANTS),
}


@dataclass(frozen=True, slots=True)
class Found:
    """A drawn trial that broke a rule."""

    seed: int
    trial: Drawn
    findings: tuple[Finding, ...]


def _try(variant: str, instances: int, kind: str, seed: int) -> Found | None:
    trial = DRAWS[kind](seed, instances)
    findings = _play(trial, seed, variant)
    return Found(seed, trial, tuple(findings)) if findings else None


def _play(trial: Drawn, seed: int, variant: str) -> list[Finding]:
    if isinstance(trial, FleetTrial):
        return fleet_sim.play(trial, seed, FLEET_VARIANTS.get(variant, FLEET_SOUND)).findings
    if isinstance(trial, sim.WorkTrial):
        return sim.play(trial, seed, WORK_VARIANTS.get(variant, WORK_SOUND)).findings
    return play(trial, seed, VARIANTS.get(variant, SOUND)).findings


def _chunk(variant: str, instances: int, kind: str, seeds: Sequence[int]) -> list[tuple[int, Found | None]]:
    return [(seed, _try(variant, instances, kind, seed)) for seed in seeds]


def hunt(
    seeds: range,
    instances: int = 5,
    variant: str = "",
    workers: int = 0,
    first: bool = False,
    kind: str = "duties",
) -> Iterator[tuple[int, Found | None]]:
    """Each seed and what it broke, in the order of the seeds. `first`: no further ones after a find.

    `kind`: one of `DRAWS`. `workers` 0: one a core; 1: in this process.
    """
    chunks = [seeds[at : at + CHUNK] for at in range(0, len(seeds), CHUNK)]
    workers = workers or os.cpu_count() or 1
    if workers == 1:
        for seed in seeds:
            found = _try(variant, instances, kind, seed)
            yield seed, found
            if first and found:
                return
        return
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(workers, mp_context=context) as pool:
        futures = [pool.submit(_chunk, variant, instances, kind, chunk) for chunk in chunks]
        for future in futures:
            for seed, found in future.result():
                yield seed, found
                if first and found:
                    pool.shutdown(wait=False, cancel_futures=True)
                    return


def shrink(found: Found, variant: str = "") -> Found:
    """The same find with as few faults as show a finding of the same rule."""
    rules = {one.rule for one in found.findings}
    trial, findings = found.trial, found.findings
    again = True
    while again:
        again = False
        for number in range(len(trial.faults)):
            less = without(trial, number)
            came = _play(less, found.seed, variant)
            if rules & {one.rule for one in came}:
                trial, findings, again = less, tuple(came), True
                break
    return Found(found.seed, trial, findings)
