"""A node that fails part of what it runs, though it answers at once and its health is good."""

from __future__ import annotations

from proxy_ground import Ground
from scripted_node import Arrival


def test_a_node_that_answers_requests_with_500_is_left_by_those_that_come_after() -> None:
    ground = Ground()

    def fail(arrival: Arrival) -> None:
        arrival.whole(b"", 500)

    def serve(arrival: Arrival) -> None:
        arrival.whole()

    ground.node(fail)
    ground.node(serve)
    statuses = []
    for _ in range(40):
        client = ground.client()
        client.ask("/u/x")
        answer = ground.run(client.answer())
        assert answer is not None
        statuses.append(answer.status)
    assert statuses[20:].count(500) <= 4
    ground.check()
