"""What changes of the configuration cost the requests beside them: real processes on loopback.

    python -m benchmarks.changes_beside_traffic [--routes 350] [--rate 3] [--seconds 30]

Three coordinators, three proxies, five nodes. The first half of the traffic is calm, in the second half an
operator adds a route `--rate` times a second on top of `--routes` others. Prints the time to the first event
by half (median, 95th, 99th of 100), and the processor time of one change in a proxy: the median and worst of
those that the update's application takes in this process. Ends with 1 where that is not under 5 ms.
"""

from __future__ import annotations

import argparse
import asyncio
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from statistics import median, quantiles
from typing import Final

from coveport.net.transport import Net
from coveport.serving.configuration.commands import PatchConfiguration, PutConfiguration
from coveport.serving.configuration.state import initial_state
from coveport.serving.configuration.state_machine import apply_command
from coveport.serving.replication.state_machine import Applied
from coveport.serving.scale.load import change_of_edition, first_configuration
from coveport.serving.scale.sizes import ScaleSize
from coveport.serving.simulation.documents import Change
from coveport.serving.simulation.events import AttemptEnded, AttemptStarted, Verdict
from coveport.serving.simulation.local_day import LocalDay, LocalDayResult

MAX_CHANGE_MS: Final = 5.0
PROCESSOR_CHANGES: Final = 200


class ChangingDay(LocalDay):
    """A day whose second half has changes all the time."""

    def __init__(self, net: Net, folder: Path, seconds: float, routes: int, rate: float) -> None:
        super().__init__(net, folder, seconds, 1, print)
        self._route_count = routes
        self._rate = rate
        self.changes: list[float] = []  # how long each took to be acknowledged, seconds
        self.changes_from_s = 0.0

    async def _put_first(self) -> None:
        extra = tuple(
            self._deployment.added_route(f"filler-{number}", f"/filler-{number}/")
            for number in range(self._route_count)
        )
        first = self._deployment.configuration(self._editions.next(), extra)
        while (await self._operator.put(first, 0)).verdict is not Verdict.ACKNOWLEDGED:
            await asyncio.sleep(0.2)

    def _plan(self) -> list[tuple[float, Callable[[], Awaitable[None]]]]:
        return [(0.5, self._change_all_the_time)]

    async def _change_all_the_time(self) -> None:
        began_s = self._net.now_s()
        self.changes_from_s = began_s
        count = int(self._rate * self._seconds / 2)
        for number in range(count):
            await asyncio.sleep(max(0.0, began_s + number / self._rate - self._net.now_s()))
            edition = self._editions.next()
            route = self._deployment.added_route(f"added-{edition}", f"/added-{edition}/")
            sent_s = self._net.now_s()
            await self._operator.patch(Change(edition, routes=(route,)), self._operator.configuration)
            self.changes.append(self._net.now_s() - sent_s)


def first_event_ms(result: LocalDayResult, from_s: float, until_s: float) -> list[float]:
    """Return the milliseconds to the first event of the attempts that began in a window."""
    ended = {entry.attempt_id: entry for entry in result.event_log.of(AttemptEnded)}
    found = []
    for started in result.event_log.of(AttemptStarted):
        entry = ended.get(started.attempt_id)
        if from_s <= started.at_s < until_s and entry is not None and entry.first_event_s:
            found.append(1000 * (entry.first_event_s - started.at_s))
    return found


def change_ms(routes: int) -> tuple[float, float]:
    """Return the median and worst processor time of applying a change, in milliseconds."""
    size = ScaleSize(routes=routes)
    applied = apply_command(initial_state(), PutConfiguration(0, first_configuration(size)))
    taken = []
    for number in range(1, PROCESSOR_CHANGES + 1):
        assert isinstance(applied, Applied)
        command = PatchConfiguration(number, change_of_edition(number + 1, size))
        began_s = time.process_time()
        applied = apply_command(applied.state, command)
        taken.append(1000 * (time.process_time() - began_s))
    return median(taken), max(taken)


def main() -> int:
    """Play the day, and print both halves."""
    parser = argparse.ArgumentParser(description="Changes of the configuration beside traffic, on loopback")
    parser.add_argument("--routes", type=int, default=350)
    parser.add_argument("--rate", type=float, default=3.0)
    parser.add_argument("--seconds", type=float, default=30.0)
    arguments = parser.parse_args()

    async def play(folder: Path) -> tuple[ChangingDay, LocalDayResult]:
        net = Net(asyncio.get_running_loop())
        day = ChangingDay(net, folder, arguments.seconds, arguments.routes, arguments.rate)
        return day, await day.play()

    with tempfile.TemporaryDirectory(prefix="coveport-changes-") as made:
        day, result = asyncio.run(play(Path(made)))
    half_s = arguments.seconds / 2
    print("| half | requests | first event, ms: median, 95th, 99th |\n| --- | --- | --- |")
    for name, from_s in (("calm", day.changes_from_s - half_s), ("changes", day.changes_from_s)):
        values = first_event_ms(result, from_s, from_s + half_s)
        cuts = quantiles(values, n=100, method="inclusive")
        print(f"| {name} | {len(values)} | {cuts[49]:.0f}, {cuts[94]:.0f}, {cuts[98]:.0f} |")
    print(f"{len(day.changes)} changes, acknowledged after {1000 * median(day.changes):.0f} ms (median)")
    print(f"rules broken: {len(result.breaches)}")
    middle, worst = change_ms(arguments.routes)
    print(f"one change at {arguments.routes} routes: {middle:.2f} ms of processor time, worst {worst:.2f}")
    return 0 if middle < MAX_CHANGE_MS and not result.breaches else 1


if __name__ == "__main__":
    sys.exit(main())
