"""The operator's calls, against a stub that answers as told."""

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


class Desk:
    """An operator in a stub deployment."""

    def __init__(self) -> None:
        self.deployment = StubDeployment()
        net = self.deployment.net("10.8.1.1", OUTSIDE)
        known = [("10.9.0.1", 7000)]
        self.operator = Operator(
            net, lambda: list(known), self.deployment.event_log, Random("operator"), OrderNumbers()
        )

    def put(self, *answers: int, wait_s: float = 60.0) -> OrderAnswer:
        """Send a configuration; the stub answers with these statuses."""
        self.deployment.core.answers["PUT"] = [(status, {}, b"") for status in answers]
        found: list[OrderAnswer] = []

        async def work() -> None:
            found.append(await self.operator.put(configuration(7), 5))

        self.deployment.run_in(self.operator, work)
        self.deployment.run(wait_s)
        return found[0]


def test_an_order_carries_its_edition_and_what_it_builds_on() -> None:
    desk = Desk()
    assert desk.put(200).verdict is Verdict.ACKNOWLEDGED
    call = desk.deployment.core.calls[0]
    assert (call.method, call.target, call.headers["if-match"]) == ("PUT", "/coveport/config", ["5"])
    assert json.loads(call.body)["Edition"] == 7
    assert desk.operator.configuration.edition == 7


@pytest.mark.parametrize("status", [400, 409, 412, 413, 422])
def test_a_clear_refusal_ends_an_order_at_once(status: int) -> None:
    desk = Desk()
    assert desk.put(status) == OrderAnswer(Verdict.REFUSED, status, b"")
    assert len(desk.deployment.core.calls) == 1
    assert desk.operator.configuration.edition == 0


def test_other_refusals_end_it_at_the_third() -> None:
    desk = Desk()
    assert desk.put(404).verdict is Verdict.REFUSED
    assert len(desk.deployment.core.calls) == 3


def test_an_unclear_answer_is_sent_again_unchanged_with_growing_pauses() -> None:
    desk = Desk()
    assert desk.put(503, 500, 429, 200).verdict is Verdict.ACKNOWLEDGED
    calls, at = desk.deployment.core.calls, desk.deployment.core.at
    assert len(calls) == 4
    assert {call.body for call in calls} == {calls[0].body}
    assert {tuple(call.headers["if-match"]) for call in calls} == {("5",)}
    assert at[3] - at[2] > at[1] - at[0]


def test_what_stays_unclear_is_said_to_be() -> None:
    desk = Desk()
    assert desk.put(503).verdict is Verdict.UNCLEAR
    # A refusal behind an unclear answer says nothing of the first; 412 does: what was taken would get 200.
    assert Desk().put(503, 400).verdict is Verdict.UNCLEAR
    assert Desk().put(503, 412).verdict is Verdict.REFUSED


def test_silence_of_a_second_moves_on() -> None:
    desk = Desk()
    desk.deployment.core.silent = True
    assert desk.put(200).verdict is Verdict.UNCLEAR
    at = desk.deployment.core.at
    assert 1.0 < at[1] - at[0] < 1.2


def test_orders_on_zones_are_given_up_after_a_while() -> None:
    desk = Desk()
    desk.deployment.core.answers["POST"] = [(503, {}, b"")]
    desk.deployment.run_in(desk.operator, lambda: desk.operator.evacuate("hall-a"))
    began = desk.deployment.world.now
    desk.deployment.run(30.0)
    ended = desk.deployment.event_log.of(OrderEnded)[0]
    assert ended.verdict is Verdict.UNCLEAR
    assert 3.5 < ended.at_s - began < 6.0
    assert desk.deployment.core.calls[0].target == "/coveport/evacuation/hall-a"


def test_what_is_read_back_is_compared_whatever_its_order() -> None:
    desk = Desk()
    document = configuration_document(configuration(7))
    turned = {**document, "Routes": document["Routes"][::-1]}
    desk.deployment.core.answers["GET"] = [(200, {}, json.dumps(turned).encode())]
    desk.deployment.run_in(desk.operator, lambda: desk.operator.read(4.0))
    desk.deployment.run(10.0)
    ended = desk.deployment.event_log.of(OrderEnded)[0]
    assert (ended.edition, ended.digest) == (7, document_digest(document))
    other = {**document, "Routes": document["Routes"][:1]}
    assert document_digest(other) != document_digest(document)


def test_documents_are_what_the_system_reads() -> None:
    made = configuration(3)
    assert read_configuration(json.dumps(configuration_document(made)).encode()) == made


def test_a_change_removes_replaces_and_adds() -> None:
    first, second = routes()
    change = Change(4, routes=(second,), removed_routes=("review",))
    made = changed(Configuration(3, (first,)), change)
    assert made == Configuration(4, (second,))
    told = change_document(change)
    assert told["Remove"]["Routes"] == ["review"]
    assert told["Upsert"]["Routes"][0]["Name"] == "offer"
