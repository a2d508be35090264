"""Runs targets: replays a corpus, mutates by seed, hands over to atheris, keeps finds, minimises corpora."""

from __future__ import annotations

import hashlib
import importlib.util
import json
import re
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from itertools import islice
from pathlib import Path
from types import FrameType
from typing import Any

from coveport.testbed.fuzz import UNDER_TEST
from coveport.testbed.fuzz.mutate import Mutator, read_dictionary
from coveport.testbed.fuzz.targets import TARGETS, BrokenError, Target

__all__ = [
    "TARGETS",
    "Find",
    "FuzzError",
    "Mutator",
    "Told",
    "attempt",
    "can_guide",
    "guide",
    "keep",
    "load",
    "minimise",
    "named",
    "play",
    "rewrite",
    "words",
]

ROOT = Path(__file__).resolve().parents[3]
CORPORA = ROOT / "fuzz"
"""The corpora of the source tree: a folder for each target; dictionaries beside them."""
TYPICAL = "typical"
"""The folder in a corpus of what was put there by hand, to begin from; minimising leaves it alone."""

SLOW_S = 10.0  # an input that takes longer is a find


class FuzzError(Exception):
    """A target can't be run; its text is one line."""


@dataclass
class Find:
    """An input for which a target does not hold."""

    kind: str  # the rule, or the error and where it was raised: finds of one kind have one cause, mostly
    text: str
    data: bytes
    path: Path | None = None


@dataclass
class Told:
    """What a run did."""

    executions: int = 0
    seconds: float = 0.0
    guided: bool = False
    finds: dict[str, Find] = field(default_factory=dict)  # the first of each kind

    def note(self, find: Find | None) -> None:
        """Keep a find, unless there is one of its kind already."""
        if find is not None:
            self.finds.setdefault(find.kind, find)


def named(name: str) -> Target:
    """A target that can be run here; FuzzError where it can't."""
    if name not in TARGETS:
        raise FuzzError(f"no target {name}; one of {', '.join(TARGETS)}")
    if TARGETS[name].needs_h11 and importlib.util.find_spec("h11") is None:
        raise FuzzError(f"{name} needs h11: pip install 'coveport[fuzz]'")
    return TARGETS[name]


def attempt(target: Target, data: bytes) -> Find | None:
    """Play one input."""
    try:
        target.check(data)
    except BrokenError as problem:
        return Find(problem.rule, str(problem), data)
    except Exception as problem:
        frames = traceback.extract_tb(problem.__traceback__)
        last = next((one for one in reversed(frames) if Path(one.filename).is_relative_to(ROOT)), frames[-1])
        kind = f"{type(problem).__name__} in {Path(last.filename).stem}.{last.name}"
        return Find(kind, f"{kind}: {problem}", data)
    return None


def load(folder: Path) -> list[bytes]:
    """The inputs of a folder and those below in order of their paths; none where there is no folder."""
    return [one.read_bytes() for one in sorted(folder.rglob("*")) if one.is_file()]


def keep(folder: Path, data: bytes) -> Path:
    """Write an input under the hash of its content."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / hashlib.sha256(data).hexdigest()[:16]
    path.write_bytes(data)
    return path


def words(target: Target) -> list[bytes]:
    """The words of a target's dictionary; none where there is no such file."""
    path = CORPORA / "dictionaries" / f"{target.dictionary}.dict"
    return read_dictionary(path.read_text(encoding="utf-8")) if path.is_file() else []


def play(
    name: str,
    corpus: Sequence[bytes],
    *,
    seed: int = 1,
    count: int | None = None,
    seconds: float | None = None,
    on: Callable[[int], None] | None = None,
) -> Told:
    """Play a corpus, then mutations of it by seed: `count` of them, or for `seconds`. Never guided.

    `on` is told the number of executions now and then.
    """
    target, told, start = named(name), Told(), time.monotonic()
    made = iter(Mutator(f"fuzz {name} {seed}", corpus, words(target)))
    inputs: Iterable[bytes] = islice(made, count) if count is not None else made
    for more in (corpus, inputs):
        for data in more:
            if seconds is not None and time.monotonic() - start > seconds and more is inputs:
                break
            told.note(attempt(target, data))
            told.executions += 1
            if on is not None and told.executions % 256 == 0:
                on(told.executions)
    told.seconds = time.monotonic() - start
    return told


def can_guide() -> bool:
    """Whether atheris is there."""
    return importlib.util.find_spec("atheris") is not None


