"""Measures, in the simulated world, the time from a fault to the next acknowledged change.

`PYTHONPATH=. python tests/serving/replication/core_timings.py` prints the table of
docs/design/replication.md.
"""

from __future__ import annotations

import itertools
import statistics
from collections.abc import Callable
from dataclasses import dataclass

from core_history import Call, Verdict
from core_operators import Operator
from core_world import Machine, World

from coveport.serving.replication.events import ShutdownRequested
from coveport.serving.replication.identity import NO_EPOCH, Epoch, Locality

THREE_LOCALITIES = [Locality("a1", "a"), Locality("b1", "b"), Locality("c1", "c")]
SIX_LOCALITIES = [*THREE_LOCALITIES, Locality("a2", "a"), Locality("b2", "b"), Locality("c2", "c")]
TRIALS = 30
WARM_UP_S = 4.0  # from the start of the machines to the start of the operator
MAX_WAIT_S = 15.0  # for a new view and for acknowledgements after a fault


def kill(world: World, machine: Machine) -> None:
    """The process is killed, and restarts after two seconds."""
    machine.kill()
    world.after(2.0, machine.start)


def power(world: World, machine: Machine) -> None:
    """The machine loses power."""
    machine.kill(power=True)


def freeze(world: World, machine: Machine) -> None:
    """The machine is frozen for 3.1 s."""
    machine.freeze()
    world.after(3.1, machine.thaw)


def wipe(world: World, machine: Machine) -> None:
    """The machine loses its disk, and restarts after a second."""
    machine.wipe()
    world.after(1.0, machine.start)


def partition_inbound(world: World, machine: Machine) -> None:
    """The machine can send to its peers but receives nothing from them."""
    world.blocked_links |= {(peer, machine.address) for peer in world.machines}


def partition_outbound(world: World, machine: Machine) -> None:
    """The machine receives from its peers but can't send to them."""
    world.blocked_links |= {(machine.address, peer) for peer in world.machines}


def partition_fully(world: World, machine: Machine) -> None:
    """The machine can neither send to its peers nor receive from them."""
    partition_inbound(world, machine)
    partition_outbound(world, machine)


def bridge(world: World, machine: Machine) -> None:
    """The link between primary and backup is blocked; the witness reaches both."""
    assert machine.incarnation is not None
    view = machine.incarnation.replica.view
    assert view is not None
    backup = view.replicas[1].address
    world.blocked_links |= {(machine.address, backup), (backup, machine.address)}


def slow_disk(world: World, machine: Machine) -> None:
    """A sync takes 25 times the usual time."""
    machine.disk.sync_s *= 25


def hanging_disk(world: World, machine: Machine) -> None:
    """The disk hangs for 4 s."""
    machine.disk.hangs_until_s = world.now_s + 4.0


def refusing_disk(world: World, machine: Machine) -> None:
    """The disk rejects writes."""
    machine.disk.rejects_writes = True


def backup_freezes(world: World, machine: Machine) -> None:
    """The backup freezes."""
    assert machine.incarnation is not None
    view = machine.incarnation.replica.view
    assert view is not None
    world.machines[view.replicas[1].address].freeze()


def shut_down(world: World, machine: Machine) -> None:
    """The process gets SIGTERM, ends 0.7 s later, and restarts after two more seconds."""
    incarnation = machine.incarnation
    assert incarnation is not None
    machine.deliver(incarnation, ShutdownRequested())
    world.after(0.7, machine.kill)
    world.after(2.7, machine.start)


def all_killed(world: World, machine: Machine) -> None:
    """All processes are killed, and restart within a second."""
    for peer in world.machines.values():
        peer.kill()
        world.after(world.random.uniform(0.3, 1.0), peer.start)


def all_lose_power(world: World, machine: Machine) -> None:
    """All machines lose power, and restart within a second."""
    for peer in world.machines.values():
        peer.kill(power=True)
        world.after(world.random.uniform(0.3, 1.0), peer.start)


FAULTS: tuple[Callable[[World, Machine], None], ...] = (
    kill,
    power,
    freeze,
    wipe,
    partition_inbound,
    partition_outbound,
    partition_fully,
    bridge,
    slow_disk,
    hanging_disk,
    refusing_disk,
    backup_freezes,
    shut_down,
    all_killed,
    all_lose_power,
)


@dataclass(frozen=True, slots=True)
class Trial:
    """The durations of one trial."""

    new_view_s: float  # from the fault to a primary with a new view, or to the end of the wait for it
    longest_gap_s: float  # between two acknowledgements, with the pauses and time-outs of the operator


def run_trial(
    fault: Callable[[World, Machine], None] | None, region_s: float, localities: list[Locality], seed: int
) -> Trial:
    """Inject a fault while an operator reads and writes all the time.

    The operator calls another coordinator if one doesn't answer within a second.
    """
    world = World(seed, localities, 1 if len(localities) == 3 else 2, region_s)
    world.start_all()
    calls: list[Call] = []
    operator = Operator(world, calls, "o", 0.05)
    world.run_for(WARM_UP_S)
    operator.begin()
    world.run_for(1.0 + world.random.uniform(0.0, 0.5))
    fault_at_s = world.now_s
    machine = world.primary()
    assert machine is not None and machine.incarnation is not None
    epoch = epoch_of(machine)
    if fault is not None:
        fault(world, machine)
        world.run_for(MAX_WAIT_S, until=lambda: any(epoch_of(peer) > epoch for peer in world.primaries()))
    new_view_s = world.now_s - fault_at_s
    world.run_until(fault_at_s + (MAX_WAIT_S if fault is not None else 3.0))
    ends = [call.ended_s for call in calls if call.verdict is Verdict.ACCEPTED]
    later_ends = [end for end in ends if end > fault_at_s]
    times = [fault_at_s, *later_ends] if later_ends else [fault_at_s, fault_at_s + MAX_WAIT_S]
    return Trial(new_view_s, max(later - earlier for earlier, later in itertools.pairwise(times)))


def epoch_of(machine: Machine) -> Epoch:
    """Return the epoch of the view that a machine has accepted."""
    view = machine.incarnation.replica.view if machine.incarnation else None
    return view.epoch if view else NO_EPOCH


def measure(
    fault: Callable[[World, Machine], None] | None, region_s: float, localities: list[Locality]
) -> list[Trial]:
    """Run the trials of one fault."""
    return [run_trial(fault, region_s, localities, seed) for seed in range(TRIALS)]


def figures(values: list[float]) -> str:
    """Return the median and the maximum, as text."""
    return f"{statistics.median(values):.2f}, {max(values):.2f}"


def main() -> None:
    """Run all trials and print the table."""
    print("| fault of the primary | 3, 12 ms: new view | next change | 3, 35 ms | | 6, 35 ms | |")
    print("|---|---|---|---|---|---|---|")
    for fault in (None, *FAULTS):
        cells = []
        for region_s, localities in (
            (0.012, THREE_LOCALITIES),
            (0.035, THREE_LOCALITIES),
            (0.035, SIX_LOCALITIES),
        ):
            trials = measure(fault, region_s, localities)
            cells.append(figures([trial.new_view_s for trial in trials]) if fault else "")
            cells.append(figures([trial.longest_gap_s for trial in trials]))
        name = fault.__name__.replace("_", " ") if fault else "none (longest of three seconds)"
        print(f"| {name} | {' | '.join(cells)} |", flush=True)


if __name__ == "__main__":
    main()
