"""Injects faults into a simulated day, logs each fault, and ends it after its duration."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial
from math import inf
from typing import Final

from coveport.serving.coordinator.coordinator import Coordinator
from coveport.serving.proxy.process import Proxy
from coveport.serving.settings.boot import PlatformSettings
from coveport.serving.simulation.deployment import coordinator_settings, proxy_settings
from coveport.serving.simulation.events import FaultBegan, FaultEnded
from coveport.serving.simulation.machines import RESTART_S, Machine
from coveport.serving.simulation.planned_steps import PlannedSteps
from coveport.serving.simulation.stand_in_programs import SimulatedNode
from coveport.serving.simulation.topology import Partition
from coveport.serving.simulation.world import SimulatedDeployment

QUOTA_PERIOD_S: Final = 0.1  # period over which the platform enforces a processor quota


class FaultInjector(PlannedSteps):
    """Schedules faults of a deployment; times are seconds after the start of the traffic."""

    def __init__(self, day: SimulatedDeployment) -> None:
        super().__init__(day)
        self._numbers = 0

    # Machines of the system.

    def kill(self, at_s: float, machine: Machine, for_s: float = 1.0) -> None:
        """Kill the process of a machine and start it again after `for_s`."""
        self._do(at_s, for_s, "kill", [machine], machine.kill, machine.start)

    def lose_power(self, at_s: float, machine: Machine, for_s: float = 3.0, *, wipe: bool = False) -> None:
        """Cut a machine's power; unsynced writes may be lost, with `wipe` the whole disk."""

        def lose() -> None:
            machine.place.silent = True
            machine.kill()
            if machine.disk is not None:
                machine.disk.lose_power(self._rng)
                if wipe:
                    machine.disk.wipe()

        def come_back() -> None:
            machine.place.silent = False
            self._day.network.release()
            machine.start()

        self._do(at_s, for_s, "power", [machine], lose, come_back)

    def freeze(self, at_s: float, machine: Machine, for_s: float = 3.0) -> None:
        """Suspend a machine for `for_s`."""
        self._do(at_s, for_s, "freeze", [machine], partial(machine.freeze, for_s), _nothing)

    def throttle(self, at_s: float, machines: Iterable[Machine], for_s: float, ran_s: float = 0.01) -> None:
        """Give machines a processor quota that is exhausted after `ran_s` of each tenth of a second.

        The event log does not record this as a fault, so all rules apply meanwhile.
        """
        throttled = list(machines)
        periods = round(for_s / QUOTA_PERIOD_S)

        def exhaust_quota() -> None:
            for machine in throttled:
                if machine.is_up:
                    machine.freeze(QUOTA_PERIOD_S - ran_s)

        for period in range(periods):
            self._day.at(at_s + period * QUOTA_PERIOD_S, exhaust_quota)

    def end_with_lost_disks(self, at_s: float, machines: Iterable[Machine], for_s: float = 1.0) -> None:
        """Wipe the disks of some machines while all coordinators and proxies lose power."""
        lost = list(machines)
        for machine in (*self._day.coordinators, *self._day.proxies):
            self.lose_power(at_s, machine, for_s, wipe=machine in lost)

    def roll(self, at_s: float, machines: Iterable[Machine], gap_s: float = 1.0) -> None:
        """Restart machines by SIGTERM one after the other, `gap_s` apart."""
        remaining = list(machines)

        def stop_next() -> None:
            if remaining:
                self._stop(
                    remaining.pop(0), lambda: self._day.world.at(self._day.world.now + gap_s, stop_next)
                )

        self._day.at(at_s, stop_next)

    def _stop(self, machine: Machine, then: Callable[[], object]) -> None:
        if not machine.is_up:
            then()
            return
        number = self._begin("term", [machine], planned=True)
        grace_s = self._day.deployment.bounds.grace_s
        world = self._day.world
        is_started = False

        def ended() -> None:
            world.at(world.now + RESTART_S, start_again)

        def start_again() -> None:
            nonlocal is_started
            if is_started:
                return
            is_started = True
            machine.start()
            self._end(number)
            then()

        machine.terminate(grace_s, ended)
        world.at(
            world.now + grace_s + 2 * RESTART_S, start_again
        )  # in case another fault killed it meanwhile

    def replace_coordinator(self, at_s: float, machine: Machine, after_s: float = 2.0) -> None:
        """Replace a machine for good by one with an empty disk at a new address."""
        numbers: list[int] = []

        def lose() -> None:
            numbers.append(self._begin("replace", [machine]))
            machine.place.silent = True
            machine.is_gone = True
            machine.kill()

        def replace() -> None:
            self._day.replace_coordinator(machine).start()
            self._end(numbers[0])

        self._day.at(at_s, lose)
        self._day.at(at_s + after_s, replace)

    def reject_disk_writes(self, at_s: float, machine: Machine, for_s: float) -> None:
        """Make a disk reject writes for `for_s`."""
        disk = machine.disk
        assert disk is not None

        def set_refuses(refuses: bool) -> None:
            disk.refuses = refuses

        self._do(at_s, for_s, "disk", [machine], partial(set_refuses, True), partial(set_refuses, False))

    def slow_disk(self, at_s: float, machine: Machine, for_s: float, sync_s: float) -> None:
        """Make each write of a disk take `sync_s`, for `for_s`."""
        disk = machine.disk
        assert disk is not None
        before = disk.sync_s

        def set_sync(to_s: float) -> None:
            disk.sync_s = to_s

        self._do(at_s, for_s, "disk", [machine], partial(set_sync, sync_s), partial(set_sync, before))

    # Partitions.

    def isolate(
        self,
        at_s: float,
        machines: Iterable[Machine],
        for_s: float,
        *,
        how: str = "both",
        from_machines: Iterable[Machine] | None = None,
    ) -> None:
        """Partition machines from `from_machines` (default: all other machines).

        `how`: both directions, in (the machines receive nothing) or out (they send nothing).
        """
        inside = {machine.spot.ip for machine in machines}
        outside = {machine.spot.ip for machine in from_machines or self._all_inner()} - inside
        into = {(outer, inner) for inner in inside for outer in outside}
        out_of = {(inner, outer) for inner in inside for outer in outside}
        pairs = into if how == "in" else out_of if how == "out" else into | out_of
        isolated = [machine for machine in self._all_inner() if machine.spot.ip in inside]
        numbers: list[int] = []

        def partition(blocked_pairs: Partition) -> None:
            numbers.append(self._begin("cut", isolated, core=True))
            self._day.network.partition(numbers[0], blocked_pairs)

        def heal() -> None:
            self._day.network.heal(numbers[0])
            self._end(numbers[0])

        self._day.at(at_s, partial(partition, frozenset(pairs)))
        self._day.at(at_s + for_s, heal)

    def isolate_region(self, at_s: float, region: str, for_s: float, *, how: str = "both") -> None:
        """Partition a region from the others."""
        inside = [machine for machine in self._all_inner() if machine.spot.zone.region == region]
        self.isolate(at_s, inside, for_s, how=how)

    def _all_inner(self) -> list[Machine]:
        day = self._day
        return [*day.coordinators, *day.proxies, *(node.machine for node in day.nodes)]

    # The platform.

    def cut_platform(
        self, at_s: float, machines: Iterable[Machine], for_s: float, *, how: str = "both"
    ) -> None:
        """Partition machines from the platform.

        `how`: both directions, in (answers are lost) or out (calls are lost).
        """
        platform_ip = self._platform_settings().address[0]
        inside = {machine.spot.ip for machine in machines}
        into = {(platform_ip, inner) for inner in inside}
        out_of = {(inner, platform_ip) for inner in inside}
        pairs = into if how == "in" else out_of if how == "out" else into | out_of
        numbers: list[int] = []

        def partition() -> None:
            numbers.append(self._begin("cut platform", []))
            self._day.network.partition(numbers[0], frozenset(pairs))

        def heal() -> None:
            self._day.network.heal(numbers[0])
            self._end(numbers[0])

        self._day.at(at_s, partition)
        self._day.at(at_s + for_s, heal)

    def trouble_platform(self, at_s: float, for_s: float, **attributes: float) -> None:
        """Set attributes of the platform for `for_s`; then restore the values of a healthy platform."""
        platform = self._day.platform
        assert platform is not None
        healthy = {"delay_s": 0.0, "is_silent": False, "is_down": False, "calls_per_s": inf}

        def set_all(values: dict[str, float]) -> None:
            for name, value in values.items():
                setattr(platform, name, value)

        ended = {name: healthy[name] for name in attributes}
        self._do(at_s, for_s, "platform", [], partial(set_all, attributes), partial(set_all, ended))

    def _platform_settings(self) -> PlatformSettings:
        settings = self._day.deployment.platform
        assert settings is not None
        return settings

    # Signals.

    def hang_up(self, at_s: float, machines: Iterable[Machine], grace_s: float) -> None:
        """Make processes reload their settings with another grace period, as on SIGHUP."""
        reloaded = list(machines)

        def apply() -> None:
            for machine in reloaded:
                if machine.is_up:
                    machine.run(partial(self._apply_grace, machine, grace_s))

        self._day.at(at_s, apply)

    def _apply_grace(self, machine: Machine, grace_s: float) -> None:
        program = machine.program
        if not isinstance(program, Coordinator | Proxy):
            return
        deployment = self._day.deployment
        changed = replace(deployment, bounds=replace(deployment.bounds, grace_s=grace_s))
        seeds = self._day.seeds
        if isinstance(program, Coordinator):
            program.apply_settings(coordinator_settings(changed, machine.spot, seeds, "data", False))
        else:
            program.apply_settings(proxy_settings(changed, machine.spot, seeds, False))

    # Nodes.

    def crash_node(self, at_s: float, node: SimulatedNode, for_s: float = 4.0) -> None:
        """Crash a node; a new incarnation warms up at its address after `for_s`."""

        def crash() -> None:
            assert node.server is not None
            node.server.end(planned=False)
            node.machine.kill()

        self._day.at(at_s, crash)
        self._day.at(at_s + for_s, node.machine.start)

    def reuse_address(self, at_s: float, node: SimulatedNode, service: str, after_s: float) -> None:
        """Crash a node; start a node of another service at its address after `after_s`."""
        self.crash_node(at_s, node, after_s)
        self._day.at(at_s, partial(setattr, node, "service", service))

    def hang_node(self, at_s: float, node: SimulatedNode, for_s: float = 4.0) -> None:
        """Make a node unresponsive for `for_s`, then crash it."""

        def hang() -> None:
            assert node.server is not None
            node.server.set_unresponsive(True)

        self._day.at(at_s, hang)
        self.crash_node(at_s + for_s, node)

    def close_node(
        self,
        at_s: float,
        node: SimulatedNode,
        back_s: float | None = None,
        short_notice_s: float | None = None,
    ) -> None:
        """Shut a node down gracefully; `back_s`: delay until a new incarnation starts."""
        drain_s = self._day.deployment.bounds.drain_ms / 1000

        def leave() -> None:
            registration = node.registration
            assert registration is not None
            node.machine.run(lambda: registration.leave(drain_s, short_notice_s))

        def come_back() -> None:
            node.machine.kill()
            node.machine.start()

        self._day.at(at_s, leave)
        if back_s is not None:
            self._day.at(at_s + back_s, come_back)

    def inject_node_fault(
        self, at_s: float, node: SimulatedNode, for_s: float, fault: str, probability: float
    ) -> None:
        """Set one field of a node's `NodeFaults` to a probability, for `for_s`."""

        def set_probability(value: float) -> None:
            if node.server is not None:
                setattr(node.server.faults, fault, value)

        self._day.at(at_s, partial(set_probability, probability))
        self._day.at(at_s + for_s, partial(set_probability, 0.0))

    def begin_warm_up(self, at_s: float, node: SimulatedNode, for_s: float) -> None:
        """Make a node warm up again without reporting it."""

        def begin() -> None:
            assert node.server is not None
            node.server.begin_warm_up(for_s)

        self._day.at(at_s, begin)

    # The event log.

    def _do(
        self, at_s: float, for_s: float, kind: str, machines: list[Machine], begin: Callable[[], object],
        end: Callable[[], object],
    ) -> None:  # fmt: skip
        numbers: list[int] = []

        def start() -> None:
            numbers.append(self._begin(kind, machines))
            begin()

        def stop() -> None:
            end()
            self._end(numbers[0])

        self._day.at(at_s, start)
        self._day.at(at_s + for_s, stop)

    def _begin(self, kind: str, machines: list[Machine], *, planned: bool = False, core: bool = False) -> int:
        self._numbers += 1
        core = core or any(machine in self._day.coordinators for machine in machines)
        names = tuple(machine.spot.name for machine in machines)
        core_names = tuple(machine.spot.name for machine in machines if machine in self._day.coordinators)
        now = self._day.world.now
        self._day.event_log.write(FaultBegan(now, self._numbers, kind, names, core, planned, core_names))
        return self._numbers

    def _end(self, number: int) -> None:
        self._day.event_log.write(FaultEnded(self._day.world.now, number))


def _nothing() -> None:
    """Do nothing, as the fault needs no call to end it."""
