"""What the control plane's single steps cost, in processor time, by the number of routes and nodes.

    python -m benchmarks.control_costs

Each size is measured in a process of its own, so that its memory is its own. Counts processor time, not
time that passes: a busy machine makes the figures worse by its caches alone.
"""

from __future__ import annotations

import resource
import subprocess
import sys
import time
from collections.abc import Callable
from statistics import median

from coveport.serving.configuration.commands import PatchConfiguration, PutConfiguration
from coveport.serving.configuration.state import ControlState, initial_state
from coveport.serving.configuration.state_codec import decode_state, encode_state
from coveport.serving.configuration.state_machine import apply_command
from coveport.serving.membership.leases import ProxyLease
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.model.node import Node, NodeState
from coveport.serving.replication.state_machine import Applied
from coveport.serving.scale.load import change_of_edition, first_configuration
from coveport.serving.scale.sizes import Addresses, ScaleSize
from coveport.serving.wire.messages import CODEC, LeasesRenewed, NodeReports, Update

ROUTES = (1000, 10_000, 30_000)
NODES = (100, 600, 1200)
TIMES = 5


def ms(work: Callable[[], object], times: int = TIMES) -> tuple[float, float]:
    """Median and largest of several times, milliseconds of processor time."""
    taken = []
    for _ in range(times):
        began_s = time.process_time()
        work()
        taken.append((time.process_time() - began_s) * 1000)
    return median(taken), max(taken)


def line(name: str, size: int, figures: tuple[float, float], note: str = "") -> None:
    """One row of the table."""
    print(f"| {name} | {size} | {figures[0]:.2f} | {figures[1]:.2f} | {note} |", flush=True)


def measure_routes(routes: int) -> None:
    """A configuration's whole reading, a change, and the state's bytes."""
    size = ScaleSize(routes=routes)
    before_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000
    body = first_configuration(size)
    state = initial_state()

    def apply(command: PutConfiguration | PatchConfiguration) -> None:
        nonlocal state
        applied = apply_command(state, command)
        assert isinstance(applied, Applied)
        kept: ControlState = applied.state
        state = kept

    line(
        "read a whole configuration",
        routes,
        ms(lambda: apply(PutConfiguration(0, body)), 1),
        f"{len(body)} bytes",
    )
    changes = iter([PatchConfiguration(n, change_of_edition(n + 1, size)) for n in range(1, TIMES + 1)])
    line("change of one route", routes, ms(lambda: apply(next(changes))))
    line("encode the state", routes, ms(lambda: encode_state(state)))
    encoded = encode_state(state)
    line("decode the state", routes, ms(lambda: decode_state(encoded)))
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000
    print(
        f"| memory at most, over {before_mb:.0f} MB before | {routes} | {peak_mb - before_mb:.0f} MB | | |",
        flush=True,
    )


def measure_nodes(count: int) -> None:
    """Messages about nodes and leases."""
    addresses = Addresses(9)
    nodes = tuple(
        Node(f"i-{n:012x}", 55, f"model-{n % 16:02d}", f"{addresses.node(n)}:8080", "north-a", "north", 64,
             NodeState.ACCEPTING)
        for n in range(count)
    )  # fmt: skip
    table = NodeTable(5.0)
    for node in nodes:
        table.apply_report(node, 0.0)
    whole = Update(1, True, True, "t" * 16, 5, True, nodes, (), 1, None, (), (), 340)
    line("whole table, bytes for the first proxy", count, ms(lambda: CODEC.encode(whole), 1))
    line("whole table, bytes for another", count, ms(lambda: CODEC.encode(whole)))
    encoded = CODEC.encode(whole)
    line("whole table, read by a proxy", count, ms(lambda: CODEC.decode(encoded)), f"{len(encoded)} bytes")
    line("differences when there are none", count, ms(lambda: table.changes_since(table.revision, 1.0)))
    reports = CODEC.encode(NodeReports(0, nodes[:50]))
    line("50 reports, read by a coordinator", 50, ms(lambda: CODEC.decode(reports)))
    leases = LeasesRenewed(
        tuple(
            ProxyLease(f"p-{n}", f"{addresses.proxy(n)}:8263", "north-a", "north", True, 99, 1)
            for n in range(113)
        )
    )
    encoded_leases = CODEC.encode(leases)
    line("113 leases, read by a coordinator", 113, ms(lambda: CODEC.decode(encoded_leases)))


def main() -> int:
    """Print the table; one process a size."""
    if len(sys.argv) == 3:
        measure = measure_routes if sys.argv[1] == "routes" else measure_nodes
        measure(int(sys.argv[2]))
        return 0
    print("| step | size | median ms | worst ms | |\n|---|---|---|---|---|", flush=True)
    for kind, sizes in (("routes", ROUTES), ("nodes", NODES)):
        for size in sizes:
            subprocess.run([sys.executable, "-m", "benchmarks.control_costs", kind, str(size)], check=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
