"""Trials as files: `scenarios/trials/*.toml`, with a section `[trial]` and a `[[fault]]` for each fault."""

from __future__ import annotations

import json
import tomllib
from pathlib import Path
from typing import Any

import msgspec

from coveport.sidecar.config.errors import LeaseTermsError
from coveport.sidecar.config.lease_terms import LeaseTerms
from coveport.testbed.fault_injection.schedules import HOLDER, KINDS, TRAPS, Fault, Trial
from coveport.testbed.scenario_file import ScenarioError


class Told(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[trial]`."""

    title: str
    instances: int = 5
    ttl: float = 3.0
    margin: float = 0.2
    drift: float = 0.02
    calm: float = 20.0
    store: str = "sqlite"  # on real ground: sqlite or etcd
    seed: int = 1


class ToldFault(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[[fault]]`."""

    at: float
    kind: str
    target: str = ""
    lasts: float = 0.0
    share: float = 0.5


class TrialDay(msgspec.Struct, frozen=True):
    """A trial as its file tells it."""

    title: str
    seed: int
    store: str
    trial: Trial


def is_trial(path: Path) -> bool:
    """Whether a file tells of a trial; one that can't be read does not."""
    try:
        return "trial" in tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError):
        return False


def load(path: Path, sets: tuple[str, ...] = ()) -> TrialDay:
    """Read a trial; ScenarioError names what is wrong. `sets`: KEY=VALUE of `[trial]`."""
    where = str(path)
    try:
        told: dict[str, Any] = tomllib.loads(path.read_text(encoding="utf-8"))
        for one in sets:
            key, _, value = one.partition("=")
            try:
                told["trial"][key.removeprefix("trial.")] = tomllib.loads(f"x = {value}")["x"]
            except tomllib.TOMLDecodeError:
                told["trial"][key.removeprefix("trial.")] = value
        trial = msgspec.convert(told.pop("trial"), Told)
        faults = tuple(msgspec.convert(one, ToldFault) for one in told.pop("fault", ()))
    except (msgspec.ValidationError, tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise ScenarioError(where, str(problem)) from problem
    if told:
        raise ScenarioError(where, f"{', '.join(told)}: a trial has [trial] and [[fault]] alone")
    try:
        LeaseTerms(trial.ttl, trial.margin, trial.drift).check()
    except LeaseTermsError as problem:
        raise ScenarioError(where, f"trial: {problem}") from problem
    for place, fault in enumerate(faults):
        if fault.kind not in (*KINDS, *TRAPS, "reset"):
            raise ScenarioError(
                where,
                f"fault {place + 1}: kind: no {fault.kind!r}; there are "
                f"{', '.join((*KINDS, *TRAPS, 'reset'))}",
            )
        if fault.target and fault.target != HOLDER and not fault.target.isdecimal():
            raise ScenarioError(where, f"fault {place + 1}: target: an instance's number or {HOLDER}")
    if trial.instances < 1 or trial.store not in ("sqlite", "etcd"):
        raise ScenarioError(where, "trial: instances must be at least 1, store sqlite or etcd")
    return TrialDay(
        trial.title,
        trial.seed,
        trial.store,
        Trial(
            instances=trial.instances,
            ttl_s=trial.ttl,
            margin_s=trial.margin,
            drift=trial.drift,
            calm_s=trial.calm,
            faults=tuple(Fault(one.at, one.kind, one.target, one.lasts, one.share) for one in faults),
        ),
    )


def write(trial: Trial, seed: int, title: str) -> str:
    """A trial as such a file. What a file can't tell of it (roll-outs, duties, clocks) is left out."""
    lines = [
        "[trial]",
        f"title = {json.dumps(title)}",
        f"instances = {trial.instances}",
        f"ttl = {trial.ttl_s}",
        f"margin = {trial.margin_s}",
        f"drift = {trial.drift}",
        f"calm = {trial.calm_s}",
        f"seed = {seed}",
    ]
    for one in trial.faults:
        if one.kind not in (*KINDS, *TRAPS):
            continue
        lines += [
            "",
            "[[fault]]",
            f"at = {one.at_s}",
            f"kind = {json.dumps(one.kind)}",
            f"target = {json.dumps(one.target)}",
            f"lasts = {one.lasts_s}",
            f"share = {one.share}",
        ]
    return "\n".join(lines) + "\n"
