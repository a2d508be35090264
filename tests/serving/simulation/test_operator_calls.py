"""The calls of an operator, against a stub with configured answers."""

from __future__ import annotations

import json
from random import Random

import pytest
from stub_core import StubDeployment, configuration, routes

from coveport.serving.configuration.reader import read_configuration
from coveport.serving.model.configuration import Configuration
from coveport.serving.simulation.documents import (
    Change,
    change_document,
    changed,
    configuration_document,
    document_digest,
)
from coveport.serving.simulation.events import OrderEnded, Verdict
from coveport.serving.simulation.operator import Operator, OrderAnswer, OrderNumbers
from coveport.serving.simulation.topology import OUTSIDE


class OperatorFixture:
    """An operator in a stub deployment."""

    def __init__(self) -> None:
        self.deployment = StubDeployment()
        net = self.deployment.net("10.8.1.1", OUTSIDE)
        addresses = [("10.9.0.1", 7000)]
        self.operator = Operator(
            net, lambda: list(addresses), self.deployment.event_log, Random("operator"), OrderNumbers()
        )

    def put(self, *answers: int, wait_s: float = 60.0) -> OrderAnswer:
        """Send a configuration, to which the stub answers with these statuses; return the outcome."""
        self.deployment.core.answers["PUT"] = [(status, {}, b"") for status in answers]
        outcomes: list[OrderAnswer] = []

        async def work() -> None:
            outcomes.append(await self.operator.put(configuration(7), 5))

        self.deployment.run_in(self.operator, work)
        self.deployment.run(wait_s)
        return outcomes[0]


def test_an_order_carries_its_edition_and_its_base_edition() -> None:
    fixture = OperatorFixture()
    assert fixture.put(200).verdict is Verdict.ACKNOWLEDGED
    call = fixture.deployment.core.calls[0]
    assert (call.method, call.target, call.headers["if-match"]) == ("PUT", "/coveport/config", ["5"])
    assert json.loads(call.body)["Edition"] == 7
    assert fixture.operator.configuration.edition == 7


@pytest.mark.parametrize("status", [400, 409, 412, 413, 422])
def test_a_clear_refusal_ends_an_order_at_once(status: int) -> None:
    fixture = OperatorFixture()
    assert fixture.put(status) == OrderAnswer(Verdict.REFUSED, status, b"")
    assert len(fixture.deployment.core.calls) == 1
    assert fixture.operator.configuration.edition == 0


def test_the_third_other_refusal_ends_an_order() -> None:
    fixture = OperatorFixture()
    assert fixture.put(404).verdict is Verdict.REFUSED
    assert len(fixture.deployment.core.calls) == 3


def test_an_order_is_repeated_unchanged_with_backoff_after_unclear_answers() -> None:
    fixture = OperatorFixture()
    assert fixture.put(503, 500, 429, 200).verdict is Verdict.ACKNOWLEDGED
    calls, at = fixture.deployment.core.calls, fixture.deployment.core.at
    assert len(calls) == 4
    assert {call.body for call in calls} == {calls[0].body}
    assert {tuple(call.headers["if-match"]) for call in calls} == {("5",)}
    assert at[3] - at[2] > at[1] - at[0]


def test_an_order_without_a_clear_answer_has_an_unclear_verdict() -> None:
    fixture = OperatorFixture()
    assert fixture.put(503).verdict is Verdict.UNCLEAR
    # A refusal does not show whether an earlier attempt was accepted. 412 does: a repetition of an accepted
    # order gets 200.
    assert OperatorFixture().put(503, 400).verdict is Verdict.UNCLEAR
    assert OperatorFixture().put(503, 412).verdict is Verdict.REFUSED


def test_an_order_is_repeated_after_a_second_without_an_answer() -> None:
    fixture = OperatorFixture()
    fixture.deployment.core.silent = True
    assert fixture.put(200).verdict is Verdict.UNCLEAR
    at = fixture.deployment.core.at
    assert 1.0 < at[1] - at[0] < 1.2


def test_an_order_for_a_zone_is_abandoned_after_its_retry_period() -> None:
    fixture = OperatorFixture()
    fixture.deployment.core.answers["POST"] = [(503, {}, b"")]
    fixture.deployment.run_in(fixture.operator, lambda: fixture.operator.evacuate("hall-a"))
    began = fixture.deployment.world.now
    fixture.deployment.run(30.0)
    ended = fixture.deployment.event_log.of(OrderEnded)[0]
    assert ended.verdict is Verdict.UNCLEAR
    assert 3.5 < ended.at_s - began < 6.0
    assert fixture.deployment.core.calls[0].target == "/coveport/evacuation/hall-a"


def test_the_digest_of_a_configuration_does_not_depend_on_the_order_of_routes() -> None:
    fixture = OperatorFixture()
    document = configuration_document(configuration(7))
    reordered = {**document, "Routes": document["Routes"][::-1]}
    fixture.deployment.core.answers["GET"] = [(200, {}, json.dumps(reordered).encode())]
    fixture.deployment.run_in(fixture.operator, lambda: fixture.operator.read(4.0))
    fixture.deployment.run(10.0)
    ended = fixture.deployment.event_log.of(OrderEnded)[0]
    assert (ended.edition, ended.digest) == (7, document_digest(document))
    shortened = {**document, "Routes": document["Routes"][:1]}
    assert document_digest(shortened) != document_digest(document)


def test_the_configuration_reader_accepts_the_documents() -> None:
    written = configuration(3)
    assert read_configuration(json.dumps(configuration_document(written)).encode()) == written


def test_a_change_removes_replaces_and_adds() -> None:
    first, second = routes()
    change = Change(4, routes=(second,), removed_routes=("review",))
    result = changed(Configuration(3, (first,)), change)
    assert result == Configuration(4, (second,))
    document = change_document(change)
    assert document["Remove"]["Routes"] == ["review"]
    assert document["Upsert"]["Routes"][0]["Name"] == "offer"
