"""Rolling upgrades between this program and an earlier commit of it, by real processes on loopback.

    python -m benchmarks.rolling_upgrade --old REVISION [--order NAME]... [--seeds 1-3]

Each order moves three coordinators and three proxies to this version one after the other under load, with a
change of the configuration after each step; one goes halfway and back. Prints a row an order and a seed;
ends with 1 where a rule broke, a frame was rejected, or a step failed. Takes about 45 s an order.
"""

from __future__ import annotations

import argparse
import asyncio
import io
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Final

from coveport.serving.simulation import rolling_upgrade
from coveport.serving.simulation.events import OrderEnded, Verdict
from coveport.serving.simulation.rolling_upgrade import Restart, Version

ORDERS: Final[dict[str, Sequence[Restart]]] = {
    "coordinators-first": rolling_upgrade.COORDINATORS_FIRST,
    "proxies-first": rolling_upgrade.PROXIES_FIRST,
    "halfway-and-back": rolling_upgrade.HALFWAY_AND_BACK,
    "back-again": tuple(
        Restart(step.kind, step.number, version)
        for version in (Version.NEW, Version.OLD)
        for step in rolling_upgrade.COORDINATORS_FIRST
    ),
}


def extract_source(revision: str, folder: Path) -> None:
    """Write the package `coveport` of a revision below a folder; raise CalledProcessError without it."""
    archive = subprocess.run(["git", "archive", revision, "coveport"], capture_output=True, check=True)
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as source:
        source.extractall(folder, filter="data")


def play(order: str, seed: int, old_source: Path, *, is_verbose: bool) -> bool:
    """Play one order with one seed, print its row, and return whether all held."""
    say = print if is_verbose else lambda line: None
    with tempfile.TemporaryDirectory(prefix="coveport-upgrade-") as made:
        result, processes = asyncio.run(
            rolling_upgrade.play(Path(made), old_source, ORDERS[order], seed, say)
        )
        rejected = sum(process.log_text().count("frame_rejected") for process in processes)
        failures = sum(process.log_text().count("Traceback") for process in processes)
    orders = result.event_log.of(OrderEnded)
    taken = sum(ended.verdict is Verdict.ACKNOWLEDGED for ended in orders)
    requests = sum(kind.requests for kind in result.kinds.values())
    served = sum(kind.served for kind in result.kinds.values())
    print(
        f"| {order} | {seed} | {len(ORDERS[order])} | {requests} | {served} | {taken} of {len(orders)} |"
        f" {rejected} | {failures} | {len(result.breaches)} |",
        flush=True,
    )
    for breach in result.breaches[:10]:
        print(f"    {breach}")
    return result.exit_code == 0 and not rejected and not failures and taken == len(orders)


def main() -> int:
    """Play the orders that are named, or all."""
    parser = argparse.ArgumentParser(description="Rolling upgrades from an earlier commit, on loopback")
    parser.add_argument("--old", required=True, help="the revision to upgrade from")
    parser.add_argument("--order", action="append", choices=[*ORDERS])
    parser.add_argument("--seeds", default="1-1")
    parser.add_argument("--verbose", action="store_true")
    arguments = parser.parse_args()
    first, _, last = arguments.seeds.partition("-")
    print(
        "| order | seed | steps | requests | served | orders | rejected frames | tracebacks | broken rules |"
    )
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    with tempfile.TemporaryDirectory(prefix="coveport-old-") as folder:
        extract_source(arguments.old, Path(folder))
        held = [
            play(order, seed, Path(folder), is_verbose=arguments.verbose)
            for order in arguments.order or ORDERS
            for seed in range(int(first), int(last or first) + 1)
        ]
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
