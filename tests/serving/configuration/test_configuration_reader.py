"""Reading and validation of whole configurations."""

from __future__ import annotations

import copy
from typing import Any

import dacite
import pytest
from configuration_examples import encode_json, make_configuration, route, service
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.configuration.raw_types import RawRoute
from coveport.serving.configuration.reader import MAX_FINDINGS, read_configuration
from coveport.serving.model.configuration import Configuration, RouteKind, WeightedService
from coveport.serving.model.findings import Refusal


def faults(raw: bytes) -> dict[str, str]:
    """Return the messages of findings by location; empty where the configuration is valid."""
    read = read_configuration(raw)
    return (
        {finding.location: finding.message for finding in read.findings} if isinstance(read, Refusal) else {}
    )


def read_valid(raw: bytes) -> Configuration:
    """Return the configuration, which must be valid."""
    read = read_configuration(raw)
    assert isinstance(read, Configuration), read
    return read


def test_a_complete_configuration_is_read() -> None:
    read = read_valid(encode_json(make_configuration(7)))
    plain, shared = read.routes
    assert (read.edition, len(read.services)) == (7, 1)
    assert (plain.name, plain.host, plain.path_prefix) == ("plain", "shop.example", "/plain/")
    assert (plain.kind, plain.timeout_ms, plain.max_attempts) == (RouteKind.STREAMING, 5000, 2)
    assert (plain.latency_target_ms, plain.inter_token_target_ms) == (800, 400)
    assert plain.home_regions == {"south"}
    assert plain.services == (WeightedService("model", 1.0),)
    assert shared.services == (WeightedService("model", 90), WeightedService("model", 10))
    engine = read.services[0].engine
    assert engine is not None
    assert (engine.slots, engine.kv_cache_tokens, engine.tokens_per_event) == (64, 227616, 5)
    assert (read.limits.body_bytes, read.limits.header_read_ms) == (4194304, 3000)


def test_fractions_and_whole_numbers_are_interchangeable() -> None:
    changed = make_configuration(7, route("a", DeadlineMs=1500.5, Tries=2.0, Precedence=1.0))
    changed["Services"] = [service(MaxConns=370.0, WarmupS=3)]
    read = read_valid(encode_json(changed))
    assert (read.routes[0].timeout_ms, read.routes[0].max_attempts) == (1500.5, 2)
    assert isinstance(read.routes[0].max_attempts, int)
    assert (read.services[0].max_connections, read.services[0].warm_up_s) == (370, 3)


def test_optional_fields_have_defaults() -> None:
    required = {
        key: route("a")[key] for key in ("Name", "Host", "PathPrefix", "Kind", "DeadlineMs", "Service")
    }
    read = read_valid(encode_json({"Edition": 1, "Routes": [required], "Services": [{"Name": "model"}]}))
    assert (read.routes[0].max_attempts, read.routes[0].home_regions) == (1, frozenset())
    assert read.services[0].engine is None
    assert read.limits.body_bytes == 4 * 1024 * 1024


def test_hosts_are_compared_without_case() -> None:
    assert (
        read_valid(encode_json(make_configuration(7, route("a", Host="Shop.Example")))).routes[0].host
        == "shop.example"
    )


def test_a_weight_of_0_beside_another_is_valid() -> None:
    shares = [{"Service": "model", "Share": 0}, {"Service": "model", "Share": 5}]
    assert (
        read_valid(encode_json(make_configuration(7, route("a", Shares=shares)))).routes[0].services[0].weight
        == 0
    )


def changed_route(**changed: Any) -> dict[str, Any]:
    """Return a configuration whose only route has changed fields."""
    return make_configuration(7, route("a", **changed))


def without(name: str) -> dict[str, Any]:
    """Return a configuration whose only route lacks a field."""
    return make_configuration(7, {key: value for key, value in route("a").items() if key != name})


