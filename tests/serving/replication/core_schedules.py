"""Random schedules of operators' calls and faults, each in a simulated world, and checked at the end.

Run many with `PYTHONPATH=. python tests/serving/replication/core_schedules.py --count 10000 --jobs 8`.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import itertools
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from core_history import Call, ObservedState, Verdict, check_history
from core_operators import Operator, Reader
from core_schedule_record import ScheduleRecord, load, source_digest
from core_world import SYNC_S, Machine, World

from coveport.serving.replication.events import ShutdownRequested
from coveport.serving.replication.identity import Locality
from coveport.serving.replication.replica import Replica

CATCH_UP_S = 4.0  # after its restart a machine counts as lost for this long
SHUTDOWN_GRACE_S = 4.0  # after which a graceful shutdown ends in any case
RECOVERY_TIMEOUT_S = 8.0  # for a write after all faults have ended


@dataclass(frozen=True, slots=True)
class Site:
    """A deployment: the locations of its machines, and its tolerance."""

    localities: tuple[Locality, ...]  # one for each machine
    tolerated_losses: int
    region_s: float  # one-way delay between regions
    seeds: int = 3  # number of machines that bootstrap the core


def _localities(*regions: str) -> tuple[Locality, ...]:
    return tuple(Locality(f"{region}-{number}", region) for number, region in enumerate(regions))


SITES = (
    Site(_localities("a", "b", "c"), 1, 0.012),
    Site(_localities("a", "b", "c"), 1, 0.035),
    Site(_localities("a", "a", "a"), 1, 0.012),
    Site(_localities("a", "b", "c", "a", "b"), 2, 0.035),
    Site(_localities("a", "b", "c", "a", "b", "c"), 2, 0.035),
    Site(_localities("a", "b", "c", "a"), 1, 0.012),
)


@dataclass(slots=True)
class Report:
    """The result of a schedule."""

    seed: int
    violations: list[str]
    faults_injected: list[str]
    acknowledged: int  # changes
    messages: int
    longest_gap_s: float = 0.0  # between two acknowledged changes
    calls: list[Call] = field(default_factory=list)
    situations: Counter[str] = field(default_factory=Counter)  # number of occurrences


class Schedule:
    """A simulated world with its operators and faults."""

    def __init__(self, seed: int, make_replica: Callable[..., Replica] = Replica) -> None:
        self.random = random.Random(seed)
        self.seed = seed
        self.site = self.random.choice(SITES)
        self.world = World(
            seed + 1,
            list(self.site.localities),
            self.site.tolerated_losses,
            self.site.region_s,
            self.site.seeds,
            make_replica,
            loss=self.random.choice((0.0, 0.0, 0.01, 0.05)),
        )
        self.calls: list[Call] = []
        self.faults_injected: list[str] = []
        self.operators = [
            Operator(self.world, self.calls, f"o{number}", self.random.choice((0.05, 0.2, 0.6)))
            for number in range(self.random.choice((1, 2, 3)))
        ]

    # -- targets --

    def _present_machines(self) -> list[Machine]:
        return [machine for machine in self.world.machines.values() if not machine.is_removed]

    def _target(self) -> Machine:
        """Return a random machine, often the primary."""
        primary = self.world.primary()
        machines = self._present_machines()
        if primary is None or self.random.random() < 0.4:
            return self.random.choice(machines)
        view = primary.incarnation.replica.view if primary.incarnation else None
        if view is not None and self.random.random() < 0.3:
            replica = self.world.machines[self.random.choice(view.replicas).address]
            return replica if not replica.is_removed else primary
        return primary

    # -- faults --

    def note(self, text: str) -> None:
        """Record a fault for the report."""
        self.faults_injected.append(f"{self.world.now_s:.3f} {text}")

    def kill(self, machine: Machine, for_s: float) -> None:
        """Kill the process, or cut the power of its machine, and restart it."""
        power = self.random.random() < 0.5
        self.note(f"{'power' if power else 'kill'} {machine.address} for {for_s:.2f}")
        machine.kill(power)
        self.world.after(for_s, machine.start)

    def freeze(self, machine: Machine, for_s: float) -> None:
        """Freeze the process, and thaw it."""
        self.note(f"freeze {machine.address} for {for_s:.2f}")
        machine.freeze()
        self.world.after(for_s, machine.thaw)

    def wipe(self, machine: Machine, for_s: float) -> None:
        """Lose the disk, and restart at the same address."""
        self.note(f"wipe {machine.address} for {for_s:.2f}")
        machine.wipe()
        self.world.after(for_s, machine.start)

    def replace(self, machine: Machine, for_s: float) -> None:
        """Remove the machine, and start another one with an empty disk at a new address."""
        self.note(f"replace {machine.address} after {for_s:.2f}")
        machine.remove()
        newcomer = self.world.add_machine(machine.locality)
        self.world.after(for_s, newcomer.start)

    def disk(self, machine: Machine, for_s: float) -> None:
        """Make the disk slow, let it hang, or let it reject writes."""
        kind = self.random.choice(("slow", "hangs", "refuses"))
        self.note(f"disk {kind} {machine.address} for {for_s:.2f}")
        disk = machine.disk
        if kind == "slow":
            disk.sync_s = SYNC_S * 25
        elif kind == "hangs":
            disk.hangs_until_s = self.world.now_s + for_s
        else:
            disk.rejects_writes = True

        def end() -> None:
            disk.sync_s = SYNC_S
            disk.rejects_writes = False

        self.world.after(for_s, end)

    def partition(self, machine: Machine, for_s: float) -> None:
        """Block links in one of several shapes."""
        peers = [peer for peer in self._present_machines() if peer is not machine]
        shape = self.random.choice(("off", "out", "in", "bridge", "one link", "halves"))
        if shape == "halves":
            half = set(self.random.sample(peers, len(peers) // 2)) | {machine}
            pairs = [(a, b) for a in half for b in peers if b not in half]
        elif shape in ("bridge", "one link"):
            pairs = [(machine, self.random.choice(peers))]
        else:
            pairs = [(machine, peer) for peer in peers]
        links = set()
        for sender, receiver in pairs:
            if shape != "in":
                links.add((sender.address, receiver.address))
            if shape not in ("out", "one link"):
                links.add((receiver.address, sender.address))
        links -= self.world.blocked_links
        self.note(f"cut {shape} {machine.address} for {for_s:.2f}")
        self.world.blocked_links |= links
        self.world.after(for_s, lambda: self.world.blocked_links.difference_update(links))

    def reset(self, machine: Machine, for_s: float) -> None:
        """Reset the machine's connections repeatedly."""
        self.note(f"reset {machine.address} for {for_s:.2f}")
        until_s = self.world.now_s + for_s

        def reset_once() -> None:
            self.world.break_connections(machine)
            if self.world.now_s < until_s:
                self.world.after(self.random.uniform(0.01, 0.2), reset_once)

        reset_once()

    def shut_down(self, machine: Machine, for_s: float) -> None:
        """Send SIGTERM, end the process some time later, and restart it."""
        self.note(f"stop {machine.address} for {for_s:.2f}")
        incarnation = machine.incarnation
        if incarnation is None:
            return
        machine.run(incarnation, lambda: machine.deliver(incarnation, ShutdownRequested()))

        def end() -> None:
            if machine.incarnation is incarnation:
                machine.kill()
                self.world.after(for_s, machine.start)

        self.world.after(self.random.uniform(0.3, 1.0), end)

    def leave(self, machine: Machine) -> None:
        """Send SIGTERM, and remove the machine as soon as the process may end."""
        self.note(f"leave {machine.address}")
        incarnation = machine.incarnation
        if incarnation is None or machine.is_frozen:
            return
        machine.deliver(incarnation, ShutdownRequested())
        began_s = self.world.now_s
        self.world.run_for(
            SHUTDOWN_GRACE_S, until=lambda: incarnation.replica.is_safe_to_stop(self.world.now_s)
        )
        if incarnation.replica.is_safe_to_stop(self.world.now_s):
            self.world.situations["3: a graceful shutdown ended before its grace period"] += 1
        self.note(f"left after {self.world.now_s - began_s:.2f}")
        machine.remove()

    def kill_all(self, power: bool) -> None:
        """Kill all machines at the same time, and restart them within a second."""
        self.note(f"all down, power {power}")
        for machine in self._present_machines():
            machine.kill(power)
            self.world.after(self.random.uniform(0.2, 1.0), machine.start)

    # -- sequences of faults --

    def sequential_faults(self) -> None:
        """Inject faults within the tolerance: each ends, and the machine catches up, before the next."""
        faults = (
            self.kill,
            self.freeze,
            self.wipe,
            self.replace,
            self.disk,
            self.partition,
            self.shut_down,
            self.reset,
        )
        for _ in range(self.random.choice((1, 2))):
            fault = self.random.choice(faults)
            for_s = self.random.choice((0.3, 1.2, 2.5, 4.0))
            fault(self._target(), for_s)
            self.world.run_for(for_s + CATCH_UP_S + 2.0)

    def overlapping_faults(self) -> None:
        """Inject more faults than tolerated, but without loss of a disk: no change may be lost or diverge."""
        faults = (self.kill, self.freeze, self.disk, self.partition, self.shut_down, self.reset)
        for _ in range(self.random.randint(3, 9)):
            if self.random.random() < 0.1:
                self.kill_all(self.random.random() < 0.5)
            else:
                self.random.choice(faults)(self._target(), self.random.choice((0.1, 0.5, 1.2, 2.5)))
            self.world.run_for(self.random.choice((0.0, 0.02, 0.1, 0.4, 1.0, 1.6)))

    def wipe_during_faults(self) -> None:
        """Lose one disk while no other fault is active, and then inject overlapping faults."""
        self.wipe(self._target(), self.random.choice((0.2, 0.6, 2.0)))
        if self.random.random() < 0.5:
            self.world.run_for(self.random.choice((0.0, 0.05, 0.3, 1.0)))
        self.overlapping_faults()

    def faults_during_bootstrap(self) -> None:
        """Inject faults during the bootstrap; in some schedules one disk is lost."""
        faults = (self.kill, self.freeze, self.disk, self.partition, self.reset)
        wipe_step = self.random.randrange(12)
        for step in range(self.random.randint(1, 6)):
            self.world.run_for(self.random.choice((0.05, 0.1, 0.15, 0.3)))
            started = [machine for machine in self._present_machines() if machine.incarnations]
            if started and step == wipe_step:
                self.wipe(self.random.choice(started), self.random.choice((0.1, 0.5, 1.2)))
                self.world.situations["3: a disk was lost during the bootstrap"] += 1
                continue
            if self.random.random() < 0.15 and len(started) == len(self._present_machines()):
                self.kill_all(self.random.random() < 0.5)
            elif started:
                self.random.choice(faults)(self.random.choice(started), self.random.choice((0.1, 0.5, 1.2)))
        self.world.situations["3: faults during the bootstrap"] += 1
        self.world.run_for(2.0)
        self._heal()

    def long_partition(self) -> None:
        """Partition a machine, chosen by its role, for 20 s or more, during changes and other faults."""
        machine, role = self._machine_by_role()
        for_s = self.random.choice((20.0, 26.0))
        self.partition(machine, for_s)
        self.world.situations[f"1: the {role} was partitioned for 20 s or more"] += 1
        began_s = self.world.now_s
        while self.world.now_s < began_s + for_s - 6.0:
            self.world.run_for(self.random.uniform(1.0, 5.0))
            fault = self.random.choice((self.freeze, self.kill, self.disk, self.partition, self.reset, None))
            if fault is not None:
                fault(self._target(), self.random.choice((0.5, 1.2, 2.5)))
        if self.random.random() < 0.3:
            self.kill_all(self.random.random() < 0.5)
        self.world.run_until(began_s + for_s + self.random.choice((0.01, 0.3, 2.0)))
        if self.random.random() < 0.5:
            peers = [peer for peer in self._present_machines() if peer is not machine]
            for peer in self.random.sample(peers, max(1, len(peers) // 2)):
                self.kill(peer, 2.0)
            self.world.situations["1: others were killed just after the partition had healed"] += 1
        self.world.run_for(CATCH_UP_S)

    def _machine_by_role(self) -> tuple[Machine, str]:
        """Return a random machine, and its role in the newest view."""
        primary = self.world.primary()
        view = primary.incarnation.replica.view if primary and primary.incarnation else None
        if view is None:
            return self.random.choice(self._present_machines()), "machine of no known role"
        addresses = {
            "primary": [view.primary.address],
            "backup": [member.address for member in view.replicas[1:]],
            "witness": [member.address for member in view.members if member not in view.replicas],
        }
        members = {member.address for member in view.members}
        addresses["learner"] = [
            machine.address for machine in self._present_machines() if machine.address not in members
        ]
        role = self.random.choice([name for name, candidates in addresses.items() if candidates])
        machine = self.world.machines[self.random.choice(addresses[role])]
        return machine, role

    def second_loss(self) -> None:
        """Replace a machine, planned or not, and lose another as soon as the core must tolerate it."""
        machine = self._target()
        if self.random.random() < 0.5:
            newcomer = self.world.add_machine(machine.locality)
            newcomer.start()
            started_s = self.world.now_s
            self.world.run_for(self.random.choice((0.5, 1.5, 3.0)))
            self.leave(machine)
            self.world.run_until(max(self.world.now_s, started_s + CATCH_UP_S))
            kind = "planned"
        else:
            self.replace(machine, 1.0)
            self.world.run_for(1.0 + CATCH_UP_S)
            kind = "unplanned"
        self.world.situations[f"3: a loss right after a {kind} replacement"] += 1
        self.random.choice((self.kill, self.wipe, self.replace))(self._target(), 2.0)
        self.world.run_for(2.0 + CATCH_UP_S + 1.0)

    def missed_changes(self) -> None:
        """Let a member miss many changes, and kill its peers after a short time to catch up.

        In half of the schedules one of the peers loses its disk before that.
        """
        fast_operator = Operator(self.world, self.calls, "quick", 0.002)
        self.operators.append(fast_operator)
        machine, role = self._machine_by_role()
        for_s = self.random.choice((6.0, 12.0))
        self.partition(machine, for_s)
        calls_before = len(self.calls)
        fast_operator.begin()
        self.world.run_for(for_s - 0.5)
        fast_operator.is_stopped = True
        missed_count = sum(call.verdict is Verdict.ACCEPTED for call in self.calls[calls_before:])
        self.world.situations[f"4: the {role} missed {missed_count // 50 * 50} changes or more"] += 1
        peers = [peer for peer in self._present_machines() if peer is not machine and not peer.is_frozen]
        if self.random.random() < 0.5:
            self.wipe(self.random.choice(peers), 1.0)
            self.world.run_for(CATCH_UP_S)
        self.world.run_for(self.random.choice((0.6, 1.0, 3.0)))
        for peer in peers:
            self.kill(peer, self.random.choice((1.0, 3.0)))
        self.world.run_for(4.0 + CATCH_UP_S)

    def final_fault(self) -> None:
        """Right after an acknowledgement, lose as many disks as tolerated, and kill all other machines."""
        acknowledged_count = len([call for call in self.calls if call.verdict is Verdict.ACCEPTED])
        self.world.run_for(
            2.0,
            until=lambda: (
                len([call for call in self.calls if call.verdict is Verdict.ACCEPTED]) > acknowledged_count
            ),
        )
        losses = self.random.randint(0, self.site.tolerated_losses)
        primary = self.world.primary()
        view = primary.incarnation.replica.view if primary and primary.incarnation else None
        victims: list[Machine] = []
        if view is not None:
            replicas = [self.world.machines[member.address] for member in view.replicas]
            victims = self.random.sample(replicas, min(losses, len(replicas)))
        if self.random.random() < 0.4:
            victims = sorted(self._present_machines(), key=lambda machine: machine.disk.created_at_s)[:losses]
            self.world.situations["3: at the end the oldest disks are lost"] += bool(losses)
        for machine in victims:
            self.wipe(machine, self.random.uniform(0.2, 1.0))
        other_machines = [machine for machine in self._present_machines() if machine not in victims]
        power = self.random.random() < 0.7
        if power and victims:
            self.world.situations["3: disks are lost while all others lose power"] += 1
        self.note(f"the rest down, power {power}")
        for machine in other_machines:
            machine.kill(power)
            self.world.after(self.random.uniform(0.2, 1.0), machine.start)
        self.world.run_for(1.0)

    def _fault_sequences(self) -> list[Callable[[], None]]:
        """Return the sequences to choose from, each as often as its weight."""
        frequent = [
            self.sequential_faults,
            self.second_loss,
            self.wipe_during_faults,
            self.overlapping_faults,
            self.overlapping_faults,
        ]
        return [*frequent, *frequent, self.long_partition, self.missed_changes]

    def run(self) -> Report:
        """Run the schedule, and check its history."""
        world = self.world
        world.start_all()
        if self.random.random() < 0.15:
            self.faults_during_bootstrap()
        world.run_for(6.0, until=lambda: bool(world.primaries()))
        if not world.primaries():
            return self._report(["no primary within 6 s of the start"])
        self.operators.append(Reader(world, self.calls, "reader", 0.2))
        for operator in self.operators:
            world.after(self.random.uniform(0.0, 0.3), operator.begin)
        growth_s = 4.0 if len(self.site.localities) > self.site.seeds else 1.0
        world.run_for(growth_s)
        inject_faults = self.random.choice(self._fault_sequences())
        inject_faults()
        within_tolerance = (
            self.sequential_faults,
            self.second_loss,
            self.missed_changes,
            self.long_partition,
        )
        if inject_faults in within_tolerance and self.random.random() < 0.5:
            self._heal()
            self.world.run_for(CATCH_UP_S + 2.0)
            self.final_fault()
        self._heal()
        return self._finish()

    def _heal(self) -> None:
        """End all faults, and start the machines that are down."""
        world = self.world
        world.blocked_links.clear()
        world.loss = 0.0
        for machine in self._present_machines():
            machine.thaw()
            machine.disk.rejects_writes = False
            machine.disk.sync_s = SYNC_S
            machine.disk.hangs_until_s = 0.0
            if machine.incarnation is None:
                world.after(self.random.uniform(0.1, 0.5), machine.start)

    def _finish(self) -> Report:
        """Wait for an answer to a write, stop the operators, read the final state, and check the history."""
        world = self.world
        last = Operator(world, self.calls, "last", 0.05)
        last_reads: list[Call] = []
        last_writes: list[Call] = []

        def write(call: Call) -> None:
            last.known_state = call.seen
            last.write(last_writes.append)

        # any answer will do: the write may conflict with those of the other operators
        last.read(write)
        world.run_for(RECOVERY_TIMEOUT_S, until=lambda: bool(last_writes))
        if not last_writes:
            return self._report(
                [f"no answer to a write within {RECOVERY_TIMEOUT_S} s of the end of all faults"]
            )
        for operator in self.operators:
            operator.is_stopped = True
        world.run_for(2.0)
        last.read(last_reads.append)
        world.run_for(3.0, until=lambda: bool(last_reads))
        if not last_reads:
            return self._report(["no answer to the final read within 3 s"])
        observed_states = [
            ObservedState(f"{machine.address} incarnation {incarnation.number}", at_s, state)
            for machine in world.machines.values()
            for incarnation in machine.incarnations
            for at_s, state in incarnation.committed
        ]
        return self._report(check_history(self.calls, observed_states, last_reads[0].seen))

    def _report(self, violations: list[str]) -> Report:
        ends = sorted(call.ended_s for call in self.calls if call.verdict is Verdict.ACCEPTED)
        gaps = [later - earlier for earlier, later in itertools.pairwise(ends)]
        return Report(
            self.seed,
            violations,
            self.faults_injected,
            len(ends),
            self.world.messages,
            max(gaps, default=0.0),
            situations=self.world.situations,
        )


def run_schedule(seed: int) -> Report:
    """Run the schedule of a seed."""
    try:
        return Schedule(seed).run()
    except Exception as error:  # noqa: BLE001 - any exception of a member is a violation
        return Report(seed, [f"{type(error).__name__}: {error}"], [], 0, 0)


def run_many(first: int, count: int, jobs: int) -> list[Report]:
    """Run the schedules of `count` seeds from `first` on, in `jobs` processes."""
    if jobs <= 1:
        return [run_schedule(seed) for seed in range(first, first + count)]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(run_schedule, range(first, first + count), chunksize=4))


def print_faults(reports: list[Report]) -> None:
    """Print the violations and faults of the first ten schedules with violations."""
    for report in [report for report in reports if report.violations][:10]:
        print(f"seed {report.seed}: {report.violations[:3]}")
        for fault in report.faults_injected:
            print(f"    {fault}")


def main() -> None:
    """Run the schedules that the command line names, and print their totals."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=200)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--batch", type=int, default=2000, help="schedules between two writes of the record")
    parser.add_argument(
        "--record", type=Path, help="file with the totals of earlier runs; continue after their seeds"
    )
    arguments = parser.parse_args()
    began_s = time.monotonic()
    record = load(arguments.record) if arguments.record else ScheduleRecord(source_digest(), arguments.first)
    until = record.next_seed + arguments.count
    while record.next_seed < until:
        first = record.next_seed
        count = min(arguments.batch, until - first)
        reports = run_many(first, count, arguments.jobs)
        print_faults(reports)
        faulty_seeds = [report.seed for report in reports if report.violations]
        situations = sum((report.situations for report in reports), Counter[str]())
        record.add(first, count, sum(report.acknowledged for report in reports), faulty_seeds, situations)
        if arguments.record:
            record.save(arguments.record)
    for name, occurrences in record.situations.items():
        print(f"{occurrences:8} {name}")
    print(
        f"{record.schedules} schedules, {record.acknowledged} changes acknowledged, "
        f"{len(record.faulty_seeds)} with violations; this run took {time.monotonic() - began_s:.0f} s"
    )


if __name__ == "__main__":
    main()
