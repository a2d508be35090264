"""A variant of the decisions on a simulator's wire: as `balancing.simulator_link` for the shipped ones.

    python -m benchmarks.variant_link [NAME]

NAME is one of `coveport.testbed.broken` that differs in what decides or in what it is told (random-pick, no-
retries, fourth-attempt, ...); none means the shipped decisions. Reads and writes the wire of
`coveport.balancing.simulator_codec` on standard input and output until the input ends; ends with 2 where NAME
is unknown, or differs only in the hands, of which the wire knows nothing.
"""

from __future__ import annotations

import sys

from coveport import balancing
from coveport.balancing import Balancer, simulator_link
from coveport.sidecar.effects import Effects
from coveport.sidecar.reducer.reducer import Reducer
from coveport.testbed.broken import Variant, variant_named


def link(variant: Variant) -> int:
    """Serve the wire with a variant's decisions; the exit code. ValueError where it has none of its own."""
    if variant.name and (variant.reducer is Reducer or variant.effects is not Effects):
        raise ValueError(f"{variant.name} decides as the shipped sidecar does")

    def balancer(settings: balancing.Settings, seed: int) -> Balancer:
        return variant.reducer(settings, seed)._balancer

    vars(simulator_link)["Balancer"] = balancer
    return simulator_link.main()


def main() -> int:
    """Serve the variant that the command line names."""
    try:
        return link(variant_named(sys.argv[1] if len(sys.argv) > 1 else ""))
    except ValueError as problem:
        print(problem, file=sys.stderr)
        return 2


if __name__ == "__main__":
    sys.exit(main())