BAD_CONFIGURATIONS = {
    "unknown service": (changed_route(Service="none"), "Routes[0].Service"),
    "unknown service among shares": (
        changed_route(Shares=[{"Service": "model", "Share": 1}, {"Service": "none", "Share": 1}]),
        "Routes[0].Shares[1].Service",
    ),
    "same host and path prefix": (
        make_configuration(7, route("a"), route("b", PathPrefix="/a/")),
        "Routes[1]",
    ),
    "same host in other case, same path prefix": (
        make_configuration(7, route("a"), route("b", PathPrefix="/a/", Host="SHOP.example")),
        "Routes[1]",
    ),
    "same name": (make_configuration(7, route("a"), route("a", Host="other.example")), "Routes[1].Name"),
    "same service": (make_configuration(7, Services=[service(), service()]), "Services[1].Name"),
    "no weight": (changed_route(Shares=[{"Service": "model", "Share": 0}]), "Routes[0].Shares"),
    "no shares": (
        {**without("Service"), "Routes": [{**without("Service")["Routes"][0], "Shares": []}]},
        "Routes[0].Shares",
    ),
    "negative weight": (
        changed_route(Shares=[{"Service": "model", "Share": -1}]),
        "Routes[0].Shares[0].Share",
    ),
    "a share without a weight": (changed_route(Shares=[{"Service": "model"}]), "Routes[0].Shares[0].Share"),
    "a share that is no object": (changed_route(Shares=["model"]), "Routes[0].Shares[0]"),
    "no timeout": (changed_route(DeadlineMs=0), "Routes[0].DeadlineMs"),
    "no timeout, as a fraction": (changed_route(DeadlineMs=0.0), "Routes[0].DeadlineMs"),
    "missing timeout": (without("DeadlineMs"), "Routes[0].DeadlineMs"),
    "negative timeout": (changed_route(DeadlineMs=-1), "Routes[0].DeadlineMs"),
    "timeout as text": (changed_route(DeadlineMs="5000"), "Routes[0].DeadlineMs"),
    "timeout as true": (changed_route(DeadlineMs=True), "Routes[0].DeadlineMs"),
    "timeout above the largest number": (changed_route(DeadlineMs=10**30), "Routes[0].DeadlineMs"),
    "missing name": (without("Name"), "Routes[0].Name"),
    "missing host": (without("Host"), "Routes[0].Host"),
    "empty host": (changed_route(Host=""), "Routes[0].Host"),
    "no service": (without("Service"), "Routes[0].Service"),
    "unknown kind": (changed_route(Kind="sometimes"), "Routes[0].Kind"),
    "prefix without slash": (changed_route(PathPrefix="/a"), "Routes[0].PathPrefix"),
    "half an attempt": (changed_route(Tries=1.5), "Routes[0].Tries"),
    "no attempt": (changed_route(Tries=0), "Routes[0].Tries"),
    "public as number": (changed_route(Public=1), "Routes[0].Public"),
    "pinned as number": (changed_route(Pinned=1), "Routes[0].Pinned"),
    "regions as numbers": (changed_route(HomeRegions=[1]), "Routes[0].HomeRegions"),
    "a route that is a list": (make_configuration(7, Routes=[[]]), "Routes[0]"),
    "routes that are an object": (make_configuration(7, Routes={}), "Routes"),
    "no routes": ({"Edition": 7, "Services": [service()]}, "Routes"),
    "no services": ({"Edition": 7, "Routes": []}, "Services"),
    "limits that are a list": (make_configuration(7, Limits=[]), "Limits"),
    "a limit that is text": (make_configuration(7, Limits={"IdleMs": "long"}), "Limits.IdleMs"),
    "an engine that is a list": (make_configuration(7, Services=[service(Engine=[])]), "Services[0].Engine"),
    "slots that are text": (
        make_configuration(7, Services=[service(Engine={"Berths": "x"})]),
        "Services[0].Engine.Berths",
    ),
    "no edition": ({"Routes": [], "Services": []}, "Edition"),
    "edition 0": (make_configuration(0), "Edition"),
    "edition below 0": (make_configuration(-3), "Edition"),
    "edition true": (make_configuration(True), "Edition"),
    "edition as text": (make_configuration(7, Edition="7"), "Edition"),
    "edition above the largest number": (make_configuration(10**30), "Edition"),
}


@pytest.mark.parametrize("kind", BAD_CONFIGURATIONS)
def test_each_kind_of_invalid_configuration_has_one_finding(kind: str) -> None:
    configuration, location = BAD_CONFIGURATIONS[kind]
    assert list(faults(encode_json(configuration))) == [location]


@pytest.mark.parametrize(
    "raw",
    [
        b"",
        encode_json(make_configuration(7))[:300],
        encode_json(make_configuration(7)) + b"}",
        b"[]",
        b"7",
        b"null",
        b"\xff\xfe{}",
        b'{"Edition":NaN}',
        b'{"Edition":1e999}',
        b'{"Edition":' + b"9" * 5000 + b"}",
        b'{"Name":"\\ud800"}',
        b'{"a":' * 100 + b"1" + b"}" * 100,
        b"[" * 100000,
    ],
)
def test_anything_but_a_json_object_is_refused_with_one_finding(raw: bytes) -> None:
    assert list(faults(raw)) == [""]


def test_every_truncated_configuration_is_refused() -> None:
    raw = encode_json(make_configuration(7))
    assert all(faults(raw[:end]) for end in range(len(raw)))


def test_all_faults_are_reported_together() -> None:
    bad = make_configuration(
        0, route("a", DeadlineMs=0, Service="none", Pinned=3, Host=None), route("b", Tries=0)
    )
    bad["Routes"].append(route("c", Shares=[{"Service": "none", "Share": -1}, {"Share": "x"}, 3]))
    bad["Routes"].append(route("b", PathPrefix="/b/"))
    bad["Services"].append({"Engine": {"Berths": -1, "stride": "x"}})
    bad["Limits"] = {"IdleMs": -1, "MaxBodyBytes": "x"}
    assert set(faults(encode_json(bad))) == {
        "Edition",
        "Routes[0].DeadlineMs",
        "Routes[0].Service",
        "Routes[0].Pinned",
        "Routes[0].Host",
        "Routes[1].Tries",
        "Routes[2].Shares[0].Service",
        "Routes[2].Shares[0].Share",
        "Routes[2].Shares[1].Service",
        "Routes[2].Shares[1].Share",
        "Routes[2].Shares[2]",
        "Routes[3]",
        "Routes[3].Name",
        "Services[1].Name",
        "Services[1].Engine.Berths",
        "Services[1].Engine.stride",
        "Limits.IdleMs",
        "Limits.MaxBodyBytes",
    }


