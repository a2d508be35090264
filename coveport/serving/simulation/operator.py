"""Emulated operator: configurations, changes, zone evacuations, and reads of the configuration."""

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
    judged_routes,
    judged_tenants,
)
from coveport.serving.simulation.events import EventLog, Order, OrderEnded, OrderStarted, Verdict
from coveport.serving.simulation.exchange import CompleteAnswer
from coveport.serving.simulation.registration import CoordinatorEndpoints, call_following
from coveport.serving.wire.names import Config, Header, Path

ANSWER_TIMEOUT_S: Final = 1.0
ANSWER_TIMEOUT_PER_BYTE_S: Final = 1e-6  # more for large bodies
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0
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


@dataclass(slots=True)
class _OrderAnswers:
    """The answers to the attempts of one order so far."""

    status: int = 0  # of the last answer
    may_be_accepted: bool = False  # an attempt had no clear outcome
    other_refusals: int = 0

    def add(self, answer: CompleteAnswer | None) -> OrderAnswer | None:
        """Record an answer, None if there was none; return how the order ended once that is clear."""
        if answer is None:
            self.may_be_accepted = True
            return None
        self.status = answer.status
        verdict = self._verdict(answer.status)
        if verdict is not None:
            return OrderAnswer(verdict, answer.status, answer.body)
        if answer.status >= 500:
            self.may_be_accepted = True
        return None

    def _verdict(self, status: int) -> Verdict | None:
        if 200 <= status < 300:
            return Verdict.ACKNOWLEDGED
        if status in ENDS_AT_ONCE:
            # The refusal of a repeated request does not tell whether an earlier attempt was accepted.
            return Verdict.UNCLEAR if self.may_be_accepted and status != 412 else Verdict.REFUSED
        if 400 <= status < 500 and status not in RETRIED:
            self.other_refusals += 1
            if self.other_refusals >= OTHER_REFUSALS_MOST:
                return Verdict.REFUSED
        return None


class OrderNumbers:
    """Numbers the orders of all operators of a day."""

    def __init__(self) -> None:
        self._last = 0

    def next(self) -> int:
        """Return a new number."""
        self._last += 1
        return self._last


class Operator:
    """An operator that repeats an order until its outcome is clear."""

    def __init__(
        self,
        net: Net,
        coordinators: CoordinatorEndpoints,
        event_log: EventLog,
        rng: Random,
        numbers: OrderNumbers,
    ) -> None:
        self._net = net
        self._coordinators = coordinators
        self._event_log = event_log
        self._rng = rng
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
        """Change the configuration that is given as its base."""
        body = json.dumps(change_document(change)).encode()
        made = changed(on, change)
        answer = await self._configure(Order.PATCH, "PATCH", body, made, on.edition, True, gives_up_s)
        return self._keep(answer, made)

    async def put_invalid(self, configuration: Configuration, body: bytes, based_on: int) -> OrderAnswer:
        """Send an invalid body; `configuration`: the result if it were accepted."""
        return await self._configure(Order.PUT, "PUT", body, configuration, based_on, False, GIVES_UP_S)

    async def evacuate(self, zone: str) -> OrderAnswer:
        """Evacuate a zone."""
        return await self._zone_order(Order.EVACUATE, "POST", zone)

    async def take_back(self, zone: str) -> OrderAnswer:
        """Take back the evacuation of a zone."""
        return await self._zone_order(Order.TAKE_BACK, "DELETE", zone)

    async def read(self, for_s: float) -> OrderAnswer:
        """Read the configuration, retrying for `for_s` seconds."""
        number = self._begin(OrderStarted(self._net.now_s(), self._numbers.next(), Order.READ))
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
        number = self._begin_change(order, made, based_on, valid)
        answer = await self._send(method, Path.CONFIG, body, [(Header.IF_MATCH, str(based_on))], gives_up_s)
        self._end(number, answer, made.edition)
        return answer

    async def _zone_order(self, order: Order, method: str, zone: str) -> OrderAnswer:
        number = self._begin(OrderStarted(self._net.now_s(), self._numbers.next(), order, zone=zone))
        answer = await self._send(method, Path.EVACUATION + zone, b"", [], GIVES_UP_S)
        self._end(number, answer)
        return answer

    def _begin_change(self, order: Order, made: Configuration, based_on: int, valid: bool) -> int:
        return self._begin(
            OrderStarted(
                self._net.now_s(),
                self._numbers.next(),
                order,
                made.edition,
                based_on,
                valid,
                judged_routes(made.routes),
                document_digest(configuration_document(made)),
                tenants=judged_tenants(made.tenants),
            )
        )

    def _begin(self, started: OrderStarted) -> int:
        self._event_log.write(started)
        return started.number

    def _end(self, number: int, answer: OrderAnswer, edition: int = 0, found: str = "") -> None:
        now = self._net.now_s()
        self._event_log.write(OrderEnded(now, number, answer.verdict, answer.status, edition, found))

    async def _send(
        self, method: str, path: str, body: bytes, headers: list[tuple[str, str]], gives_up_s: float
    ) -> OrderAnswer:
        """Send a request, unchanged, until the outcome is clear or time is up."""
        until_s = self._net.now_s() + gives_up_s
        backoff_s = INITIAL_BACKOFF_S
        answers = _OrderAnswers()
        while True:
            known = self._coordinators()
            answer = None
            if known:
                answer = await self._call(self._rng.choice(known), method, path, body, headers)
            outcome = answers.add(answer)
            if outcome is not None:
                return outcome
            if self._net.now_s() + backoff_s > until_s:
                return OrderAnswer(Verdict.UNCLEAR, answers.status)
            await asyncio.sleep(backoff_s * self._rng.uniform(0.7, 1.3))
            backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)

    async def _call(
        self, address: Address, method: str, path: str, body: bytes, headers: list[tuple[str, str]]
    ) -> CompleteAnswer | None:
        host = "{}:{}".format(*address)
        typed = [("Content-Type", "application/json")] if body else []
        request = write_request(method, path, [("Host", host), *typed, *headers], body)
        timeout_s = ANSWER_TIMEOUT_S + ANSWER_TIMEOUT_PER_BYTE_S * len(body)
        found = await call_following(self._net, address, request, timeout_s)
        return None if found is None else found[1]


def read_edition(body: bytes) -> tuple[int, str]:
    """Return the edition and the digest of a configuration; (0, "") if the body is none."""
    try:
        document = json.loads(body)
        return int(document[Config.EDITION]), document_digest(document)
    except (ValueError, TypeError, KeyError, AttributeError):
        return 0, ""


class EditionNumbers:
    """Rising edition numbers, in uneven steps."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._last = 0

    def next(self) -> int:
        """Return a new edition, above all earlier ones."""
        self._last += self._rng.randint(1, 4)
        return self._last
