"""How many schedules it takes a search to see each sidecar that is broken on purpose, from the calm day.

    python -m benchmarks.search [--most 200] [--seed 1] [VARIANT ...]

For each variant schedules are played one by one until one shows the rule that it breaks. Nothing tells the
search which variant it plays, and the settings that help a variant to show are not laid over the day.

Measured with seed 1 on a shared machine of 8 cores, runs until found (s):

    redeem-resent    1 (0.4)    holds-back        3 (2.6)    refuses-all     2 (1.1)
    earn-elsewhere   3 (2.0)    deaf-to-drains    4 (3.1)    changes-keys    1 (0.5)
    earn-past-window 8 (12)     floods-cold       9 (14)     sends-on        1 (0.5)
    answers-twice    1 (0.5)    fourth-attempt   12 (17)     keeps-the-gone  4 (3.5)
    answers-none     1 (0.6)    loses-cancels     1 (0.6)    dies            2 (0.7)
    mixes-bodies     1 (0.6)    second-copy       3 (2.3)    never-ends      1 (0.5)
    cuts-bodies      1 (0.6)    answers-late      1 (0.6)
"""

from __future__ import annotations

import argparse
import sys
import time

from coveport.testbed.broken import VARIANTS
from coveport.testbed.catalog import find
from coveport.testbed.scenario_file import load
from coveport.testbed.search.finds import RULE
from coveport.testbed.search.hunt import look
from coveport.testbed.search.schedules import draw_schedule

MOST = 200


def runs_until(variant: str, seed: int, most: int = MOST) -> int | None:
    """The number of schedules it took from `seed`, counted from 1; None where `most` were not enough."""
    base, rule = load(find("calm")), VARIANTS[variant].rule
    for run in range(most):
        schedule = draw_schedule(base, seed, run)
        found, _ = look(schedule, schedule.seed, variant)
        if any(one.kind == RULE and one.signature.startswith(f"rule {rule}:") for one in found):
            return run + 1
    return None


def main() -> int:
    """Print a line for each variant; 1 where one was not found."""
    call = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    call.add_argument("variants", nargs="*", metavar="VARIANT")
    call.add_argument("--most", type=int, default=MOST)
    call.add_argument("--seed", type=int, default=1)
    arguments = call.parse_args()
    missed = 0
    for name in arguments.variants or [one.name for one in VARIANTS.values() if one.rule]:
        began = time.perf_counter()
        runs = runs_until(name, arguments.seed, arguments.most)
        missed += runs is None
        print(
            f"{name:18} {VARIANTS[name].rule:12} {runs or f'not in {arguments.most}':>12} "
            f"{time.perf_counter() - began:7.1f} s",
            flush=True,
        )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