def guide(name: str, corpus: Path, out: Path, *, seconds: float, seed: int = 1) -> Told:
    """Let atheris run a target in a process of its own; new inputs go to `out`/inputs.

    FuzzError where the process fails for another reason than a find.
    """
    target, told, start = named(name), Told(guided=True), time.monotonic()
    corpus, out = corpus.resolve(), out.resolve()  # the process runs elsewhere
    inputs, crashes = out / "inputs", out / "crashes"
    for folder in (inputs, crashes):
        folder.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as work:
        report, dictionary = Path(work) / "finds", CORPORA / "dictionaries" / f"{target.dictionary}.dict"
        command = [
            sys.executable,
            "-m",
            "coveport.testbed.fuzz.guided",
            name,
            str(report),
            str(corpus),
            f"-max_total_time={max(1, round(seconds))}",
            f"-seed={seed % 2**32 or 1}",
            f"-timeout={SLOW_S:g}",
            "-max_len=20000",
            "-rss_limit_mb=4096",
            "-print_final_stats=1",
            f"-artifact_prefix={crashes}/",
            *([f"-dict={dictionary}"] if dictionary.is_file() else []),
            str(inputs),
            *([str(corpus)] if corpus.is_dir() else []),
        ]
        done = subprocess.run(command, capture_output=True, check=False, cwd=ROOT)
        said = done.stderr.decode(errors="replace")
        for line in report.read_text().splitlines() if report.is_file() else ():
            one = json.loads(line)
            told.note(Find(one["kind"], one["text"], bytes.fromhex(one["data"])))
    for path in sorted(crashes.iterdir()):
        # What ends the process: crash, timeout, oom.
        kind, data = path.name.partition("-")[0], path.read_bytes()
        path.unlink()
        began = time.process_time()
        # Guards against a machine that stood still: libFuzzer goes by the clock on the wall.
        if kind != "timeout" or attempt(target, data) or time.process_time() - began > SLOW_S / 10:
            told.note(Find(kind, f"{kind}: the process ended, or took over {SLOW_S:g} s", data))
    crashes.rmdir()
    figure = re.search(r"stat::number_of_executed_units:\s*(\d+)", said)
    if figure is None and not told.finds:
        last = [line for line in said.splitlines() if line.strip()][-1:]
        raise FuzzError(f"atheris ended with code {done.returncode}: {''.join(last)}")
    told.executions = int(figure[1]) if figure else 0
    told.seconds = time.monotonic() - start
    return told


# Minimising.


Step = tuple[str, int, int]
"""From a line to the next one: file, from, to. From -n: into the function at line n; to -1, -2: out of it."""


def steps(target: Target, data: bytes, files: frozenset[str]) -> frozenset[Step]:
    """The steps that an input takes through files."""
    found = set[Step]()

    def called(frame: FrameType, event: str, _arg: Any) -> Any:
        name = frame.f_code.co_filename
        if name not in files:
            return None
        last = -frame.f_code.co_firstlineno

        def stepped(frame: FrameType, event: str, _arg: Any) -> Any:
            nonlocal last
            if event == "line":
                found.add((name, last, frame.f_lineno))
                last = frame.f_lineno
            elif event in ("return", "exception"):
                found.add((name, last, -1 if event == "return" else -2))
            return stepped

        return stepped

    before = sys.gettrace()
    sys.settrace(called)
    try:
        attempt(target, data)
    finally:
        sys.settrace(before)
    return frozenset(found)


def under_test(name: str) -> frozenset[str]:
    """The files under test of a target; of a package all."""
    found = set[str]()
    for module in UNDER_TEST[name]:
        spec = importlib.util.find_spec(module)
        assert spec is not None and spec.origin is not None
        path = Path(spec.origin)
        found.update(str(one) for one in (path.parent.glob("*.py") if path.name == "__init__.py" else [path]))
    return frozenset(found)


def minimise(name: str, inputs: Iterable[bytes], given: Iterable[bytes] = ()) -> list[bytes]:
    """Few and short inputs that with those `given` take all steps that `inputs` take.

    Greedy: the shortest first, each kept that adds a step; then, from the longest on, those dropped that
    others cover.
    """
    target, files = named(name), under_test(name)
    kept, times = list[tuple[bytes, frozenset[Step]]](), dict[Step, int]()
    for data in given:
        times.update(dict.fromkeys(steps(target, data, files), 1))
    for data in sorted(set(inputs), key=lambda one: (len(one), one)):
        taken = steps(target, data, files)
        if not taken <= times.keys():
            kept.append((data, taken))
            for one in taken:
                times[one] = times.get(one, 0) + 1
    for data, taken in reversed(kept[:]):
        if all(times[one] > 1 for one in taken):
            kept.remove((data, taken))
            for one in taken:
                times[one] -= 1
    return [data for data, _ in kept]


def rewrite(folder: Path, inputs: Sequence[bytes]) -> None:
    """Make a folder hold these inputs alone, each under its hash; folders in it stay."""
    kept = {keep(folder, data).name for data in inputs}
    for one in folder.iterdir():
        if one.is_file() and one.name not in kept:
            one.unlink()
