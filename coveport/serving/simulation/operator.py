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
ANSWER_TIMEOUT_PER_BYTE_S: Final = 1e-6  # added to the time-out for each byte of the body
INITIAL_BACKOFF_S: Final = 0.1
MAX_BACKOFF_S: Final = 1.0
RETRY_FOR_S: Final = 5.0  # for all orders but changes of the configuration
CONFIGURATION_RETRY_FOR_S: Final = 20.0
FINAL_REFUSALS: Final = frozenset({400, 409, 412, 413, 422})
RETRIED_STATUSES: Final = frozenset({408, 429})
MAX_OTHER_REFUSALS: Final = 3


@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """The outcome of an order, with the last answer's status and body."""

    verdict: Verdict
    status: int = 0
    body: bytes = b""


@dataclass(slots=True)
class _OrderAnswers:
    """The answers to the attempts of one order so far."""

    status: int = 0  # status of the last answer
    may_be_accepted: bool = False  # an attempt had no clear outcome
    other_refusals: int = 0  # client errors that neither end the order nor are retried without limit

    def add(self, answer: CompleteAnswer | None) -> OrderAnswer | None:
        """Record an answer (None: no answer came); return the outcome of the order once it is clear."""
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
        if status in FINAL_REFUSALS:
            # After an attempt without a clear outcome, only 412 shows that none was accepted.
            return Verdict.UNCLEAR if self.may_be_accepted and status != 412 else Verdict.REFUSED
        if 400 <= status < 500 and status not in RETRIED_STATUSES:
            self.other_refusals += 1
            if self.other_refusals >= MAX_OTHER_REFUSALS:
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
        self.configuration = Configuration(0)  # newest one whose acknowledgement this operator received

    async def put(
        self, configuration: Configuration, based_on: int, retry_for_s: float = CONFIGURATION_RETRY_FOR_S
    ) -> OrderAnswer:
        """Replace the configuration."""
        body = json.dumps(configuration_document(configuration)).encode()
        answer = await self._configure(Order.PUT, "PUT", body, configuration, based_on, True, retry_for_s)
        return self._record_acknowledged(answer, configuration)

    async def patch(
        self, change: Change, on: Configuration, retry_for_s: float = CONFIGURATION_RETRY_FOR_S
    ) -> OrderAnswer:
        """Send a change of the configuration `on`."""
        body = json.dumps(change_document(change)).encode()
        resulting = changed(on, change)
        answer = await self._configure(Order.PATCH, "PATCH", body, resulting, on.edition, True, retry_for_s)
        return self._record_acknowledged(answer, resulting)

    async def put_invalid(self, configuration: Configuration, body: bytes, based_on: int) -> OrderAnswer:
        """Send an invalid body; `configuration`: the configuration if the body were accepted."""
        return await self._configure(Order.PUT, "PUT", body, configuration, based_on, False, RETRY_FOR_S)

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
        edition, digest = read_edition(answer.body) if answer.verdict is Verdict.ACKNOWLEDGED else (0, "")
        self._end(number, answer, edition, digest)
        return answer

    # Orders.

    def _record_acknowledged(self, answer: OrderAnswer, configuration: Configuration) -> OrderAnswer:
        if answer.verdict is Verdict.ACKNOWLEDGED:
            self.configuration = configuration
        return answer

    async def _configure(
        self, order: Order, method: str, body: bytes, resulting: Configuration, based_on: int, valid: bool,
        retry_for_s: float,
    ) -> OrderAnswer:  # fmt: skip
        number = self._begin_change(order, resulting, based_on, valid)
        answer = await self._send(method, Path.CONFIG, body, [(Header.IF_MATCH, str(based_on))], retry_for_s)
        self._end(number, answer, resulting.edition)
        return answer

    async def _zone_order(self, order: Order, method: str, zone: str) -> OrderAnswer:
        number = self._begin(OrderStarted(self._net.now_s(), self._numbers.next(), order, zone=zone))
        answer = await self._send(method, Path.EVACUATION + zone, b"", [], RETRY_FOR_S)
        self._end(number, answer)
        return answer

    def _begin_change(self, order: Order, resulting: Configuration, based_on: int, valid: bool) -> int:
        return self._begin(
            OrderStarted(
                self._net.now_s(),
                self._numbers.next(),
                order,
                resulting.edition,
                based_on,
                valid,
                judged_routes(resulting.routes),
                document_digest(configuration_document(resulting)),
                tenants=judged_tenants(resulting.tenants),
            )
        )

    def _begin(self, started: OrderStarted) -> int:
        self._event_log.write(started)
        return started.number

    def _end(self, number: int, answer: OrderAnswer, edition: int = 0, digest: str = "") -> None:
        now = self._net.now_s()
        self._event_log.write(OrderEnded(now, number, answer.verdict, answer.status, edition, digest))

    async def _send(
        self, method: str, path: str, body: bytes, headers: list[tuple[str, str]], retry_for_s: float
    ) -> OrderAnswer:
        """Send the same request until the outcome is clear or `retry_for_s` has passed."""
        until_s = self._net.now_s() + retry_for_s
        backoff_s = INITIAL_BACKOFF_S
        answers = _OrderAnswers()
        while True:
            addresses = self._coordinators()
            answer = None
            if addresses:
                answer = await self._call(self._rng.choice(addresses), method, path, body, headers)
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
        content_type = [("Content-Type", "application/json")] if body else []
        request = write_request(method, path, [("Host", host), *content_type, *headers], body)
        timeout_s = ANSWER_TIMEOUT_S + ANSWER_TIMEOUT_PER_BYTE_S * len(body)
        answered = await call_following(self._net, address, request, timeout_s)
        return None if answered is None else answered[1]


def read_edition(body: bytes) -> tuple[int, str]:
    """Return the edition and the digest of a configuration; (0, "") if the body is not valid."""
    try:
        document = json.loads(body)
        return int(document[Config.EDITION]), document_digest(document)
    except (ValueError, TypeError, KeyError, AttributeError):
        return 0, ""


class EditionNumbers:
    """Increasing edition numbers, in random steps."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._last = 0

    def next(self) -> int:
        """Return a new edition, above all earlier ones."""
        self._last += self._rng.randint(1, 4)
        return self._last
