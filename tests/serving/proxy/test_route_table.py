"""Selection of routes by host and longest path prefix, and of services by weight."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.model.configuration import Configuration, Route, RouteKind, Service, WeightedService
from coveport.serving.proxy.route_table import RouteTable, choose_service, host_name

ROUTE = Route("r", "one.example", "/", RouteKind.SAFE, 1000, services=(WeightedService("s", 1),))
PREFIXES = ["/", "/a/", "/a/b/", "/a/b/c/", "/ab/", "/b/"]


@pytest.mark.parametrize(
    ("header", "name"),
    [
        ("one.example", "one.example"),
        ("ONE.Example:8080", "one.example"),
        ("one.example:", "one.example"),
        ("[::1]:80", "[::1]"),
        ("[::1]", "[::1]"),
        ("", ""),
    ],
)
def test_hosts_are_compared_without_case_and_port(header: str, name: str) -> None:
    assert host_name(header) == name


@given(
    st.sets(st.sampled_from(PREFIXES)),
    st.lists(st.sampled_from(["a", "b", "c", "ab", "x"]), max_size=4),
    st.booleans(),
    st.sampled_from(["", "?q=/a/b/"]),
)
def test_longest_prefix_of_the_path_wins(
    prefixes: set[str], steps: list[str], has_trailing_slash: bool, query: str
) -> None:
    routes = tuple(replace(ROUTE, name=prefix, path_prefix=prefix) for prefix in sorted(prefixes))
    table = RouteTable.of(Configuration(1, routes, (Service("s"),)))
    path = "/" + "/".join(steps) + ("/" if has_trailing_slash and steps else "")
    matching_prefixes = [prefix for prefix in prefixes if path[: len(prefix)] == prefix]
    route = table.find("one.example", path + query)
    assert (route.path_prefix if route is not None else None) == max(matching_prefixes, key=len, default=None)
    assert table.find("two.example", path) is None


def test_services_are_chosen_by_weight() -> None:
    weighted_services = (WeightedService("a", 90), WeightedService("none", 0), WeightedService("b", 10))
    random = Random(5)
    counts = Counter(
        choose_service(replace(ROUTE, services=weighted_services), random) for _ in range(10_000)
    )
    assert counts["none"] == 0 and abs(counts["b"] - 1000) < 150 and counts["a"] + counts["b"] == 10_000
    assert choose_service(replace(ROUTE, services=()), random) is None
    assert choose_service(replace(ROUTE, services=(WeightedService("a", 0),)), random) is None
