"""A node's heartbeats and its leaving, against a stub that answers as told."""

from __future__ import annotations

import json

import pytest
from stub_core import Town

from coveport.serving.simulation.events import HeartbeatAnswered, NodeEnded


def bodies(town: Town) -> list[dict[str, object]]:
    return [json.loads(call.body) for call in town.core.calls if call.method == "PUT"]


def test_heartbeats_rise_and_carry_what_the_protocol_asks_for() -> None:
    town = Town()
    node = town.node(1, heartbeats=True, cold_s=2.0)
    town.run(5.0)
    said = bodies(town)
    assert 5 <= len(said) <= 6
    assert [one["CallSeq"] for one in said] == list(range(1, len(said) + 1))
    assert said[0]["Service"] == "scribe"
    assert said[0]["Zone"] == "hall-a"
    assert said[0]["Address"] == "10.0.0.1:8080"
    assert said[0]["State"] == "accepting"
    assert 1500 < float(str(said[0]["ColdLeftMs"])) <= 2000
    assert said[-1]["ColdLeftMs"] == 0
    assert all(call.target == f"/coveport/nodes/{node.incarnation}" for call in town.core.calls)


def test_a_redirect_is_followed_twice_and_not_three_times() -> None:
    town = Town()
    moved = (307, {"Location": "http://10.9.0.1:7000/coveport/nodes/x"}, b"")
    town.core.answers["PUT"] = [moved, moved, (200, {}, b"{}"), moved]
    town.node(1, heartbeats=True)
    town.run(0.9)
    assert len(town.book.of(HeartbeatAnswered)) == 1
    assert len(town.core.calls) == 3
    town.run(1.1)
    assert len(town.book.of(HeartbeatAnswered)) == 1
    assert len(town.core.calls) == 6


def test_heartbeats_go_where_an_answer_sends_them_until_one_fails_there() -> None:
    town = Town()
    other = town.net("10.9.0.2", 0)
    from stub_core import StubCore

    forward = StubCore(other, ("10.9.0.2", 7000))
    town.run_in(forward, forward.start)
    town.core.answers["PUT"] = [(200, {}, b'{"ForwardTo":"10.9.0.2:7000"}')]
    town.node(1, heartbeats=True)
    town.run(5.0)
    assert len(town.core.calls) == 1
    assert len(forward.calls) >= 4
    forward.silent = True
    town.run(2.5)
    assert len(town.core.calls) >= 2


def test_an_answer_after_a_second_or_above_four_kilobytes_acknowledges_nothing() -> None:
    town = Town()
    town.core.silent = True
    town.node(1, heartbeats=True)
    town.run(5.0)
    assert town.core.calls
    assert not town.book.of(HeartbeatAnswered)
    town = Town()
    town.core.answers["PUT"] = [(200, {}, b" " * 4097)]
    town.node(1, heartbeats=True)
    town.run(5.0)
    assert town.core.calls
    assert not town.book.of(HeartbeatAnswered)


def test_leaving_says_closing_serves_on_says_goodbye_and_ends() -> None:
    town = Town()
    node = town.node(1)
    found = town.registration(node)
    town.run(2.0)
    began = town.world.now
    town.run_in(node, lambda: found.leave(2.5))
    town.run(1.0)
    assert not node.ended
    town.run(9.0)
    states = [line.state for line in town.book.of(HeartbeatAnswered)]
    assert states[-2:] == ["closing", "gone"]
    assert town.core.calls[-1].method == "DELETE"
    assert town.book.of(NodeEnded)[0].planned
    assert town.book.of(NodeEnded)[0].at_s - began == pytest.approx(2.8, abs=0.2)


def test_a_node_that_nobody_hears_ends_all_the_same() -> None:
    town = Town()
    node = town.node(1)
    found = town.registration(node)
    town.run(0.5)
    town.core.silent = True
    began = town.world.now
    town.run_in(node, lambda: found.leave(2.5))
    town.run(15.0)
    assert node.ended
    assert 5.0 <= town.book.of(NodeEnded)[0].at_s - began < 8.0


def test_short_notice_is_told_and_kept() -> None:
    town = Town()
    node = town.node(1)
    found = town.registration(node)
    town.run(0.5)
    began = town.world.now
    town.run_in(node, lambda: found.leave(2.5, gone_in_s=1.0))
    town.run(10.0)
    closing = [one for one in bodies(town) if one["State"] == "closing"]
    assert 900 <= float(str(closing[0]["TimeLeftMs"])) <= 1000
    assert town.book.of(NodeEnded)[0].at_s - began == pytest.approx(1.0, abs=0.05)
