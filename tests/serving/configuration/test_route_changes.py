"""A change of some routes gives the same result as reading and writing the whole configuration."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveport.serving.configuration import state_machine
from coveport.serving.configuration.commands import PatchConfiguration, PutConfiguration
from coveport.serving.configuration.document_cache import DocumentCache
from coveport.serving.configuration.reader import read_document
from coveport.serving.configuration.route_changes import apply_route_changes
from coveport.serving.configuration.state import ControlState, initial_state
from coveport.serving.configuration.state_machine import apply_command
from coveport.serving.model.findings import Refusal
from coveport.serving.replication.state_machine import Applied, Refused

NAMES = st.sampled_from(["a", "b", "c", "d", "é"])
ROUTES = st.fixed_dictionaries(
    {
        "Name": NAMES,
        "Host": st.sampled_from(["one.example", "ONE.example", "two.example"]),
        "PathPrefix": st.sampled_from(["/", "/x/", "/y/"]),
        "Kind": st.just("safe"),
        "DeadlineMs": st.sampled_from([1000, 2000.5]),
        "Service": st.sampled_from(["s", "t"]),
    },
    optional={"Extra": st.sampled_from([None, "ü", {"deep": [1, 2.5e-7]}]), "Tries": st.sampled_from([1, 2])},
)
INVALID_ROUTES = st.sampled_from(
    [
        {"Name": "a"},
        {"Name": 3},
        "none",
        {"Name": "a", "Host": "h", "PathPrefix": "x", "Kind": "safe", "DeadlineMs": 0, "Service": "u"},
    ]
)
SERVICES = [{"Name": "s", "MaxConns": 3}, {"Name": "t"}]
CHANGES = st.fixed_dictionaries(
    {"Edition": st.sampled_from([8, 9, 9, 9, 7, 0, "9", 9.0, True])},
    optional={
        "Upsert": st.one_of(
            st.fixed_dictionaries(
                {"Routes": st.lists(ROUTES, max_size=3)}, optional={"Services": st.just([])}
            ),
            st.fixed_dictionaries({"Routes": st.lists(st.one_of(ROUTES, INVALID_ROUTES), max_size=2)}),
            st.just({"Services": [{"Name": "u"}]}),
            st.just({"Limits": []}),
            st.just(None),
        ),
        "Remove": st.one_of(
            st.fixed_dictionaries({"Routes": st.lists(NAMES, max_size=2)}),
            st.just({"Routes": [1]}),
            st.just({"Services": ["t"]}),
        ),
        "Limits": st.just({"IdleMs": 5}),
    },
)


def configuration_text(routes: list[dict[str, Any]]) -> bytes:
    return json.dumps(
        {"Services": SERVICES, "Edition": 7, "Routes": routes, "Note": "kept", "Limits": {}}
    ).encode()


def put(routes: list[dict[str, Any]]) -> ControlState | None:
    outcome = apply_command(initial_state(), PutConfiguration(0, configuration_text(routes)))
    return outcome.state if isinstance(outcome, Applied) else None


def apply_by_full_validation(state: ControlState, command: PatchConfiguration) -> Applied | Refused:
    """Apply a command by reading and writing the whole configuration."""
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr(state_machine, "_patch_routes", lambda state, change: None)
        return apply_command(state, command)


@settings(max_examples=600, deadline=None)
@given(st.lists(ROUTES, max_size=4, unique_by=lambda route: route["Name"]), CHANGES)
def test_a_change_gives_the_same_state_and_findings_as_full_validation(
    routes: list[dict[str, Any]], change: dict[str, Any]
) -> None:
    state = put(routes)
    if state is None:
        return
    command = PatchConfiguration(7, json.dumps(change, ensure_ascii=False).encode())
    assert apply_command(state, command) == apply_by_full_validation(state, command)


def route(name: str, prefix: str, **more: Any) -> dict[str, Any]:
    plain = {"Name": name, "Host": "one.example", "PathPrefix": prefix, "Kind": "safe"}
    return {**plain, "DeadlineMs": 1000, "Service": "s", **more}


def test_a_change_of_routes_alone_leaves_the_rest_unread() -> None:
    document = read_document(configuration_text([route("a", "/a/"), route("b", "/b/"), route("c", "/c/")]))
    assert not isinstance(document, Refusal)
    upserts = [route("b", "/d/", Tries=2), route("e", "/c/")]
    change = {
        "Edition": 9,
        "Upsert": {"Routes": upserts, "Services": []},
        "Remove": {"Routes": ["c"], "Services": []},
    }
    changed = apply_route_changes(document, change)
    assert changed is not None
    assert [route.name for route in changed.configuration.routes] == ["a", "b", "e"]
    assert list(json.loads(changed.text())) == ["Services", "Edition", "Routes", "Note", "Limits"]
    assert json.loads(changed.text())["Routes"] == [route("a", "/a/"), *upserts]


def test_routes_with_the_same_host_and_prefix_are_left_to_the_full_validation() -> None:
    document = read_document(configuration_text([route("a", "/a/"), route("b", "/b/")]))
    assert not isinstance(document, Refusal)
    assert apply_route_changes(document, {"Edition": 9, "Upsert": {"Routes": [route("e", "/a/")]}}) is None
    taken_over = {
        "Edition": 9,
        "Upsert": {"Routes": [route("e", "/a/")]},
        "Remove": {"Routes": ["a"]},
    }
    assert apply_route_changes(document, taken_over) is not None


def test_the_two_newest_documents_are_cached() -> None:
    cache = DocumentCache()
    document = read_document(configuration_text([]))
    assert not isinstance(document, Refusal)
    for text in (b"1", b"2", b"2", b"3"):
        cache.add(text, document)
    assert cache.find(b"1") is None
    assert cache.find(b"2") is document
    assert cache.find(b"3") is document


def test_a_configuration_has_the_same_canonical_text_as_in_earlier_versions() -> None:
    state = put([route("a", "/a/", Extra={"z": "ü", "a": [1.50]})])
    assert state is not None
    assert (
        state.configuration_text
        == (
            '{"Services":[{"Name":"s","MaxConns":3},{"Name":"t"}],"Edition":7,"Routes":[{"Name":"a",'
            '"Host":"one.example","PathPrefix":"/a/","Kind":"safe","DeadlineMs":1000,"Service":"s",'
            '"Extra":{"z":"ü","a":[1.5]}}],"Note":"kept","Limits":{}}'
        ).encode()
    )
