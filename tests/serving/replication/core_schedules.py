"""Seeded schedules: sites, operators and faults, each run in a world of its own and checked at its end.

Many at once: `PYTHONPATH=. python tests/serving/replication/core_schedules.py --count 10000 --jobs 8`.
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

CATCH_UP_S = 4.0  # after its return a machine still counts as lost for so long
GRACE_PART_S = 4.0  # for which a stop may wait
HEAL_S = 8.0  # within which a healed core must take a change again


@dataclass(frozen=True, slots=True)
class Site:
    """What stands where."""

    localities: tuple[Locality, ...]
    tolerated_losses: int
    region_s: float
    seeds: int = 3


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
    """How a schedule went."""

    seed: int
    violations: list[str]
    faults_injected: list[str]
    acknowledged: int
    messages: int
    longest_silence_s: float = 0.0
    calls: list[Call] = field(default_factory=list)
    situations: Counter[str] = field(default_factory=Counter)  # how often each was brought about


class Schedule:
    """One world with its faults."""

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

    # -- whom --

    def _present_machines(self) -> list[Machine]:
        return [machine for machine in self.world.machines.values() if not machine.is_removed]

    def _target(self) -> Machine:
        primary = self.world.primary()
        standing = self._present_machines()
        if primary is None or self.random.random() < 0.4:
            return self.random.choice(standing)
        view = primary.incarnation.replica.view if primary.incarnation else None
        if view is not None and self.random.random() < 0.3:
            replica = self.world.machines[self.random.choice(view.replicas).address]
            return replica if not replica.is_removed else primary
        return primary

    # -- what --

    def note(self, text: str) -> None:
        """Write a fault down."""
        self.faults_injected.append(f"{self.world.now_s:.3f} {text}")

    def kill(self, machine: Machine, for_s: float) -> None:
        """Kill, start again later."""
        power = self.random.random() < 0.5
        self.note(f"{'power' if power else 'kill'} {machine.address} for {for_s:.2f}")
        machine.kill(power)
        self.world.after(for_s, machine.start)

    def freeze(self, machine: Machine, for_s: float) -> None:
        """Stand still, wake later."""
        self.note(f"freeze {machine.address} for {for_s:.2f}")
        machine.freeze()
        self.world.after(for_s, machine.thaw)

    def wipe(self, machine: Machine, for_s: float) -> None:
        """Lose the disk, start again later at the same address."""
        self.note(f"wipe {machine.address} for {for_s:.2f}")
        machine.wipe()
        self.world.after(for_s, machine.start)

    def replace(self, machine: Machine, for_s: float) -> None:
        """Lose the machine; another with an empty disk comes at a new address."""
        self.note(f"replace {machine.address} after {for_s:.2f}")
        machine.remove()
        newcomer = self.world.add_machine(machine.locality)
        self.world.after(for_s, newcomer.start)

    def disk(self, machine: Machine, for_s: float) -> None:
        """A disk in fault."""
        how = self.random.choice(("slow", "hangs", "refuses"))
        self.note(f"disk {how} {machine.address} for {for_s:.2f}")
        disk = machine.disk
        if how == "slow":
            disk.sync_s = SYNC_S * 25
        elif how == "hangs":
            disk.hangs_until_s = self.world.now_s + for_s
        else:
            disk.rejects_writes = True

        def end() -> None:
            disk.sync_s = SYNC_S
            disk.rejects_writes = False

        self.world.after(for_s, end)

    def partition(self, machine: Machine, for_s: float) -> None:
        """Cut links in one of many shapes."""
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
        """Its connections break again and again."""
        self.note(f"reset {machine.address} for {for_s:.2f}")
        until_s = self.world.now_s + for_s

        def retry() -> None:
            self.world.break_connections(machine)
            if self.world.now_s < until_s:
                self.world.after(self.random.uniform(0.01, 0.2), retry)

        retry()

    def shut_down(self, machine: Machine, for_s: float) -> None:
        """SIGTERM, the end some time later, start again."""
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
        """SIGTERM, and the end as soon as it may, for good: nothing is waited for after it."""
        self.note(f"leave {machine.address}")
        incarnation = machine.incarnation
        if incarnation is None or machine.is_frozen:
            return
        machine.deliver(incarnation, ShutdownRequested())
        began_s = self.world.now_s
        self.world.run_for(GRACE_PART_S, until=lambda: incarnation.replica.is_safe_to_stop(self.world.now_s))
        if incarnation.replica.is_safe_to_stop(self.world.now_s):
            self.world.situations["3: a graceful shutdown ended before its grace period"] += 1
        self.note(f"left after {self.world.now_s - began_s:.2f}")
        machine.remove()

    def all_down(self, power: bool) -> None:
        """All of them at the same moment, back within a second."""
        self.note(f"all down, power {power}")
        for machine in self._present_machines():
            machine.kill(power)
            self.world.after(self.random.uniform(0.2, 1.0), machine.start)

    # -- courses --

    def sequential_faults(self) -> None:
        """Within what is tolerated: each fault over and caught up before the next."""
        kinds = (
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
            kind = self.random.choice(kinds)
            for_s = self.random.choice((0.3, 1.2, 2.5, 4.0))
            kind(self._target(), for_s)
            self.world.run_for(for_s + CATCH_UP_S + 2.0)

    def overlapping_faults(self) -> None:
        """More than is tolerated, but no disk is lost: nothing may be lost or forked, whatever the delay."""
        kinds = (self.kill, self.freeze, self.disk, self.partition, self.shut_down, self.reset)
        for _ in range(self.random.randint(3, 9)):
            if self.random.random() < 0.1:
                self.all_down(self.random.random() < 0.5)
            else:
                self.random.choice(kinds)(self._target(), self.random.choice((0.1, 0.5, 1.2, 2.5)))
            self.world.run_for(self.random.choice((0.0, 0.02, 0.1, 0.4, 1.0, 1.6)))

    def wipe_during_faults(self) -> None:
        """One disk is lost in a calm core, and the rest of the faults come at once."""
        self.wipe(self._target(), self.random.choice((0.2, 0.6, 2.0)))
        if self.random.random() < 0.5:
            self.world.run_for(self.random.choice((0.0, 0.05, 0.3, 1.0)))
        self.overlapping_faults()

    def faults_during_bootstrap(self) -> None:
        """Troubles while the core is founded; at times one disk is lost."""
        kinds = (self.kill, self.freeze, self.disk, self.partition, self.reset)
        wiped_at = self.random.randrange(12)
        for step in range(self.random.randint(1, 6)):
            self.world.run_for(self.random.choice((0.05, 0.1, 0.15, 0.3)))
            started = [machine for machine in self._present_machines() if machine.incarnations]
            if started and step == wiped_at:
                self.wipe(self.random.choice(started), self.random.choice((0.1, 0.5, 1.2)))
                self.world.situations["3: a disk was lost during the bootstrap"] += 1
                continue
            if self.random.random() < 0.15 and len(started) == len(self._present_machines()):
                self.all_down(self.random.random() < 0.5)
            elif started:
                self.random.choice(kinds)(self.random.choice(started), self.random.choice((0.1, 0.5, 1.2)))
        self.world.situations["3: faults during the bootstrap"] += 1
        self.world.run_for(2.0)
        self._heal()

    def long_partition(self) -> None:
        """One machine, by its role, is cut off for twenty seconds while changes and faults go on."""
        machine, role = self._machine_by_role()
        for_s = self.random.choice((20.0, 26.0))
        self.partition(machine, for_s)
        self.world.situations[f"1: the {role} was partitioned for 20 s or more"] += 1
        began_s = self.world.now_s
        while self.world.now_s < began_s + for_s - 6.0:
            self.world.run_for(self.random.uniform(1.0, 5.0))
            kind = self.random.choice((self.freeze, self.kill, self.disk, self.partition, self.reset, None))
            if kind is not None:
                kind(self._target(), self.random.choice((0.5, 1.2, 2.5)))
        if self.random.random() < 0.3:
            self.all_down(self.random.random() < 0.5)
        self.world.run_until(began_s + for_s + self.random.choice((0.01, 0.3, 2.0)))
        if self.random.random() < 0.5:
            peers = [peer for peer in self._present_machines() if peer is not machine]
            for peer in self.random.sample(peers, max(1, len(peers) // 2)):
                self.kill(peer, 2.0)
            self.world.situations["1: others were killed just after the partition had healed"] += 1
        self.world.run_for(CATCH_UP_S)

    def _machine_by_role(self) -> tuple[Machine, str]:
        """A machine and what it is in the newest view."""
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
        role = self.random.choice([name for name, found in addresses.items() if found])
        machine = self.world.machines[self.random.choice(addresses[role])]
        return machine, role

    def second_loss(self) -> None:
        """A replacement, planned or not, and the next loss as soon as that is to be borne."""
        machine = self._target()
        if self.random.random() < 0.5:
            newcomer = self.world.add_machine(machine.locality)
            newcomer.start()
            started_s = self.world.now_s
            self.world.run_for(self.random.choice((0.5, 1.5, 3.0)))
            self.leave(machine)
            self.world.run_until(max(self.world.now_s, started_s + CATCH_UP_S))
            how = "planned"
        else:
            self.replace(machine, 1.0)
            self.world.run_for(1.0 + CATCH_UP_S)
            how = "unplanned"
        self.world.situations[f"3: a loss right after a {how} replacement"] += 1
        self.random.choice((self.kill, self.wipe, self.replace))(self._target(), 2.0)
        self.world.run_for(2.0 + CATCH_UP_S + 1.0)

    def missed_changes(self) -> None:
        """A member misses many changes; then the others go, one with its disk, and it must catch up."""
        quick = Operator(self.world, self.calls, "quick", 0.002)
        self.operators.append(quick)
        machine, role = self._machine_by_role()
        for_s = self.random.choice((6.0, 12.0))
        self.partition(machine, for_s)
        before = len(self.calls)
        quick.begin()
        self.world.run_for(for_s - 0.5)
        quick.is_stopped = True
        missed = sum(call.verdict is Verdict.ACCEPTED for call in self.calls[before:])
        self.world.situations[f"4: the {role} missed {missed // 50 * 50} changes or more"] += 1
        peers = [peer for peer in self._present_machines() if peer is not machine and not peer.is_frozen]
        if self.random.random() < 0.5:
            self.wipe(self.random.choice(peers), 1.0)
            self.world.run_for(CATCH_UP_S)
        self.world.run_for(self.random.choice((0.6, 1.0, 3.0)))
        for peer in peers:
            self.kill(peer, self.random.choice((1.0, 3.0)))
        self.world.run_for(4.0 + CATCH_UP_S)

    def final_fault(self) -> None:
        """Right after an acknowledgement some lose their disks, as tolerated, and the rest goes down."""
        count = len([call for call in self.calls if call.verdict is Verdict.ACCEPTED])
        self.world.run_for(
            2.0,
            until=lambda: len([call for call in self.calls if call.verdict is Verdict.ACCEPTED]) > count,
        )
        losses = self.random.randint(0, self.site.tolerated_losses)
        primary = self.world.primary()
        view = primary.incarnation.replica.view if primary and primary.incarnation else None
        victims: list[Machine] = []
        if view is not None:
            replicas = [self.world.machines[member.address] for member in view.replicas]
            victims = self.random.sample(replicas, min(losses, len(replicas)))
        if self.random.random() < 0.4:
            victims = sorted(self._present_machines(), key=lambda machine: machine.disk.since_s)[:losses]
            self.world.situations["3: at the end the oldest disks are lost"] += bool(losses)
        for machine in victims:
            self.wipe(machine, self.random.uniform(0.2, 1.0))
        rest = [machine for machine in self._present_machines() if machine not in victims]
        power = self.random.random() < 0.7
        if power and victims:
            self.world.situations["3: disks are lost while all others lose power"] += 1
        self.note(f"the rest down, power {power}")
        for machine in rest:
            machine.kill(power)
            self.world.after(self.random.uniform(0.2, 1.0), machine.start)
        self.world.run_for(1.0)

    def _courses(self) -> list[Callable[[], None]]:
        often = [
            self.sequential_faults,
            self.second_loss,
            self.wipe_during_faults,
            self.overlapping_faults,
            self.overlapping_faults,
        ]
        return [*often, *often, self.long_partition, self.missed_changes]

    def run(self) -> Report:
        """The whole schedule."""
        world = self.world
        world.start_all()
        if self.random.random() < 0.15:
            self.faults_during_bootstrap()
        world.run_for(6.0, until=lambda: bool(world.primaries()))
        if not world.primaries():
            return self._report(["never founded"])
        self.operators.append(Reader(world, self.calls, "reader", 0.2))
        for operator in self.operators:
            world.after(self.random.uniform(0.0, 0.3), operator.begin)
        grown_s = 4.0 if len(self.site.localities) > self.site.seeds else 1.0
        world.run_for(grown_s)
        course = self.random.choice(self._courses())
        course()
        calm = (self.sequential_faults, self.second_loss, self.missed_changes, self.long_partition)
        if course in calm and self.random.random() < 0.5:
            self._heal()
            self.world.run_for(CATCH_UP_S + 2.0)
            self.final_fault()
        self._heal()
        return self._finish()

    def _heal(self) -> None:
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
        world = self.world
        last = Operator(world, self.calls, "last", 0.05)
        last_reads: list[Call] = []
        last_writes: list[Call] = []

        def write(call: Call) -> None:
            last.known_state = call.seen
            last.write(last_writes.append)

        # while others race on, a write may be refused: it's the answer that counts
        last.read(write)
        world.run_for(HEAL_S, until=lambda: bool(last_writes))
        if not last_writes:
            return self._report([f"no answer {HEAL_S} s after all faults ended"])
        for operator in self.operators:
            operator.is_stopped = True
        world.run_for(2.0)
        last.read(last_reads.append)
        world.run_for(3.0, until=lambda: bool(last_reads))
        if not last_reads:
            return self._report(["no last read"])
        seen = [
            ObservedState(f"{machine.address} life {incarnation.number}", at_s, state)
            for machine in world.machines.values()
            for incarnation in machine.incarnations
            for at_s, state in incarnation.committed
        ]
        return self._report(check_history(self.calls, seen, last_reads[0].seen))

    def _report(self, violations: list[str]) -> Report:
        ends = sorted(call.ended_s for call in self.calls if call.verdict is Verdict.ACCEPTED)
        silences = [later - earlier for earlier, later in itertools.pairwise(ends)]
        return Report(
            self.seed,
            violations,
            self.faults_injected,
            len(ends),
            self.world.messages,
            max(silences, default=0.0),
            situations=self.world.situations,
        )


def run_schedule(seed: int) -> Report:
    """One schedule from its seed."""
    try:
        return Schedule(seed).run()
    except Exception as error:  # noqa: BLE001 - whatever a member raises is a fault of that seed
        return Report(seed, [f"{type(error).__name__}: {error}"], [], 0, 0)


def run_many(first: int, count: int, jobs: int) -> list[Report]:
    """Many, over several processes."""
    if jobs <= 1:
        return [run_schedule(seed) for seed in range(first, first + count)]
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(run_schedule, range(first, first + count), chunksize=4))


def print_faults(reports: list[Report]) -> None:
    """Print what the faulty schedules did, ten at most."""
    for report in [report for report in reports if report.violations][:10]:
        print(f"seed {report.seed}: {report.violations[:3]}")
        for fault in report.faults_injected:
            print(f"    {fault}")


def main() -> None:
    """Run as told on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=200)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--batch", type=int, default=2000, help="schedules between two writes of the record")
    parser.add_argument("--record", type=Path, help="keep the count over runs here, and go on behind it")
    arguments = parser.parse_args()
    began_s = time.monotonic()
    record = load(arguments.record) if arguments.record else ScheduleRecord(source_digest(), arguments.first)
    until = record.next_seed + arguments.count
    while record.next_seed < until:
        first = record.next_seed
        count = min(arguments.batch, until - first)
        reports = run_many(first, count, arguments.jobs)
        print_faults(reports)
        faulty = [report.seed for report in reports if report.violations]
        situations = sum((report.situations for report in reports), Counter[str]())
        record.add(first, count, sum(report.acknowledged for report in reports), faulty, situations)
        if arguments.record:
            record.save(arguments.record)
    for name, times in record.situations.items():
        print(f"{times:8} {name}")
    print(
        f"{record.schedules} schedules, {record.acknowledged} changes acknowledged, "
        f"{len(record.faulty_seeds)} with faults; this run took {time.monotonic() - began_s:.0f} s"
    )


if __name__ == "__main__":
    main()
