"""Schedules what operators and clients do in a simulated day: changes, evacuations, bursts."""

from __future__ import annotations

import json
from dataclasses import replace
from functools import partial
from random import Random

from coveport.serving.model.configuration import Configuration, Route, Tenant
from coveport.serving.simulation.client import RequestKind
from coveport.serving.simulation.deployment import HOST
from coveport.serving.simulation.documents import Change, configuration_document
from coveport.serving.simulation.events import Verdict
from coveport.serving.simulation.operator import Operator
from coveport.serving.simulation.stand_in_programs import ClientProgram
from coveport.serving.simulation.traffic import drive
from coveport.serving.simulation.world import SimulatedDeployment


class PlannedSteps:
    """Schedules steps of a day. Times are in seconds after the traffic's start."""

    def __init__(self, day: SimulatedDeployment) -> None:
        self._day = day
        self._rng = Random(f"troubles {day.seed}")

    def evacuate(self, at_s: float, zone: str, for_s: float) -> None:
        """Evacuate a zone, and revoke the evacuation after `for_s`."""
        operator = self._day.operators[0]
        self._day.at(at_s, lambda: self._day.run_operator(operator, lambda: operator.evacuate(zone)))
        self._day.at(at_s + for_s, lambda: self._day.run_operator(operator, lambda: operator.take_back(zone)))

    def add_route(self, at_s: float, name: str) -> None:
        """Add a route; send a request on it to each proxy after 0.5 s and again after the bound."""
        operator = self._day.operators[0]
        route = self._route(name)

        async def patch() -> None:
            change = Change(self._day.editions.next(), routes=(route,))
            await operator.patch(change, operator.configuration)
            for later_s in (0.5, self._day.deployment.bounds.config_apply_ms / 1000 + 0.2):
                self._day.world.at(self._day.world.now + later_s, self.check_proxies, route.path_prefix)

        self._day.at(at_s, lambda: self._day.run_operator(operator, patch))

    def race(self, at_s: float) -> None:
        """Send a change of the same version of the configuration from each operator almost at once."""
        for index, operator in enumerate(self._day.operators):
            route = self._route(f"race-{index}-{self._rng.randrange(1000)}")

            def begin(operator: Operator = operator, route: Route = route) -> None:
                base = self._newest_configuration()
                change = Change(self._day.editions.next(), routes=(route,))

                async def patch() -> None:
                    answer = await operator.patch(change, base)
                    if answer.verdict is not Verdict.UNCLEAR:
                        apply_s = self._day.deployment.bounds.config_apply_ms / 1000 + 0.2
                        self._day.world.at(
                            self._day.world.now + apply_s, self.check_proxies, route.path_prefix
                        )

                self._day.run_operator(operator, patch)

            self._day.at(at_s + 0.01 * index, begin)

    def send_invalid(self, at_s: float) -> None:
        """Send a configuration with two routes for the same prefix, and a truncated configuration."""
        operator = self._day.operators[0]

        async def send() -> None:
            base = operator.configuration
            valid = self._day.deployment.configuration(self._day.editions.next())
            routes = (*valid.routes, self._route("twin", valid.routes[0].path_prefix))
            ambiguous = Configuration(valid.edition, routes, valid.services)
            body = json.dumps(configuration_document(ambiguous)).encode()
            await operator.put_invalid(ambiguous, body, base.edition)
            await operator.put_invalid(valid, body[: len(body) // 2], base.edition)

        self._day.at(at_s, lambda: self._day.run_operator(operator, send))

    def change_tenants(self, at_s: float, *tenants: Tenant, checked_keys: tuple[str, ...] = ()) -> None:
        """Add or replace tenants; send requests with `checked_keys` to each proxy, early and late."""
        operator = self._day.operators[0]
        path_prefix = self._day.deployment.rates[0][0].path_prefix

        async def patch() -> None:
            change = Change(self._day.editions.next(), tenants=tenants)
            await operator.patch(change, self._newest_configuration())
            for later_s in (0.5, self._day.deployment.bounds.config_apply_ms / 1000 + 0.2):
                for key in checked_keys:
                    check = partial(self.check_proxies, path_prefix, key)
                    self._day.world.at(self._day.world.now + later_s, check)

        self._day.at(at_s, lambda: self._day.run_operator(operator, patch))

    def send_shared_key(self, at_s: float) -> None:
        """Send an invalid configuration in which two tenants have the same API key."""
        operator = self._day.operators[0]

        async def send() -> None:
            base = operator.configuration
            first = (base.tenants or ())[0]
            twin = Tenant("twin", first.api_keys[:1])
            invalid = replace(base, edition=self._day.editions.next(), tenants=(*(base.tenants or ()), twin))
            await operator.put_invalid(
                invalid, json.dumps(configuration_document(invalid)).encode(), base.edition
            )

        self._day.at(at_s, lambda: self._day.run_operator(operator, send))

    def _newest_configuration(self) -> Configuration:
        """Return the newest configuration that was acknowledged to any operator."""
        acknowledged = (operator.configuration for operator in self._day.operators)
        return max(acknowledged, key=lambda configuration: configuration.edition)

    def _route(self, name: str, path_prefix: str = "") -> Route:
        return self._day.deployment.added_route(name, path_prefix or f"/{name}/")

    def check_proxies(self, path_prefix: str, api_key: str = "") -> None:
        """Send one request on a route to each running proxy, with an API key unless it is empty."""
        kind = RequestKind("probe", HOST, path_prefix, True, 5.0, 1.0, 0.4, ((1, 50),), 50, 5, 20, 0)
        ports = self._day.deployment.ports
        for index, proxy in enumerate(self._day.proxies):
            machine = self._day.clients[index % len(self._day.clients)]
            program = machine.program
            if proxy.is_up and isinstance(program, ClientProgram):
                address = (proxy.spot.ip, ports.clients)
                machine.run(partial(program.client.send_direct, kind, address, api_key))

    def burst(self, at_s: float, kind: RequestKind, rate: float, for_s: float) -> None:
        """Add `rate` requests of a kind per second, for `for_s`."""
        day = self._day

        def begin() -> None:
            until_s = day.world.now + for_s
            for machine in day.clients:
                if isinstance(machine.program, ClientProgram):
                    rng = Random(f"burst {machine.spot.name} {day.seed} {at_s}")
                    client, client_rate = machine.program.client, rate / len(day.clients)
                    machine.run(partial(drive, machine.net, client, kind, client_rate, until_s, rng))

        day.at(at_s, begin)
