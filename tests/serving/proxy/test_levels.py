"""Which node takes a request: the two draws, the levels, and an independent model of both."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveport.serving.model.configuration import Route, RouteKind, Service, WeightedService
from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.levels import less_busy_of_two
from coveport.serving.proxy.node_health import NodeHealth
from coveport.serving.proxy.node_pace import NodePace
from coveport.serving.proxy.prompt_parts import PromptPart
from coveport.serving.proxy.selection import LONG_READ_TOKENS, NodeSelection, NoNode, Wanted
from coveport.serving.proxy.warm_up import WarmUpCredit

NOW = 100.0
FOREVER = float("inf")
SERVICE = Service("s")
ROUTE = Route("r", "h", "/", RouteKind.SAFE, 1000, services=(WeightedService("s", 1),))


class Room:
    """A pool that has as much room as a test says."""

    def __init__(self) -> None:
        self.full: set[str] = set()

    def has_room(self, incarnation: str, most: int) -> bool:
        return incarnation not in self.full


def known(name: str, region: str = "r", zone: str = "z", **how: object) -> KnownNode:
    node = Node(name, 1, "s", "10.0.0.1:80", zone, region, 64, NodeState.ACCEPTING)
    times = {key: how.pop(key) for key in ("warming_until_s", "shutdown_at_s") if key in how}
    base = KnownNode(replace(node, **how), NOW, 0.0, FOREVER)  # type: ignore[arg-type]
    return replace(base, **times)  # type: ignore[arg-type]


def selection(*nodes: KnownNode, seed: int = 1, **bounds: float) -> NodeSelection:
    view = ControlView()
    for one in nodes:
        view.nodes = view.nodes.set(one.node.incarnation, one)
    random = Random(seed)
    credit = WarmUpCredit(bounds.get("overshoot", 1.0), bounds.get("slack", 0.0), random)
    return NodeSelection(view, "r", random, NodeHealth(random), credit, Room(), NodePace())  # type: ignore[arg-type]


def chosen(one: NodeSelection, wanted: Wanted | None = None, now_s: float = NOW) -> str | NoNode:
    found = one.choose(wanted or Wanted(ROUTE, SERVICE), (), now_s)
    return found if isinstance(found, NoNode) else found.node.incarnation


def test_of_two_the_less_busy_takes_the_request() -> None:
    loads = {"a": 3, "b": 1}
    assert {less_busy_of_two("ab", loads, Random(seed)) for seed in range(50)} == {"b"}


def test_each_pair_is_drawn_alike_and_ties_are_broken_at_random() -> None:
    random = Random(3)
    # a has 0, b 1, c 2: of the pairs ab, ac, bc the winners are a, a, b.
    counts = Counter(less_busy_of_two("abc", {"b": 1, "c": 2}, random) for _ in range(6000))
    assert counts["c"] == 0
    assert abs(counts["a"] - 4000) < 200
    ties = Counter(less_busy_of_two("abcd", {}, random) for _ in range(8000))
    assert all(abs(ties[one] - 2000) < 200 for one in "abcd")


def test_a_tie_break_decides_ties_alone() -> None:
    random = Random(3)
    for _ in range(50):
        assert less_busy_of_two("ab", {}, random, lambda one, other: "a") == "a"
        assert less_busy_of_two("ab", {"a": 1}, random, lambda one, other: "a") == "b"
    assert {less_busy_of_two("ab", {}, random, lambda one, other: None) for _ in range(50)} == {"a", "b"}


def test_one_candidate_needs_no_draw() -> None:
    assert less_busy_of_two(["a"], {"a": 9}, Random(1)) == "a"


def test_bad_ends_empty_the_own_level_and_a_trial_refills_it() -> None:
    one = selection(known("near"), known("far", "q"))
    one.health.note_bad_end("near", NOW)
    assert chosen(one) == "near"  # one alone may be chance
    one.health.note_bad_end("near", NOW)
    assert chosen(one) == "far"
    later = NOW + 1.0
    assert chosen(one, now_s=later) == "near"  # a trial is due
    near = one.view.nodes["near"]
    one.note_chosen(near, Wanted(ROUTE, SERVICE), later)
    assert chosen(one, now_s=later) == "far"  # one at a time
    one.health.note_good_end("near")
    assert chosen(one, now_s=later) == "near"


def test_the_wait_before_a_trial_doubles_up_to_a_bound() -> None:
    health = NodeHealth(Random(1))
    waits = []
    now = NOW
    for _ in range(12):
        health.note_unreachable("a", now)
        began = now
        while not health.due_trials(now):
            now += 0.01
        waits.append(now - began)
        assert health.is_out("a", now)  # the trial is a connect, no request
    assert 0.29 < waits[0] < 0.52 and 0.58 < waits[1] < 1.02
    assert all(2.9 < wait < 5.1 for wait in waits[5:])
    health.note_good_end("a")
    assert not health.is_out("a", now)
    assert health.due_trials(now + 100) == []


def test_a_refusal_takes_a_node_out_for_a_moment_only() -> None:
    one = selection(known("near"), known("far", "q"))
    for _ in range(5):
        one.health.note_full("near", NOW)
    assert chosen(one) == "far"
    assert chosen(one, now_s=NOW + 0.2) == "near"


def test_a_strained_node_belongs_to_no_level_for_long_prompts() -> None:
    one = selection(known("slow"), known("swift"), known("far", "q"))
    one.strain.note_pause("slow", 0.39, None, 0.4, NOW)
    route = replace(ROUTE, inter_token_target_ms=400)
    long = Wanted(route, SERVICE, (PromptPart("p", LONG_READ_TOKENS),))
    short = Wanted(route, SERVICE, (PromptPart("p", LONG_READ_TOKENS - 1),))

    def all_chosen(wanted: Wanted) -> set[object]:
        found = [one.choose(wanted, (), NOW) for _ in range(50)]
        return {known.node.incarnation for known in found if not isinstance(known, NoNode)}

    assert all_chosen(long) == {"swift"}
    assert all_chosen(short) == {"slow", "swift"}
    for _ in range(2):
        one.health.note_bad_end("swift", NOW)
    assert all_chosen(long) == {"far"}  # its own level is empty for it
    assert all_chosen(short) == {"slow"}
    one.strain.note_pause("far", 0.39, None, 0.4, NOW)
    assert all_chosen(long) == {"slow"}  # none is fit: as if none were strained


def test_where_bad_ends_alone_keep_all_out_they_are_tried() -> None:
    one = selection(known("near"), known("far", "q"))
    for name in ("near", "far"):
        one.health.note_unreachable(name, NOW)
    assert chosen(one) == "near"
    one.health.note_full("near", NOW)  # it lives and is full: not tried, but no reason to try others either
    assert chosen(one) is NoNode.ALL_FULL


def test_nodes_that_broke_this_request_off_come_last() -> None:
    one = selection(known("a"), known("b"))
    wanted = Wanted(ROUTE, SERVICE)
    for _ in range(20):
        found = one.choose(wanted, {"a"}, NOW)
        assert not isinstance(found, NoNode) and found.node.incarnation == "b"
    alone = selection(known("a"))
    found = alone.choose(wanted, {"a"}, NOW)
    assert not isinstance(found, NoNode) and found.node.incarnation == "a"


def test_ties_go_where_the_prompt_was_read() -> None:
    one = selection(known("a"), known("b"))
    parts = (PromptPart("11", 800), PromptPart("22", 100))
    wanted = Wanted(ROUTE, SERVICE, parts)
    one.parts.note_sent((parts[0],), "a")
    one.parts.note_sent(parts, "b")
    assert {chosen(one, wanted) for _ in range(20)} == {"b"}
    one.in_flight["b"] = 1
    assert {chosen(one, wanted) for _ in range(20)} == {"a"}


@st.composite
def worlds(draw: st.DrawFn) -> tuple[NodeSelection, Route, frozenset[str]]:
    """Nodes in any state, and a route with or without homes."""
    nodes = []
    for number in range(draw(st.integers(0, 7))):
        region = draw(st.sampled_from(["r", "q", "p"]))
        nodes.append(
            known(
                f"n{number}",
                region,
                f"zone-{region}-{draw(st.integers(1, 2))}",
                service=draw(st.sampled_from(["s", "s", "s", "other"])),
                state=draw(st.sampled_from([NodeState.ACCEPTING, NodeState.ACCEPTING, NodeState.DRAINING])),
                shutdown_at_s=draw(st.sampled_from([FOREVER, FOREVER, NOW - 1, NOW + 1])),
            )
        )
    one = selection(*nodes, seed=draw(st.integers(0, 1000)))
    names = [node.node.incarnation for node in nodes]
    one.view.evacuated_zones = frozenset(draw(st.sets(st.sampled_from(["zone-r-1", "zone-q-1"]))))
    if names:
        one.pool.full = draw(st.sets(st.sampled_from(names)))  # type: ignore[attr-defined]
        for name in draw(st.sets(st.sampled_from(names))):
            one.health.note_unreachable(name, NOW)
        for name in draw(st.sets(st.sampled_from(names))):
            one.in_flight[name] = draw(st.integers(1, 4))
        homes = draw(st.sampled_from([frozenset[str](), frozenset({"q"}), frozenset({"r", "p"})]))
    else:
        homes = frozenset()
    return one, replace(ROUTE, home_regions=homes), homes


def model(one: NodeSelection, homes: frozenset[str]) -> set[str]:
    """Who may be chosen, said again from the design's page: no word of the program's own routing."""
    out, full = {n for n in one.view.nodes if one.health.is_out(n, NOW)}, one.pool.full  # type: ignore[attr-defined]
    allowed = {
        name: each.node.region
        for name, each in one.view.nodes.items()
        if each.node.service == "s"
        and each.node.state.value == "accepting"
        and each.node.zone not in one.view.evacuated_zones
        and each.shutdown_at_s > NOW
        and (each.node.region in homes or not homes)
    }
    barred = full if allowed.keys() <= out else full | out
    usable = allowed.keys() - barred
    level = {name for name in usable if allowed[name] == "r"} or usable
    if len(level) <= 1:
        return set(level)
    loads = {name: one.in_flight.get(name, 0) for name in level}
    # Of two drawn the busier never wins: whoever is busier than all others is never chosen.
    lowest_but_one = sorted(loads.values())[-2]
    return {name for name in level if loads[name] <= lowest_but_one}


@settings(max_examples=300)
@given(worlds())
def test_an_independent_model_allows_the_choice(world: tuple[NodeSelection, Route, frozenset[str]]) -> None:
    one, route, homes = world
    allowed = model(one, homes)
    seen = {chosen(one, Wanted(route, SERVICE)) for _ in range(12)}
    if not allowed:
        assert all(isinstance(each, NoNode) for each in seen)
    else:
        assert seen <= allowed


@pytest.mark.parametrize("nodes", [2, 3, 6])
def test_everyone_whom_the_model_allows_is_chosen_sometimes(nodes: int) -> None:
    one = selection(*(known(f"n{number}") for number in range(nodes)), known("far", "q"))
    one.in_flight.update({"n0": 2, "n1": 1})
    assert {chosen(one) for _ in range(400)} == model(one, frozenset())
