"""Measures how long fault tolerance is reduced after a loss, and how long a member takes to catch up.

`PYTHONPATH=. python tests/serving/replication/core_risk.py --count 10000 --jobs 8` prints the tables of
docs/design/control-safety.md.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import statistics
from dataclasses import dataclass

from core_world import Machine, World, change, edition_of

from coveport.serving.replication.events import Done, Outcome, Submit
from coveport.serving.replication.identity import Locality

BYTES_PER_S = 120e6  # payload of a link of 1,000 Mbit/s; a disk writes as fast
MAX_WAIT_S = 20.0  # for full fault tolerance, or for a member to catch up


@dataclass(frozen=True, slots=True)
class Core:
    """A deployment whose losses are simulated."""

    machines: int
    losses: int  # machine losses that it tolerates
    region_s: float  # one-way delay between regions


CORES = (Core(3, 1, 0.012), Core(3, 1, 0.035), Core(5, 2, 0.035), Core(6, 2, 0.012), Core(6, 2, 0.035))
STATE_SIZES = (1_000, 1_000_000, 8_000_000)  # bytes
KINDS = ("kill", "wipe", "replace")


def bootstrapped(core: Core, seed: int, size: int) -> World:
    """Return a running core whose state has `size` bytes, and which tolerates all losses."""
    localities = [
        Locality(f"{region}{index // 3}", region) for index, region in enumerate("abcabc"[: core.machines])
    ]
    world = World(seed, localities, core.losses, core.region_s, bytes_per_s=BYTES_PER_S)
    world.start_all()
    world.run_for(6.0, until=lambda: bool(world.primaries()))
    world.run_for(6.0, until=lambda: tolerates_all(world))
    world.run_for(1.0)
    assert _submit(world, change(0, 1, "v" * size)), "the large change is committed"
    world.run_for(6.0, until=lambda: tolerates_all(world))
    assert tolerates_all(world)
    return world


def _submit(world: World, command: bytes) -> bool:
    """Submit a command to the primary; return whether it was committed."""
    outcomes: list[Outcome] = []

    def submit(request: int) -> Submit:
        return Submit(request, command)

    machine = world.primary()
    assert machine is not None
    world.call(machine, submit, outcomes.append)
    world.run_for(9.0, until=lambda: bool(outcomes))
    return bool(outcomes) and isinstance(outcomes[0], Done)


def tolerates_all(world: World) -> bool:
    """Return whether the view has the replicas and spare votes for all losses that the core tolerates."""
    machine = world.primary()
    if machine is None or machine.incarnation is None:
        return False
    view = machine.incarnation.replica.view
    if view is None or machine.incarnation.replica._leader_role.primary is None:
        return False
    running = {
        peer.incarnation.replica.identity
        for peer in world.machines.values()
        if peer.incarnation is not None and not peer.is_frozen
    }
    spare_votes = len(running & set(view.members)) - (len(view.members) // 2 + 1)
    return (
        len(running & set(view.replicas)) > world.tolerated_losses and spare_votes >= world.tolerated_losses
    )


def time_at_risk(core: Core, seed: int, size: int, kind: str) -> float:
    """Return the seconds from the start of the lost machine or its replacement to full fault tolerance."""
    world = bootstrapped(core, seed, size)
    world.run_for(world.random.random())
    victim = _victim(world)
    if kind == "replace":
        victim.remove()
        restarted = world.add_machine(victim.locality)
    else:
        restarted = victim
        if kind == "wipe":
            victim.wipe()
        else:
            victim.kill(power=True)
    world.run_for(1.0)
    restarted.start()
    began_s = world.now_s
    world.run_for(MAX_WAIT_S, until=lambda: tolerates_all(world))
    return world.now_s - began_s


def _victim(world: World) -> Machine:
    machine = world.primary()
    assert machine is not None and machine.incarnation is not None
    view = machine.incarnation.replica.view
    assert view is not None
    return world.machines[world.random.choice(view.members).address]


def catch_up(core: Core, seed: int, size: int, changes: int) -> tuple[float, int]:
    """Return the seconds that an isolated member needs to catch up, and the bytes sent to it."""
    world = bootstrapped(core, seed, size)
    machine = world.primary()
    assert machine is not None and machine.incarnation is not None
    isolated = next(peer for peer in world.machines.values() if peer is not machine)
    world.blocked_links |= {(isolated.address, peer) for peer in world.machines}
    world.blocked_links |= {(peer, isolated.address) for peer in world.machines}
    world.run_for(3.0, until=lambda: bool(world.primaries()))
    world.run_for(2.0)
    _submit_changes(world, changes)
    newest_sequence = _sequence(world)
    sent = SentBytesCounter(world, isolated.address)
    world.blocked_links.clear()
    began_s = world.now_s

    def has_caught_up() -> bool:
        incarnation = isolated.incarnation
        return (
            incarnation is not None and incarnation.replica._context.committed_log.sequence >= newest_sequence
        )

    world.run_for(MAX_WAIT_S, until=has_caught_up)
    assert has_caught_up(), "the member catches up"
    return world.now_s - began_s, sent.bytes


def _submit_changes(world: World, changes: int) -> None:
    for edition in range(1, changes + 1):
        assert _submit(world, change(edition, edition + 1, "small"))
    machine = world.primary()
    assert machine is not None and machine.incarnation is not None
    assert edition_of(machine.incarnation.replica._context.committed_log.state) == changes + 1


def _sequence(world: World) -> int:
    machine = world.primary()
    assert machine is not None and machine.incarnation is not None
    return machine.incarnation.replica._context.committed_log.sequence


class SentBytesCounter:
    """Counts the bytes of states and commands that are sent to one address."""

    def __init__(self, world: World, address: str) -> None:
        from core_world import payload_bytes

        self.bytes = 0
        original = world.send

        def send(sender: Machine, incarnation: object, to_address: str, message: object) -> None:
            if to_address == address:
                self.bytes += payload_bytes(message)
            original(sender, incarnation, to_address, message)  # type: ignore[arg-type]

        world.send = send  # type: ignore[method-assign]


def _risk(case: tuple[Core, int, int, str]) -> tuple[Core, int, str, float]:
    core, seed, size, kind = case
    return core, size, kind, time_at_risk(core, seed, size, kind)


def main() -> None:
    """Print the tables for the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=450)
    parser.add_argument("--jobs", type=int, default=4)
    arguments = parser.parse_args()
    kinds = [(core, size, kind) for core in CORES for size in STATE_SIZES for kind in KINDS]
    cases = [(*kinds[seed % len(kinds)], seed) for seed in range(arguments.count)]
    times_s: dict[tuple[Core, int, str], list[float]] = {}
    with concurrent.futures.ProcessPoolExecutor(arguments.jobs) as pool:
        jobs = [(core, seed, size, kind) for core, size, kind, seed in cases]
        for core, size, kind, took_s in pool.map(_risk, jobs, chunksize=8):
            times_s.setdefault((core, size, kind), []).append(took_s)
    print("| machines, losses, way | state | kill | wipe | replace |\n| --- | --- | --- | --- | --- |")
    for core in CORES:
        for size in STATE_SIZES:
            cells = [times_s.get((core, size, kind), [0.0]) for kind in KINDS]
            columns = " | ".join(f"{statistics.median(cell):.2f}, {max(cell):.2f}" for cell in cells)
            name = f"{core.machines}, {core.losses}, {core.region_s * 1000:.0f} ms"
            print(f"| {name} | {size // 1000} KB | {columns} |")
    print("\n| missed changes | 1 KB: s, KB sent | 1 MB: s, KB sent | 8 MB: s, KB sent |")
    print("| --- | --- | --- | --- |")
    for changes in (0, 100, 1_000, 10_000):
        results = [catch_up(CORES[0], 3, size, changes) for size in STATE_SIZES]
        print(f"| {changes} | " + " | ".join(f"{took:.2f}, {sent // 1000}" for took, sent in results) + " |")


if __name__ == "__main__":
    main()
