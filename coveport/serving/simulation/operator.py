"""A stand-in of the operator: configurations, changes, races, zone evacuations, and reading back."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from random import Random
from typing import Final

from coveport.http1 import write_request
from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.serving.model.configuration import Configuration
from coveport.serving.simulation.documents import (
    Change,
    change_document,
    changed,
    configuration_document,
    document_digest,
    route_places,
)
from coveport.serving.simulation.events import Book, Order, OrderEnded, OrderSent, RoutePlace, Verdict
from coveport.serving.simulation.exchange import WholeAnswer
from coveport.serving.simulation.registration import CoordinatorList, call_following
from coveport.serving.wire.names import Config, Header, Path

SILENCE_S: Final = 1.0
SILENCE_A_BYTE_S: Final = 1e-6  # more for large bodies
FIRST_PAUSE_S: Final = 0.1
LONGEST_PAUSE_S: Final = 1.0
GIVES_UP_S: Final = 5.0  # orders that are no configurations are sent again for so long
CONFIGURATION_GIVES_UP_S: Final = 20.0
ENDS_AT_ONCE: Final = frozenset({400, 409, 412, 413, 422})
RETRIED: Final = frozenset({408, 429})
OTHER_REFUSALS_MOST: Final = 3


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """How an order ended."""

    verdict: Verdict
    status: int = 0
    body: bytes = b""


class OrderNumbers:
    """Numbers the orders of all operators of a day."""

    def __init__(self) -> None:
        self._last = 0

    def next(self) -> int:
        """A new number."""
        self._last += 1
        return self._last


class Operator:
    """One operator."""

    def __init__(
        self, net: Net, coordinators: CoordinatorList, book: Book, chance: Random, numbers: OrderNumbers
    ) -> None:
        self._net = net
        self._coordinators = coordinators
        self._book = book
        self._chance = chance
        self._numbers = numbers
        self.configuration = Configuration(0)  # the newest that was acknowledged to this operator

    async def put(
        self, configuration: Configuration, based_on: int, gives_up_s: float = CONFIGURATION_GIVES_UP_S
    ) -> OrderAnswer:
        """Replace the configuration."""
        body = json.dumps(configuration_document(configuration)).encode()
        answer = await self._configure(Order.PUT, "PUT", body, configuration, based_on, True, gives_up_s)
        return self._keep(answer, configuration)

    async def patch(
        self, change: Change, on: Configuration, gives_up_s: float = CONFIGURATION_GIVES_UP_S
    ) -> OrderAnswer:
        """Alter the configuration that this builds on."""
        body = json.dumps(change_document(change)).encode()
        made = changed(on, change)
        answer = await self._configure(Order.PATCH, "PATCH", body, made, on.edition, True, gives_up_s)
        return self._keep(answer, made)

    async def put_invalid(self, configuration: Configuration, body: bytes, based_on: int) -> OrderAnswer:
        """Send what can't be taken; `configuration`: what it would make if it were."""
        return await self._configure(Order.PUT, "PUT", body, configuration, based_on, False, GIVES_UP_S)

    async def evacuate(self, zone: str) -> OrderAnswer:
        """Ask that nothing more is sent to a zone's nodes."""
        return await self._zone_order(Order.EVACUATE, "POST", zone)

    async def take_back(self, zone: str) -> OrderAnswer:
        """Withdraw that."""
        return await self._zone_order(Order.TAKE_BACK, "DELETE", zone)

    async def read(self, for_s: float) -> OrderAnswer:
        """Read the configuration back, trying for so long."""
        number = self._begin(Order.READ)
        answer = await self._send("GET", Path.CONFIG, b"", [], for_s)
        edition, found = read_edition(answer.body) if answer.verdict is Verdict.ACKNOWLEDGED else (0, "")
        self._end(number, answer, edition, found)
        return answer

    # Orders.

    def _keep(self, answer: OrderAnswer, configuration: Configuration) -> OrderAnswer:
        if answer.verdict is Verdict.ACKNOWLEDGED:
            self.configuration = configuration
        return answer

    async def _configure(
        self, order: Order, method: str, body: bytes, made: Configuration, based_on: int, valid: bool,
        gives_up_s: float,
    ) -> OrderAnswer:  # fmt: skip
        number = self._begin(
            order, made.edition, based_on, valid, route_places(made.routes),
            document_digest(configuration_document(made)),
        )  # fmt: skip
        answer = await self._send(method, Path.CONFIG, body, [(Header.IF_MATCH, str(based_on))], gives_up_s)
        self._end(number, answer, made.edition)
        return answer

    async def _zone_order(self, order: Order, method: str, zone: str) -> OrderAnswer:
        number = self._begin(order, zone=zone)
        answer = await self._send(method, Path.EVACUATION + zone, b"", [], GIVES_UP_S)
        self._end(number, answer)
        return answer

    def _begin(
        self, order: Order, edition: int = 0, based_on: int = 0, valid: bool = True,
        routes: tuple[RoutePlace, ...] = (), found: str = "", zone: str = "",
    ) -> int:  # fmt: skip
        number = self._numbers.next()
        now = self._net.now_s()
        self._book.write(OrderSent(now, number, order, edition, based_on, valid, routes, found, zone))
        return number

    def _end(self, number: int, answer: OrderAnswer, edition: int = 0, found: str = "") -> None:
        now = self._net.now_s()
        self._book.write(OrderEnded(now, number, answer.verdict, answer.status, edition, found))

    async def _send(
        self, method: str, path: str, body: bytes, headers: list[tuple[str, str]], gives_up_s: float
    ) -> OrderAnswer:
        """Send it, unchanged, until there is a clear answer or time is up."""
        until = self._net.now_s() + gives_up_s
        pause_s, others, unclear = FIRST_PAUSE_S, 0, False
        status = 0
        while True:
            known = self._coordinators()
            answer = None
            if known:
                answer = await self._call(self._chance.choice(known), method, path, body, headers)
            if answer is not None:
                status = answer.status
                if 200 <= status < 300:
                    return OrderAnswer(Verdict.ACKNOWLEDGED, status, answer.body)
                if status in ENDS_AT_ONCE:
                    # A refusal of what may have been taken earlier says nothing of that.
                    verdict = Verdict.UNCLEAR if unclear and status != 412 else Verdict.REFUSED
                    return OrderAnswer(verdict, status, answer.body)
                if 400 <= status < 500 and status not in RETRIED:
                    others += 1
                    if others >= OTHER_REFUSALS_MOST:
                        return OrderAnswer(Verdict.REFUSED, status, answer.body)
            unclear = unclear or answer is None or answer.status >= 500
            if self._net.now_s() + pause_s > until:
                return OrderAnswer(Verdict.UNCLEAR, status)
            await asyncio.sleep(pause_s * self._chance.uniform(0.7, 1.3))
            pause_s = min(LONGEST_PAUSE_S, pause_s * 2)

    async def _call(
        self, address: Address, method: str, path: str, body: bytes, headers: list[tuple[str, str]]
    ) -> WholeAnswer | None:
        host = "{}:{}".format(*address)
        typed = [("Content-Type", "application/json")] if body else []
        request = write_request(method, path, [("Host", host), *typed, *headers], body)
        silence_s = SILENCE_S + SILENCE_A_BYTE_S * len(body)
        found = await call_following(self._net, address, request, silence_s)
        return None if found is None else found[1]


def read_edition(body: bytes) -> tuple[int, str]:
    """The edition and the digest of a configuration that was read; 0 where it is none."""
    try:
        document = json.loads(body)
        return int(document[Config.EDITION]), document_digest(document)
    except (ValueError, TypeError, KeyError, AttributeError):
        return 0, ""


class EditionNumbers:
    """Rising edition numbers, in uneven steps."""

    def __init__(self, chance: Random) -> None:
        self._chance = chance
        self._last = 0

    def next(self) -> int:
        """A new one, above all before."""
        self._last += self._chance.randint(1, 4)
        return self._last
