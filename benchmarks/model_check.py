"""How many states the large worlds of the model checker have, and how long it takes to explore them.

    python -m benchmarks.model_check [--states N] [--jobs N] [--seed N] [--audit] [--small] [WORLD]...

Run from the repository's root. Each world is explored in a process of its own, and ends as a line of a
Markdown table; breaches follow, each as a test. Seconds are those of the CPU, so other work on the machine
slows a run down but leaves its figures nearly as they are. With `--audit` states met before are gone on from
too, and `doubts` counts those from which something else followed than from the first with the same key (0: as
it must be); its paths and seconds are larger for that.
"""

from __future__ import annotations

import argparse
import gc
import os
import platform
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from coveport.testbed.check import Report, check, printed
from coveport.testbed.check.worlds import LARGE, SMALL, WORLDS

HEAD = ("world", "states", "paths", "depth", "timers", "seconds", "paths/s", "explored", "doubts", "broken")


def explore(name: str, most_states: int, audit: bool, seed: int | None) -> Report:
    """Explore one world, in a process that does nothing else."""
    gc.disable()  # states hold no cycles, and there are many of them to look through
    return check(WORLDS[name], most_states=most_states, audit=audit, seed=seed, clock=time.process_time)


def line(report: Report, audit: bool) -> str:
    """A report as a line of the table."""
    rules = ", ".join(one.breach.rule for one in report.found)
    cells = (
        report.world.name,
        report.states,
        report.paths,
        report.depth,
        report.most_timers,
        f"{report.seconds:.1f}",
        f"{report.paths / max(report.seconds, 1e-9):.0f}",
        "whole" if report.whole else "bounded",
        report.doubts if audit else "-",
        rules or "-",
    )
    return f"| {' | '.join(map(str, cells))} |"


def main() -> int:
    """Explore the worlds named, by default the large ones; 1 where a rule was broken or a key is in doubt."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("worlds", nargs="*", choices=[[], *WORLDS], metavar="WORLD")
    parser.add_argument("--states", type=int, default=300_000, help="stop a world at so many (%(default)s)")
    parser.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="worlds at once (%(default)s)")
    parser.add_argument("--seed", type=int, help="go at random, path after path to its end")
    parser.add_argument("--audit", action="store_true", help="check the keys of states too")
    parser.add_argument("--small", action="store_true", help="the worlds of the tests instead")
    arguments = parser.parse_args()
    names = arguments.worlds or [world.name for world in (SMALL if arguments.small else LARGE)]
    loads = "/".join(f"{one:.1f}" for one in os.getloadavg())
    print(
        f"{os.cpu_count()} cores ({platform.machine()}), {platform.python_implementation()} "
        f"{platform.python_version()}, load before {loads}, {arguments.jobs} at once, "
        f"at most {arguments.states} states\n"
    )
    print(f"| {' | '.join(HEAD)} |\n| {' | '.join(['---'] + ['---:'] * (len(HEAD) - 3) + ['---'] * 2)} |")
    tests, doubts = [], 0
    with ProcessPoolExecutor(arguments.jobs) as pool:
        for done in [
            pool.submit(explore, name, arguments.states, arguments.audit, arguments.seed) for name in names
        ]:
            report = done.result()
            print(line(report, arguments.audit), flush=True)
            tests += [printed(report.world, one) for one in report.found]
            doubts += report.doubts
    print("".join(f"\n{test}" for test in tests), end="")
    return 1 if tests or doubts else 0


if __name__ == "__main__":
    sys.exit(main())
