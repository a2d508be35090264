"""The same days on both grounds: whether the same rules are kept, and the service is the same.

    python -m benchmarks.ground_agreement [--scenario NAME]... [--seeds N-M] [--again N] [--json FILE]

Run from the repository's root. Each day is drawn once for a seed and played on simulated and on real
ground. What is sought: the same rules kept, and a service that differs by less than `SOUGHT`. A day on real
ground that the lab itself calls void (the machine was too busy) is played again, `--again` times at most,
and counts for nothing if it stays void. A real day takes its length and a few seconds; all of the default
ones some 13 minutes.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import msgspec

from benchmarks.common import machine, spread, table
from coveport.testbed.catalog import find
from coveport.testbed.loopback import GroundError
from coveport.testbed.outcome import Outcome
from coveport.testbed.run import play_and_judge
from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_file import load

SOUGHT = 0.05
SCENARIOS = ("calm", "crash", "slow", "drain-all", "flaky")


class Pair(msgspec.Struct):
    """A day on both grounds."""

    scenario: str
    seed: int
    virtual: Outcome
    real: Outcome
    voids: int  # plays on real ground that were void

    @property
    def difference(self) -> float:
        """How much more service on real ground."""
        return self.real.service - self.virtual.service

    @property
    def agreed(self) -> bool:
        """Whether both grounds say the same; of a void day nobody knows."""
        same = rules(self.virtual) == rules(self.real)
        return same and not self.real.late and abs(self.difference) < SOUGHT


def rules(outcome: Outcome) -> list[str]:
    """The rules that were broken."""
    return sorted({one.rule for one in outcome.broken})


def play_pair(scenario: Scenario, name: str, seed: int, again: int) -> Pair:
    """Play one day on both grounds."""
    _, virtual = play_and_judge(scenario, name=name, seed=seed, ground="virtual")
    voids = 0
    while True:
        _, real = play_and_judge(scenario, name=name, seed=seed, ground="real")
        voids += real.late
        if not real.late or voids > again:
            return Pair(name, seed, virtual, real, voids)


def shown(pair: Pair) -> list[str]:
    """A row of the table."""
    virtual, real = pair.virtual, pair.real
    broken = " / ".join(", ".join(rules(one)) or "none" for one in (virtual, real))
    verdict = "void" if real.late else "yes" if pair.agreed else "NO"
    return [
        f"{pair.scenario} {pair.seed}",
        f"{virtual.service:.3f}",
        f"{real.service:.3f}",
        f"{pair.difference:+.3f}",
        f"{virtual.mark:.3f}",
        f"{real.mark:.3f}",
        f"{virtual.attempts.per_operation:.2f}",
        f"{real.attempts.per_operation:.2f}",
        broken,
        f"{pair.voids}",
        verdict,
    ]


HEAD = (
    "day",
    "service, virtual",
    "real",
    "real - virtual",
    "mark, virtual",
    "real",
    "attempts, virtual",
    "real",
    "broken rules, virtual / real",
    "void plays",
    "agreed",
)


def main() -> int:
    """Compare; 1 where a day is void or the grounds don't agree."""
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--scenario", action="append", help=f"default: {', '.join(SCENARIOS)}")
    parser.add_argument("--seeds", default="1-3", help="first and last (default 1-3)")
    parser.add_argument("--again", type=int, default=2, help="plays of a void day beyond the first")
    parser.add_argument("--json", type=Path, help="where to keep all figures")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    print(machine(), flush=True)
    pairs, unplayed = list[Pair](), list[str]()
    for name in arguments.scenario or SCENARIOS:
        scenario = load(find(name))
        for seed in range(int(first), int(last or first) + 1):
            try:
                pairs.append(play_pair(scenario, name, seed, arguments.again))
            except GroundError as problem:
                unplayed.append(f"{name} {seed} could not be played: {problem}")
            else:
                print(" ".join(shown(pairs[-1])), file=sys.stderr, flush=True)
    print(table(HEAD, [shown(pair) for pair in pairs]))
    held = [pair for pair in pairs if not pair.real.late]
    print(
        f"\nreal - virtual: {spread([pair.difference for pair in held])}; "
        f"agreed on {sum(pair.agreed for pair in pairs)} of {len(pairs) + len(unplayed)} days"
    )
    print("\n".join(unplayed))
    for pair in pairs:
        for ground, outcome in (("virtual", pair.virtual), ("real", pair.real)):
            for note in outcome.notes:
                print(f"{pair.scenario} {pair.seed}, {ground}: {note}")
            for one in outcome.broken:
                print(
                    f"{pair.scenario} {pair.seed}, {ground}: {one.rule} at {one.at_ms / 1000:.3f} s: "
                    f"{one.what}"
                )
    if arguments.json:
        arguments.json.write_bytes(msgspec.json.format(msgspec.json.encode(pairs), indent=2) + b"\n")
    return 0 if all(pair.agreed for pair in pairs) and not unplayed else 1


if __name__ == "__main__":
    sys.exit(main())
