"""Selection of a node: the power of two choices, localities, and an independent model of both."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveport.balancing.locality import less_busy_of_two
from coveport.serving.model.configuration import Route, RouteKind, Service, WeightedService
from coveport.serving.model.node import Node, NodeState
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.node_observations import NodeObservations
from coveport.serving.proxy.node_selection import LONG_PREFILL_TOKENS, NodeSelector, NoNode
from coveport.serving.proxy.outlier_ejection import OutlierDetector
from coveport.serving.proxy.prompt_segments import PromptSegment
from coveport.serving.proxy.routed_request import RoutedRequest
from coveport.serving.proxy.slow_start import SlowStartLimiter

NOW = 100.0
FOREVER = float("inf")
SERVICE = Service("s")
ROUTE = Route("r", "h", "/", RouteKind.SAFE, 1000, services=(WeightedService("s", 1),))


class StubPool:
    """A pool in which all nodes except those in `full` have capacity."""

    def __init__(self) -> None:
        self.full: set[str] = set()

    def has_capacity(self, incarnation: str, max_connections: int) -> bool:
        return incarnation not in self.full


def make_known_node(name: str, region: str = "r", zone: str = "z", **fields: object) -> KnownNode:
    node = Node(name, 1, "s", "10.0.0.1:80", zone, region, 64, NodeState.ACCEPTING)
    times = {key: fields.pop(key) for key in ("warming_until_s", "shutdown_at_s") if key in fields}
    known_node = KnownNode(replace(node, **fields), NOW, 0.0, FOREVER)  # type: ignore[arg-type]
    return replace(known_node, **times)  # type: ignore[arg-type]


def make_selector(*nodes: KnownNode, seed: int = 1, **bounds: float) -> NodeSelector:
    view = ControlView()
    for node in nodes:
        view.nodes = view.nodes.set(node.node.incarnation, node)
    random = Random(seed)
    slow_start = SlowStartLimiter(bounds.get("overshoot", 1.0), bounds.get("slack", 0.0), random)
    pool: Any = StubPool()
    observations = NodeObservations(view, OutlierDetector(random), slow_start)
    return NodeSelector(view, "r", random, pool, observations)


def choose_once(
    selector: NodeSelector, routed: RoutedRequest | None = None, now_s: float = NOW
) -> str | NoNode:
    choice = selector.choose(routed or RoutedRequest(ROUTE, SERVICE), (), now_s)
    return choice if isinstance(choice, NoNode) else choice.node.incarnation


def test_less_busy_of_two_takes_the_request() -> None:
    loads = {"a": 3, "b": 1}
    assert {less_busy_of_two("ab", loads, Random(seed)) for seed in range(50)} == {"b"}


def test_pairs_are_drawn_evenly_and_ties_broken_at_random() -> None:
    random = Random(3)
    # With 0, 1 and 2 requests in flight, a wins the pairs ab and ac, and b wins bc.
    counts = Counter(less_busy_of_two("abc", {"b": 1, "c": 2}, random) for _ in range(6000))
    assert counts["c"] == 0
    assert abs(counts["a"] - 4000) < 200
    ties = Counter(less_busy_of_two("abcd", {}, random) for _ in range(8000))
    assert all(abs(ties[name] - 2000) < 200 for name in "abcd")


def test_tie_break_decides_only_ties() -> None:
    random = Random(3)
    for _ in range(50):
        assert less_busy_of_two("ab", {}, random, lambda first, second: "a") == "a"
        assert less_busy_of_two("ab", {"a": 1}, random, lambda first, second: "a") == "b"
    assert {less_busy_of_two("ab", {}, random, lambda first, second: None) for _ in range(50)} == {"a", "b"}


def test_single_candidate_needs_no_draw() -> None:
    assert less_busy_of_two(["a"], {"a": 9}, Random(1)) == "a"


def test_failures_eject_the_local_node_until_a_request_succeeds() -> None:
    selector = make_selector(make_known_node("near"), make_known_node("far", "q"))
    selector.observations.outliers.record_broken_response("near", NOW)
    assert choose_once(selector) == "near"  # a single failure may be chance
    selector.observations.outliers.record_broken_response("near", NOW)
    assert choose_once(selector) == "far"
    later = NOW + 1.0
    assert choose_once(selector, now_s=later) == "near"  # the circuit is half-open
    near = selector.view.nodes["near"]
    selector.observations.record_selected(near, RoutedRequest(ROUTE, SERVICE), later)
    assert choose_once(selector, now_s=later) == "far"  # half-open: one request at a time
    selector.observations.outliers.record_recovered("near")
    assert choose_once(selector, now_s=later) == "near"


def test_ejection_time_doubles_up_to_a_bound() -> None:
    outliers = OutlierDetector(Random(1))
    waits = []
    now = NOW
    for _ in range(12):
        outliers.record_unreachable("a", now)
        began = now
        while not outliers.scheduled_health_checks(now):
            now += 0.01
        waits.append(now - began)
        assert outliers.is_ejected("a", now)  # the health check is a connect, not a request
    assert 0.29 < waits[0] < 0.52 and 0.58 < waits[1] < 1.02
    assert all(2.9 < wait < 5.1 for wait in waits[5:])
    outliers.record_recovered("a")
    assert not outliers.is_ejected("a", now)
    assert outliers.scheduled_health_checks(now + 100) == []


def test_rejection_makes_a_node_unusable_only_briefly() -> None:
    selector = make_selector(make_known_node("near"), make_known_node("far", "q"))
    for _ in range(5):
        selector.observations.outliers.record_at_capacity("near", NOW)
    assert choose_once(selector) == "far"
    assert choose_once(selector, now_s=NOW + 0.2) == "near"


def test_overloaded_node_is_avoided_for_long_prompts() -> None:
    selector = make_selector(make_known_node("slow"), make_known_node("fast"), make_known_node("far", "q"))
    selector.observations.overload.record_gap("slow", 0.39, None, 0.4, NOW)
    route = replace(ROUTE, inter_token_target_ms=400)
    long = RoutedRequest(route, SERVICE, (PromptSegment("p", LONG_PREFILL_TOKENS),))
    short = RoutedRequest(route, SERVICE, (PromptSegment("p", LONG_PREFILL_TOKENS - 1),))

    def chosen_nodes(routed: RoutedRequest) -> set[object]:
        choices = [selector.choose(routed, (), NOW) for _ in range(50)]
        return {choice.node.incarnation for choice in choices if not isinstance(choice, NoNode)}

    assert chosen_nodes(long) == {"fast"}
    assert chosen_nodes(short) == {"slow", "fast"}
    for _ in range(2):
        selector.observations.outliers.record_broken_response("fast", NOW)
    assert chosen_nodes(long) == {"far"}  # no preferred node is left in the proxy's region
    assert chosen_nodes(short) == {"slow"}
    selector.observations.overload.record_gap("far", 0.39, None, 0.4, NOW)
    assert chosen_nodes(long) == {"slow"}  # without any preferred node, overload is ignored


def test_ejected_nodes_are_used_if_all_nodes_are_ejected() -> None:
    selector = make_selector(make_known_node("near"), make_known_node("far", "q"))
    for name in ("near", "far"):
        selector.observations.outliers.record_unreachable(name, NOW)
    assert choose_once(selector) == "near"
    # The node is at capacity, so it is alive and not ejected, and panic routing ends.
    selector.observations.outliers.record_at_capacity("near", NOW)
    assert choose_once(selector) is NoNode.ALL_AT_CAPACITY


def test_nodes_where_the_request_failed_come_last() -> None:
    selector = make_selector(make_known_node("a"), make_known_node("b"))
    routed = RoutedRequest(ROUTE, SERVICE)
    for _ in range(20):
        choice = selector.choose(routed, {"a"}, NOW)
        assert not isinstance(choice, NoNode) and choice.node.incarnation == "b"
    single_node_selector = make_selector(make_known_node("a"))
    choice = single_node_selector.choose(routed, {"a"}, NOW)
    assert not isinstance(choice, NoNode) and choice.node.incarnation == "a"


def test_ties_go_to_the_node_with_the_prefix_cached() -> None:
    selector = make_selector(make_known_node("a"), make_known_node("b"))
    segments = (PromptSegment("11", 800), PromptSegment("22", 100))
    routed = RoutedRequest(ROUTE, SERVICE, segments)
    selector.observations.prefix_cache.record_forwarded((segments[0],), "a")
    selector.observations.prefix_cache.record_forwarded(segments, "b")
    assert {choose_once(selector, routed) for _ in range(20)} == {"b"}
    selector.observations.in_flight["b"] = 1
    assert {choose_once(selector, routed) for _ in range(20)} == {"a"}


@st.composite
def worlds(draw: st.DrawFn) -> tuple[NodeSelector, Route, frozenset[str]]:
    """Draw a selector over nodes in any state, a route, and the home regions of that route."""
    nodes = []
    for number in range(draw(st.integers(0, 7))):
        region = draw(st.sampled_from(["r", "q", "p"]))
        nodes.append(
            make_known_node(
                f"n{number}",
                region,
                f"zone-{region}-{draw(st.integers(1, 2))}",
                service=draw(st.sampled_from(["s", "s", "s", "other"])),
                state=draw(st.sampled_from([NodeState.ACCEPTING, NodeState.ACCEPTING, NodeState.DRAINING])),
                shutdown_at_s=draw(st.sampled_from([FOREVER, FOREVER, NOW - 1, NOW + 1])),
            )
        )
    selector = make_selector(*nodes, seed=draw(st.integers(0, 1000)))
    names = [node.node.incarnation for node in nodes]
    selector.view.evacuated_zones = frozenset(draw(st.sets(st.sampled_from(["zone-r-1", "zone-q-1"]))))
    if names:
        selector.pool.full = draw(st.sets(st.sampled_from(names)))  # type: ignore[attr-defined]
        for name in draw(st.sets(st.sampled_from(names))):
            selector.observations.outliers.record_unreachable(name, NOW)
        for name in draw(st.sets(st.sampled_from(names))):
            selector.observations.in_flight[name] = draw(st.integers(1, 4))
        home_regions = draw(st.sampled_from([frozenset[str](), frozenset({"q"}), frozenset({"r", "p"})]))
    else:
        home_regions = frozenset()
    return selector, replace(ROUTE, home_regions=home_regions), home_regions


def choosable_nodes(selector: NodeSelector, home_regions: frozenset[str]) -> set[str]:
    """Return the nodes that the design page allows to be chosen, computed without the code under test."""
    outliers = selector.observations.outliers
    ejected = {name for name in selector.view.nodes if outliers.is_ejected(name, NOW)}
    full = selector.pool.full  # type: ignore[attr-defined]
    allowed = {
        name: known_node.node.region
        for name, known_node in selector.view.nodes.items()
        if known_node.node.service == "s"
        and known_node.node.state.value == "accepting"
        and known_node.node.zone not in selector.view.evacuated_zones
        and known_node.shutdown_at_s > NOW
        and (known_node.node.region in home_regions or not home_regions)
    }
    unusable = full if allowed.keys() <= ejected else full | ejected
    usable = allowed.keys() - unusable
    group = {name for name in usable if allowed[name] == "r"} or usable
    if len(group) <= 1:
        return set(group)
    loads = {name: selector.observations.in_flight.get(name, 0) for name in group}
    # The busier of two drawn nodes never wins, so a node busier than all others is never chosen.
    second_highest_load = sorted(loads.values())[-2]
    return {name for name in group if loads[name] <= second_highest_load}


@settings(max_examples=300)
@given(worlds())
def test_choice_is_allowed_by_an_independent_model(world: tuple[NodeSelector, Route, frozenset[str]]) -> None:
    selector, route, home_regions = world
    allowed = choosable_nodes(selector, home_regions)
    choices = {choose_once(selector, RoutedRequest(route, SERVICE)) for _ in range(12)}
    if not allowed:
        assert all(isinstance(choice, NoNode) for choice in choices)
    else:
        assert choices <= allowed


@pytest.mark.parametrize("nodes", [2, 3, 6])
def test_every_node_that_the_model_allows_is_chosen_sometimes(nodes: int) -> None:
    selector = make_selector(
        *(make_known_node(f"n{number}") for number in range(nodes)), make_known_node("far", "q")
    )
    selector.observations.in_flight.update({"n0": 2, "n1": 1})
    assert {choose_once(selector) for _ in range(400)} == choosable_nodes(selector, frozenset())
