"""Tenants of a configuration: read, patched, and kept as acknowledged state."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import pytest
from configuration_examples import Json, encode_json, make_configuration, route
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.configuration.commands import (
    Command,
    PatchConfiguration,
    PutConfiguration,
    encode_command,
)
from coveport.serving.configuration.reader import read_configuration, read_document
from coveport.serving.configuration.route_changes import apply_route_changes
from coveport.serving.configuration.state import ControlState, initial_state
from coveport.serving.configuration.state_codec import decode_state, encode_state
from coveport.serving.configuration.state_machine import apply
from coveport.serving.model.findings import Finding, Refusal
from coveport.serving.replication.state_machine import Applied


def tenant(name: str, *keys: str, **changed: Any) -> Json:
    """Return a tenant with these keys."""
    fields: Json = {"Name": name, "ApiKeys": list(keys), "Precedence": 1, "HomeRegions": []}
    return fields | changed


def with_tenants(*tenants: Any, edition: int = 7) -> Json:
    """Return a configuration with these tenants."""
    return make_configuration(edition, Senders=list(tenants))


def change(edition: int, upsert: list[Json] | None = None, remove: list[str] | None = None) -> bytes:
    """Return the body of a change of tenants alone."""
    return encode_json(
        {"Edition": edition, "Upsert": {"Senders": upsert or []}, "Remove": {"Senders": remove or []}}
    )


def findings(configuration: Json) -> tuple[Finding, ...]:
    """Return the findings of a configuration; none where it is valid."""
    read = read_configuration(encode_json(configuration))
    return read.findings if isinstance(read, Refusal) else ()


def run(state: ControlState, *commands: Command) -> tuple[ControlState, list[int]]:
    """Return the state after the commands, and the status of each."""
    statuses = []
    for command in commands:
        answer = apply(state, encode_command(command))
        state = answer.state if isinstance(answer, Applied) else state
        statuses.append(answer.result.status)
    return state, statuses


def stored(state: ControlState) -> Json:
    """Return the configuration stored in a state."""
    document: Json = json.loads(state.configuration_text or b"{}")
    return document


def state_with(*tenants: Json) -> ControlState:
    """Return a state whose configuration has these tenants, at edition 7."""
    state, statuses = run(initial_state(), PutConfiguration(0, encode_json(with_tenants(*tenants))))
    assert statuses == [200]
    return state


@pytest.mark.parametrize(
    "tenants",
    [
        [],
        [tenant("a")],
        [tenant("a"), tenant("b")],
        [tenant("a", "k1", "k2"), tenant("b", "k3")],
        [tenant("a", "k1"), tenant("b", "K1")],
        [tenant("a", "k1", "k1")],
        [{"Name": "a", "ApiKeys": ["k1"]}],
        [tenant("a", "k1", Unknown={"deep": [1, 2.5, None]})],
    ],
    ids=["none", "no key", "no keys", "three keys", "case", "one key twice", "defaults", "unknown field"],
)
def test_valid_tenants_are_accepted(tenants: list[Json]) -> None:
    assert findings(with_tenants(*tenants)) == ()


BAD_TENANTS: dict[str, tuple[Any, str]] = {
    "shared key": ([tenant("a", "k1"), tenant("b", "k2", "k1")], "Senders[1].ApiKeys[1]"),
    "same name": ([tenant("a", "k1"), tenant("a", "k2")], "Senders[1].Name"),
    "missing name": ([{"ApiKeys": ["k1"]}], "Senders[0].Name"),
    "name that is a number": ([tenant("a", Name=3)], "Senders[0].Name"),
    "empty name": ([tenant("", "k1")], "Senders[0].Name"),
    "empty key": ([tenant("a", "k1", "")], "Senders[0].ApiKeys[1]"),
    "key that is a number": ([tenant("a", ApiKeys=["k1", 7])], "Senders[0].ApiKeys"),
    "keys that are a string": ([tenant("a", ApiKeys="k1")], "Senders[0].ApiKeys"),
    "keys that are null": ([tenant("a", ApiKeys=None)], "Senders[0].ApiKeys"),
    "negative priority": ([tenant("a", Precedence=-1)], "Senders[0].Precedence"),
    "half a priority": ([tenant("a", Precedence=0.5)], "Senders[0].Precedence"),
    "regions as numbers": ([tenant("a", HomeRegions=[1])], "Senders[0].HomeRegions"),
    "a tenant that is a list": ([[]], "Senders[0]"),
    "tenants that are an object": ({"a": ["k1"]}, "Senders"),
    "tenants that are null": (None, "Senders"),
}


def test_each_kind_of_invalid_tenant_has_one_finding_at_its_location() -> None:
    locations = {
        kind: [finding.location for finding in findings(make_configuration(7, Senders=tenants))]
        for kind, (tenants, _) in BAD_TENANTS.items()
    }
    assert locations == {kind: [location] for kind, (_, location) in BAD_TENANTS.items()}


def test_every_key_that_is_shared_has_a_finding_that_does_not_repeat_the_key() -> None:
    key_findings = findings(
        with_tenants(tenant("a", "secret-1", "secret-2"), tenant("b", "secret-2"), tenant("c", "secret-1"))
    )
    assert [finding.location for finding in key_findings] == [
        "Senders[1].ApiKeys[0]",
        "Senders[2].ApiKeys[0]",
    ]
    assert not any("secret" in finding.message for finding in key_findings)


def test_a_configuration_with_a_shared_key_is_refused_and_changes_nothing() -> None:
    state = state_with(tenant("a", "k1"))
    bad = with_tenants(tenant("a", "k1"), tenant("b", "k1"), edition=9)
    assert run(state, PutConfiguration(7, encode_json(bad))) == (state, [400])


def test_a_patch_after_which_two_tenants_share_a_key_is_refused() -> None:
    state = state_with(tenant("a", "k1"), tenant("b", "k2"))
    sharing = {
        "taken from another": [tenant("b", "k1")],
        "given to a new one": [tenant("c", "k1")],
        "two new ones": [tenant("c", "k9"), tenant("d", "k9")],
    }
    outcomes = {
        name: run(state, PatchConfiguration(7, change(9, upserts))) for name, upserts in sharing.items()
    }
    assert outcomes == dict.fromkeys(sharing, (state, [400]))


@pytest.mark.parametrize("order", [1, -1], ids=["giver first", "taker first"])
def test_a_key_moves_between_two_tenants_in_one_patch(order: int) -> None:
    state = state_with(tenant("a", "k1", "k2"), tenant("b", "k3"))
    moved = [tenant("a", "k2"), tenant("b", "k3", "k1")]
    state, statuses = run(state, PatchConfiguration(7, change(9, moved[::order])))
    assert (statuses, stored(state)["Senders"]) == ([200], moved)


def test_the_key_of_a_removed_tenant_may_be_given_to_another_in_the_same_patch() -> None:
    state = state_with(tenant("a", "k1"), tenant("b", "k2"))
    state, statuses = run(state, PatchConfiguration(7, change(9, [tenant("c", "k1")], ["a"])))
    assert (statuses, stored(state)["Senders"]) == ([200], [tenant("b", "k2"), tenant("c", "k1")])


def test_a_tenant_is_replaced_at_its_position_and_completely() -> None:
    state = state_with(tenant("a", "k1"), tenant("b", "k2", Note="old"), tenant("c", "k3"))
    state, statuses = run(state, PatchConfiguration(7, change(9, [tenant("b", "k4"), tenant("d", "k5")])))
    assert statuses == [200]
    expected = [tenant("a", "k1"), tenant("b", "k4"), tenant("c", "k3"), tenant("d", "k5")]
    assert stored(state)["Senders"] == expected


def test_the_last_key_and_the_last_tenant_can_be_removed() -> None:
    state = state_with(tenant("a", "k1"))
    state, statuses = run(
        state,
        PatchConfiguration(7, change(9, [tenant("a")])),
        PatchConfiguration(9, change(11, remove=["a"])),
    )
    assert (statuses, stored(state)["Senders"]) == ([200, 200], [])


def test_a_change_of_tenants_succeeds_again_and_another_on_the_same_edition_does_not() -> None:
    revoke = PatchConfiguration(7, change(9, [tenant("a", "k2")]))
    other = PatchConfiguration(7, change(9, [tenant("a", "k1")]))
    state, statuses = run(state_with(tenant("a", "k1", "k2")), revoke, revoke, other)
    assert (statuses, stored(state)["Senders"]) == ([200, 200, 412], [tenant("a", "k2")])


def test_tenants_are_read_back_as_they_were_sent_and_outlast_a_change_of_routes() -> None:
    tenants = [tenant("é", "k1", Unknown={"ü": [1.5, None]}), tenant("b", "k2")]
    state, statuses = run(
        state_with(*tenants),
        PatchConfiguration(7, encode_json({"Edition": 9, "Upsert": {"Routes": [route("new")]}})),
    )
    assert statuses == [200]
    assert stored(state)["Senders"] == tenants
    assert decode_state(encode_state(state)) == state


def test_a_change_that_names_tenants_is_left_to_the_full_validation() -> None:
    document = read_document(encode_json(with_tenants(tenant("a", "k1"))))
    assert not isinstance(document, Refusal)
    for section in ({"Upsert": {"Senders": [tenant("b", "k1")]}}, {"Remove": {"Senders": ["a"]}}):
        assert apply_route_changes(document, {"Edition": 9, **section}) is None


NAMES = st.sampled_from("abc")
KEYS = st.sampled_from(["k1", "k2", "k3"])
TENANTS = st.builds(lambda name, keys: tenant(name, *sorted(keys)), NAMES, st.sets(KEYS, max_size=2))


@given(st.lists(st.tuples(st.lists(TENANTS, max_size=2), st.lists(NAMES, max_size=2)), max_size=8))
def test_no_sequence_of_changes_leaves_a_key_with_two_tenants(
    changes: list[tuple[list[Json], list[str]]],
) -> None:
    state = state_with(tenant("a", "k1"), tenant("b", "k2"))
    for upserts, removed in changes:
        body = change(state.edition + 1, upserts, removed)
        state, _ = run(state, PatchConfiguration(state.edition, body))
        key_counts = Counter(key for sender in stored(state)["Senders"] for key in sender["ApiKeys"])
        assert all(count == 1 for count in key_counts.values())


@pytest.mark.parametrize("name", ["", " a", "a ", "a\r\nX-Evil: 1", "a\tb", "a\x7f", "\u2003a"])
def test_a_name_that_can_not_be_sent_as_a_header_is_a_finding(name: str) -> None:
    raw = make_configuration(7, Senders=[{"Name": name, "ApiKeys": ["k"]}])
    read = read_configuration(encode_json(raw))
    assert isinstance(read, Refusal)
    assert [finding.location for finding in read.findings] == ["Senders[0].Name"]
