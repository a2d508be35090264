"""Troubles of a simulated day: each is noted in the book, done, and taken back."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial

from coveport.serving.simulation.events import TroubleBegan, TroubleEnded
from coveport.serving.simulation.machines import RESTART_S, Machine
from coveport.serving.simulation.planned_steps import PlannedSteps
from coveport.serving.simulation.stand_in_programs import SimulatedNode
from coveport.serving.simulation.topology import Cut
from coveport.serving.simulation.world import SimulatedDeployment


class Troubles(PlannedSteps):
    """What can be done to a deployment. Times are in seconds after the traffic's start."""

    def __init__(self, day: SimulatedDeployment) -> None:
        super().__init__(day)
        self._numbers = 0

    # Machines of the system.

    def kill(self, at_s: float, machine: Machine, for_s: float = 1.0) -> None:
        """Its process dies, and is started again."""
        self._do(at_s, for_s, "kill", [machine], machine.kill, machine.start)

    def lose_power(self, at_s: float, machine: Machine, for_s: float = 3.0, *, wipe: bool = False) -> None:
        """It vanishes without a word; what it had not synced may be gone, or all of its disk."""

        def lose() -> None:
            machine.place.silent = True
            machine.kill()
            if machine.disk is not None:
                machine.disk.lose_power(self._chance)
                if wipe:
                    machine.disk.wipe()

        def come_back() -> None:
            machine.place.silent = False
            self._day.network.release()
            machine.start()

        self._do(at_s, for_s, "power", [machine], lose, come_back)

    def freeze(self, at_s: float, machine: Machine, for_s: float = 3.0) -> None:
        """It runs nothing for a while."""
        self._do(at_s, for_s, "freeze", [machine], partial(machine.freeze, for_s), _nothing)

    def end_with_lost_disks(self, at_s: float, machines: Iterable[Machine], for_s: float = 1.0) -> None:
        """These lose their disks, and all other machines lose power at the same moment, proxies too."""
        lost = list(machines)
        for machine in (*self._day.coordinators, *self._day.proxies):
            self.lose_power(at_s, machine, for_s, wipe=machine in lost)

    def roll(self, at_s: float, machines: Iterable[Machine], gap_s: float = 1.0) -> None:
        """Stop them by SIGTERM one after the other, each started again before the next one stops."""
        rest = list(machines)

        def next_one() -> None:
            if rest:
                self._stop(rest.pop(0), lambda: self._day.world.at(self._day.world.now + gap_s, next_one))

        self._day.at(at_s, next_one)

    def _stop(self, machine: Machine, then: Callable[[], object]) -> None:
        number = self._begin("term", [machine], planned=True)

        def ended() -> None:
            self._day.world.at(self._day.world.now + RESTART_S, back)

        def back() -> None:
            machine.start()
            self._end(number)
            then()

        machine.terminate(self._day.deployment.bounds.grace_s, ended)

    def replace_coordinator(self, at_s: float, machine: Machine, after_s: float = 2.0) -> None:
        """It loses power for good; another one with an empty disk takes its place at a new address."""
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

    def refusing_disk(self, at_s: float, machine: Machine, for_s: float) -> None:
        """Its disk refuses writes for a while."""
        disk = machine.disk
        assert disk is not None

        def refuse(refuses: bool) -> None:
            disk.refuses = refuses

        self._do(at_s, for_s, "disk", [machine], partial(refuse, True), partial(refuse, False))

    def slow_disk(self, at_s: float, machine: Machine, for_s: float, sync_s: float) -> None:
        """Its disk takes so long for each write."""
        disk = machine.disk
        assert disk is not None
        before = disk.sync_s

        def set_sync(to_s: float) -> None:
            disk.sync_s = to_s

        self._do(at_s, for_s, "disk", [machine], partial(set_sync, sync_s), partial(set_sync, before))

    # Cuts.

    def cut_off(
        self,
        at_s: float,
        machines: Iterable[Machine],
        for_s: float,
        *,
        how: str = "both",
        from_machines: Iterable[Machine] | None = None,
    ) -> None:
        """Nothing passes between these and others (or all). `how`: both, in (they hear nothing) or out."""
        inside = {one.spot.ip for one in machines}
        others = {one.spot.ip for one in from_machines or self._all_inner()} - inside
        into = {(other, one) for one in inside for other in others}
        out_of = {(one, other) for one in inside for other in others}
        pairs = into if how == "in" else out_of if how == "out" else into | out_of
        touched = [one for one in self._all_inner() if one.spot.ip in inside]
        numbers: list[int] = []

        def cut(found: Cut) -> None:
            numbers.append(self._begin("cut", touched, core=True))
            self._day.network.cut(numbers[0], found)

        def join() -> None:
            self._day.network.join(numbers[0])
            self._end(numbers[0])

        self._day.at(at_s, partial(cut, frozenset(pairs)))
        self._day.at(at_s + for_s, join)

    def cut_region(self, at_s: float, region: str, for_s: float, *, how: str = "both") -> None:
        """A region is cut off from the others."""
        inside = [one for one in self._all_inner() if one.spot.zone.region == region]
        self.cut_off(at_s, inside, for_s, how=how)

    def _all_inner(self) -> list[Machine]:
        day = self._day
        return [*day.coordinators, *day.proxies, *(one.machine for one in day.nodes)]

    # Nodes.

    def crash_node(self, at_s: float, node: SimulatedNode, for_s: float = 4.0) -> None:
        """It ends without a word, and comes back cold as a new incarnation at its address."""

        def crash() -> None:
            assert node.server is not None
            node.server.end(planned=False)
            node.machine.kill()

        self._day.at(at_s, crash)
        self._day.at(at_s + for_s, node.machine.start)

    def reuse_address(self, at_s: float, node: SimulatedNode, service: str, after_s: float) -> None:
        """It crashes; later a node of another service runs at its address."""
        self.crash_node(at_s, node, after_s)
        self._day.at(at_s, partial(setattr, node, "service", service))

    def darken_node(self, at_s: float, node: SimulatedNode, for_s: float = 4.0) -> None:
        """It neither answers nor reports for a while, and ends then; nobody is told."""

        def darken() -> None:
            assert node.server is not None
            node.server.turn_dark(True)

        self._day.at(at_s, darken)
        self.crash_node(at_s + for_s, node)

    def close_node(
        self,
        at_s: float,
        node: SimulatedNode,
        back_s: float | None = None,
        short_notice_s: float | None = None,
    ) -> None:
        """It leaves by plan; `back_s`: a new incarnation starts so much later."""
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

    def spoil_node(self, at_s: float, node: SimulatedNode, for_s: float, fault: str, share: float) -> None:
        """A share of its requests goes wrong in one way; `fault`: a field of `NodeFaults`."""

        def spoil(to: float) -> None:
            if node.server is not None:
                setattr(node.server.faults, fault, to)

        self._day.at(at_s, partial(spoil, share))
        self._day.at(at_s + for_s, partial(spoil, 0.0))

    def turn_cold(self, at_s: float, node: SimulatedNode, for_s: float) -> None:
        """It is cold again, without notice."""

        def turn() -> None:
            assert node.server is not None
            node.server.turn_cold(for_s)

        self._day.at(at_s, turn)

    # The book.

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
        core = core or any(one in self._day.coordinators for one in machines)
        names = tuple(one.spot.name for one in machines)
        of_core = tuple(one.spot.name for one in machines if one in self._day.coordinators)
        now = self._day.world.now
        self._day.book.write(TroubleBegan(now, self._numbers, kind, names, core, planned, of_core))
        return self._numbers

    def _end(self, number: int) -> None:
        self._day.book.write(TroubleEnded(self._day.world.now, number))


def _nothing() -> None:
    """The trouble ends by itself."""
