"""What the fuzzing reaches and what it costs, beside the tests.

    python benchmarks/fuzz.py [--seconds N] [--only TARGET]... [--tests]

Prints two Markdown tables: executions a second of each target (mutations drawn by seed 1, one process, N
seconds each), and the share of lines and branches of each module that the corpora of fuzz/ take. `--tests`:
also the share that the other tests take; those run once in one process, so what happens in the processes they
start is not counted. Needs coverage: pip install 'coveport[fuzz]'.
"""

from __future__ import annotations

import argparse
import json
import os
import platform
import subprocess
import sys
import tempfile
from datetime import UTC, datetime
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from coveport.testbed.fuzz import UNDER_TEST  # noqa: E402

MODULES = sorted({one for several in UNDER_TEST.values() for one in several if one != "h11"})
NOT_OURS = ["tests/testbed/test_fuzz.py", "tests/testbed/test_h11.py"]  # the tests that fuzz


def machine() -> str:
    """Today and the machine in general terms."""
    load = "/".join(f"{one:.1f}" for one in os.getloadavg())
    return (
        f"{datetime.now(UTC):%Y-%m-%d}, {os.cpu_count()} cores ({platform.machine()}), "
        f"{platform.system()}, {platform.python_implementation()} {platform.python_version()}, "
        f"load before {load}"
    )


def replay() -> None:
    """Play all corpora, and nothing else; this is what coverage is measured of."""
    from coveport.testbed.fuzz import run

    for name in run.TARGETS:
        for data in run.load(run.CORPORA / name):
            run.attempt(run.named(name), data)


def covered(arguments: list[str]) -> dict[str, str]:
    """By file: the share of lines and branches that a run of Python takes, in percent."""
    files = [f"{ROOT / module.replace('.', '/')}.py" for module in MODULES]
    with tempfile.TemporaryDirectory() as work:
        data, told = f"{work}/data", f"{work}/told.json"
        subprocess.run(
            [
                sys.executable,
                "-m",
                "coverage",
                "run",
                "--branch",
                f"--data-file={data}",
                f"--include={','.join(files)}",
                *arguments,
            ],
            cwd=ROOT,
            check=True,
            stdout=sys.stderr,
        )
        subprocess.run(
            [sys.executable, "-m", "coverage", "json", "-q", f"--data-file={data}", "-o", told],
            cwd=ROOT,
            check=True,
        )
        found = json.loads(Path(told).read_text())["files"]
    return {name: f"{one['summary']['percent_covered']:.1f}" for name, one in found.items()}


def table(rows: list[list[str]]) -> str:
    """A Markdown table; the first row is its head, the first column stands left."""
    head, *body = [f"| {' | '.join(row)} |" for row in rows]
    return "\n".join([head, f"| --- |{' ---: |' * (len(rows[0]) - 1)}", *body])


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--only", action="append", choices=list(UNDER_TEST))
    parser.add_argument("--tests", action="store_true")
    parser.add_argument("--replay", action="store_true", help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.replay:
        replay()
        return
    from coveport.testbed.fuzz import run

    print(machine(), end="\n\n")
    rows = [["target", "inputs", "bytes", "executions a second", "kinds of finds"]]
    for name in told.only or run.TARGETS:
        corpus = run.load(run.CORPORA / name)
        done = run.play(name, corpus, seconds=told.seconds)
        rows.append(
            [
                name,
                str(len(corpus)),
                str(sum(map(len, corpus))),
                f"{done.executions / done.seconds:.0f}",
                str(len(done.finds)),
            ]
        )
    print(table(rows), end="\n\n")
    shares = [covered([str(Path(__file__)), "--replay"])]
    if told.tests:
        shares.append(
            covered(
                [
                    "-m",
                    "pytest",
                    "-q",
                    "-p",
                    "no:cacheprovider",
                    "tests",
                    *(f"--ignore={one}" for one in NOT_OURS),
                ]
            )
        )
    rows = [["module", "corpora, %", *["other tests, %"] * told.tests]]
    for module in MODULES:
        file = f"{module.replace('.', '/')}.py"
        rows.append([f"`{module}`", *(one.get(file, "0.0") for one in shares)])
    print(table(rows))


if __name__ == "__main__":
    main()
