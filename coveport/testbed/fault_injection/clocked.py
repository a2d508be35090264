"""Runs the program with clocks that are wrong: a process of a trial whose host's time can't be trusted.

    python -m coveport.testbed.fault_injection.clocked '{"wall_off_s": 5}' run --config FILE

The command line behind it is the shipped one; only what the `time` module tells is bent before it is
imported. The wall clock may be off and may jump; the clocks that run through sleep, or stop in it, may run
fast or slow, as a machine's do.
"""

from __future__ import annotations

import runpy
import sys
import time
from collections.abc import Callable

import msgspec


class Clocks(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a process's clocks are wrong."""

    wall_off_s: float = 0.0
    jump_at_s: float = 0.0  # after the start, from when on ...
    jump_s: float = 0.0  # ... the wall clock is off by so much more
    rate: float = 1.0  # of the clocks that never step, from the start on


def bend(clocks: Clocks) -> None:
    """From now on `time` tells what these clocks do."""
    wall, clock_of, monotonic = time.time, time.clock_gettime, time.monotonic
    began = monotonic()

    def faster(clock: Callable[[], float]) -> Callable[[], float]:
        start = clock()
        return lambda: start + (clock() - start) * clocks.rate

    boot = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    steady = {
        clock: faster(lambda clock=clock: clock_of(clock))  # type: ignore[misc]
        for clock in (boot, time.CLOCK_MONOTONIC)
    }

    def wall_s() -> float:
        jumped = clocks.jump_s if monotonic() - began >= clocks.jump_at_s else 0.0
        return wall() + clocks.wall_off_s + jumped

    time.time = wall_s
    time.monotonic = steady[time.CLOCK_MONOTONIC]
    time.clock_gettime = lambda clock: steady[clock]() if clock in steady else clock_of(clock)


def main() -> None:
    """See the head of this file."""
    bend(msgspec.json.decode(sys.argv[1], type=Clocks))
    sys.argv = ["coveport", *sys.argv[2:]]
    runpy.run_module("coveport", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
