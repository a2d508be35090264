"""Troubles of a simulated day: each is noted in the book, done, and taken back."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Final

from coveport.system.model.configuration import Route, RouteKind, WeightedService
from coveport.system.simulation.client import RequestKind
from coveport.system.simulation.deployment import HOST
from coveport.system.simulation.documents import Change, configuration_document
from coveport.system.simulation.happenings import TroubleBegan, TroubleEnded, Verdict
from coveport.system.simulation.machines import Machine
from coveport.system.simulation.operator import Operator
from coveport.system.simulation.places import Cut
from coveport.system.simulation.world import ClientProgram, SimulatedDeployment, SimulatedNode

RESTART_S: Final = 0.5  # from a process' end to its next start


class Troubles:
    """What can be done to a deployment. Times are in seconds after the traffic's start."""

    def __init__(self, day: SimulatedDeployment) -> None:
        self._day, self._numbers = day, 0
        self._chance = Random(f"troubles {day.seed}")

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

    def slow_disk(self, at_s: float, machine: Machine, for_s: float, sync_s: float) -> None:
        """Its disk takes so long for each write."""
        disk = machine.disk
        assert disk is not None
        before = disk.sync_s

        def set_sync(to_s: float) -> None:
            disk.sync_s = to_s

        self._do(at_s, for_s, "disk", [machine], partial(set_sync, sync_s), partial(set_sync, before))

    # Cuts.

    def cut_off(self, at_s: float, machines: Iterable[Machine], for_s: float, *, how: str = "both") -> None:
        """Nothing passes between these and all others. `how`: both, in (they hear nothing) or out."""
        inside = {one.spot.ip for one in machines}
        others = {one.spot.ip for one in self._all_inner()} - inside
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

    def turn_cold(self, at_s: float, node: SimulatedNode, for_s: float) -> None:
        """It is cold again, without notice."""

        def turn() -> None:
            assert node.server is not None
            node.server.turn_cold(for_s)

        self._day.at(at_s, turn)

    # Operators.

    def evacuate(self, at_s: float, zone: str, for_s: float) -> None:
        """A zone is emptied and taken back."""
        operator = self._day.operators[0]
        self._day.at(at_s, lambda: self._day.run_operator(operator, lambda: operator.evacuate(zone)))
        self._day.at(at_s + for_s, lambda: self._day.run_operator(operator, lambda: operator.take_back(zone)))

    def add_route(self, at_s: float, name: str) -> None:
        """A route is added; a little later, and after the bound, each proxy is probed on it."""
        operator = self._day.operators[0]
        route = self._route(name)

        async def patch() -> None:
            change = Change(self._day.editions.next(), routes=(route,))
            await operator.patch(change, operator.configuration)
            for later_s in (0.5, self._day.deployment.bounds.config_apply_ms / 1000 + 0.2):
                self._day.world.at(self._day.world.now + later_s, self.probe_all, route.path_prefix)

        self._day.at(at_s, lambda: self._day.run_operator(operator, patch))

    def race(self, at_s: float) -> None:
        """Two operators change the configuration at once, on top of the same version."""
        for at, operator in enumerate(self._day.operators):
            route = self._route(f"race-{at}-{self._chance.randrange(1000)}")

            def begin(operator: Operator = operator, route: Route = route) -> None:
                base = max((one.configuration for one in self._day.operators), key=lambda one: one.edition)
                change = Change(self._day.editions.next(), routes=(route,))

                async def patch() -> None:
                    answer = await operator.patch(change, base)
                    if answer.verdict is not Verdict.UNCLEAR:
                        apply_s = self._day.deployment.bounds.config_apply_ms / 1000 + 0.2
                        self._day.world.at(self._day.world.now + apply_s, self.probe_all, route.path_prefix)

                self._day.run_operator(operator, patch)

            self._day.at(at_s + 0.01 * at, begin)

    def send_invalid(self, at_s: float) -> None:
        """A configuration with two routes at one place, and one that is cut short."""
        operator = self._day.operators[0]

        async def send() -> None:
            base = operator.configuration
            twin = self._day.deployment.configuration(self._day.editions.next())
            routes = (*twin.routes, self._route("twin", twin.routes[0].path_prefix))
            double = type(twin)(twin.edition, routes, twin.services)
            body = json.dumps(configuration_document(double)).encode()
            await operator.put_invalid(double, body, base.edition)
            await operator.put_invalid(twin, body[: len(body) // 2], base.edition)

        self._day.at(at_s, lambda: self._day.run_operator(operator, send))

    def _route(self, name: str, path_prefix: str = "") -> Route:
        to = (WeightedService(self._day.deployment.service, 1.0),)
        return Route(
            f"r-{name}", HOST, path_prefix or f"/{name}/", RouteKind.STREAMING, 5000.0, 1000.0, 2, to,
            attempts=2, pinned=True, resumable=True, pause_objective_ms=400.0,
        )  # fmt: skip

    def probe_all(self, path_prefix: str) -> None:
        """One request to each proxy that is up, on a route."""
        kind = RequestKind("probe", HOST, path_prefix, True, 5.0, 1.0, 0.4, ((1, 50),), 50, 5, 20, 0)
        ports = self._day.deployment.ports
        for at, proxy in enumerate(self._day.proxies):
            machine = self._day.clients[at % len(self._day.clients)]
            program = machine.program
            if proxy.is_up and isinstance(program, ClientProgram):
                machine.run(partial(program.client.probe, kind, (proxy.spot.ip, ports.clients)))

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
        self._day.book.write(TroubleBegan(self._day.world.now, self._numbers, kind, names, core, planned))
        return self._numbers

    def _end(self, number: int) -> None:
        self._day.book.write(TroubleEnded(self._day.world.now, number))


def _nothing() -> None:
    """The trouble ends by itself."""