def test_unreadable_services_do_not_make_every_route_invalid() -> None:
    assert list(faults(encode_json(make_configuration(7, Services=3)))) == ["Services"]
    assert list(faults(encode_json(make_configuration(7, Services=[service(MaxConns="x")])))) == [
        "Services[0].MaxConns"
    ]


def test_an_invalid_path_prefix_is_not_also_a_duplicate() -> None:
    bad = make_configuration(7, route("a", PathPrefix="/x"), route("b", PathPrefix="/x"))
    assert list(faults(encode_json(bad))) == ["Routes[0].PathPrefix", "Routes[1].PathPrefix"]


FIELD_FAULTS: dict[str, list[Any]] = {
    "Name": [None, 3, []],
    "Host": [None, 3, ""],
    "PathPrefix": [None, "a", "/a", "a/"],
    "Kind": [None, 3, "any"],
    "DeadlineMs": [None, 0, -1, True, "5", []],
    "TargetMs": [-1, True, "5", {}],
    "Precedence": [-1, 0.5, True, "0"],
    "Service": [3, "none"],
    "Tries": [0, -1, 1.5, True, "1"],
    "Pinned": [None, 0, "true"],
    "Resumable": [1, "false"],
    "gap_aim_ms": [-0.5, False, "400"],
    "HomeRegions": ["south", [None], {}],
}


@given(st.data())
def test_any_set_of_faults_in_routes_of_any_shape_is_found_completely(data: st.DataObject) -> None:
    """Only one route of each shape is checked in full, so routes of several shapes are mixed."""
    routes = []
    expected = set()
    for number in range(data.draw(st.integers(1, 5))):
        fields = route(f"r{number}")
        dropped = data.draw(st.sets(st.sampled_from(["TargetMs", "Tries", "HomeRegions", "Pinned"])))
        fields = {key: value for key, value in fields.items() if key not in dropped}
        for name in sorted(data.draw(st.sets(st.sampled_from(sorted(FIELD_FAULTS)), max_size=4))):
            fields[name] = data.draw(st.sampled_from(FIELD_FAULTS[name]))
            expected.add(f"Routes[{number}].{name}")
        routes.append(fields)
    assert set(faults(encode_json(make_configuration(7, *routes)))) == expected


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False, allow_infinity=False) | st.text(),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3),
    max_leaves=6,
)


@given(st.data())
def test_any_value_anywhere_is_accepted_or_refused_but_never_raises(data: st.DataObject) -> None:
    configuration = copy.deepcopy(make_configuration(7))
    container: Any = configuration
    while isinstance(container, dict | list) and container:
        keys = sorted(container) if isinstance(container, dict) else range(len(container))
        key = data.draw(st.sampled_from(keys))
        if data.draw(st.booleans()) or not isinstance(container[key], dict | list):
            container[key] = data.draw(JSON_VALUES)
            break
        container = container[key]
    read = read_configuration(encode_json(configuration))
    assert isinstance(read, Configuration) or read.findings


@given(JSON_VALUES)
def test_unknown_fields_are_accepted(value: Any) -> None:
    configuration = make_configuration(7, route("a", Tags=value), Extra=value, Services=[service(New=value)])
    assert read_valid(encode_json(configuration)).routes[0].name == "a"


def test_the_slow_check_is_made_once_for_each_shape_of_route(monkeypatch: pytest.MonkeyPatch) -> None:
    """The full check takes 0.1 ms, so it would block a coordinator for seconds with 4 MiB of routes."""
    calls = []
    slow_check = dacite.from_dict

    def counted(kind: type[Any], data: Any, config: dacite.Config) -> Any:
        calls.append(kind)
        return slow_check(kind, data, config)

    monkeypatch.setattr(dacite, "from_dict", counted)
    similar = [route(f"r{number}") for number in range(300)]
    weighted = [
        route(f"s{number}", Service=None, Shares=[{"Service": "model", "Share": 1}]) for number in range(300)
    ]
    assert len(read_valid(encode_json(make_configuration(7, *similar, *weighted))).routes) == 600
    assert calls.count(RawRoute) == 2
    assert len(calls) <= 8


def test_reading_stops_after_many_faults() -> None:
    refusal = read_configuration(b'{"Edition":1,"Services":[],"Routes":[' + b"{}," * MAX_FINDINGS + b"{}]}")
    assert isinstance(refusal, Refusal)
    assert len(refusal.findings) == MAX_FINDINGS
