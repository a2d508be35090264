"""Patches, compared with an independent reference model."""

from __future__ import annotations

import copy
from typing import Any

import pytest
from configuration_examples import Json, make_configuration, route, service
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.configuration.patch import MAX_FINDINGS, apply_patch
from coveport.serving.model.findings import Refusal

NAMES = st.sampled_from("abcdef")
ITEMS = st.builds(lambda name, mark: {"Name": name, "Mark": mark}, NAMES, st.integers())
SECTIONS = st.sampled_from(["Routes", "Services", "Others"])


def reference_patch(current: Json, change: Json) -> Json:
    """Return the patched configuration, from a list of names in order and a map of the items."""
    result = copy.deepcopy(current)
    result["Edition"] = change["Edition"]
    sections = {**change.get("Remove", {}), **change.get("Upsert", {})}
    for section in sections:
        order = [item["Name"] for item in current.get(section, [])]
        items = {item["Name"]: item for item in current.get(section, [])}
        for name in change.get("Remove", {}).get(section, []):
            items.pop(name, None)
        order = [name for name in order if name in items]
        for item in change.get("Upsert", {}).get(section, []):
            order += [] if item["Name"] in items else [item["Name"]]
            items[item["Name"]] = item
        if section in current or section in change.get("Upsert", {}):
            result[section] = [items[name] for name in order]
    return result


@given(
    st.dictionaries(SECTIONS, st.lists(ITEMS, unique_by=lambda item: str(item["Name"]))),
    st.dictionaries(SECTIONS, st.lists(ITEMS)),
    st.dictionaries(SECTIONS, st.lists(NAMES)),
)
def test_a_patch_matches_the_reference_model(current: Json, upsert: Json, remove: Json) -> None:
    change = {"Edition": 9, "Upsert": upsert, "Remove": remove}
    current = {"Edition": 7, "Kept": {"as": "it is"}, **current}
    before = copy.deepcopy((current, change))
    assert apply_patch(current, change) == reference_patch(current, change)
    assert (current, change) == before


def test_an_item_is_replaced_at_its_position_and_completely() -> None:
    current = make_configuration(7, route("a"), route("b"), route("c"))
    patched = apply_patch(
        current, {"Edition": 9, "Upsert": {"Routes": [{"Name": "b", "Only": 1}, route("d")]}}
    )
    assert isinstance(patched, dict)
    assert patched["Routes"] == [route("a"), {"Name": "b", "Only": 1}, route("c"), route("d")]
    assert patched["Services"] == [service()]


def test_limits_are_replaced_completely_in_either_section() -> None:
    limits = {"IdleMs": 9}
    for change in ({"Edition": 9, "Limits": limits}, {"Edition": 9, "Upsert": {"Limits": limits}}):
        patched = apply_patch(make_configuration(7), change)
        assert isinstance(patched, dict)
        assert patched["Limits"] == limits


@pytest.mark.parametrize(
    ("change", "locations"),
    [
        ({}, ["Edition"]),
        ({"Edition": 9, "Upsert": []}, ["Upsert"]),
        ({"Edition": 9, "Remove": "r"}, ["Remove"]),
        ({"Edition": 9, "Upsert": {"Routes": {}}}, ["Upsert.Routes"]),
        ({"Edition": 9, "Upsert": {"Routes": [{"Host": "h"}, 3]}}, ["Upsert.Routes[0]", "Upsert.Routes[1]"]),
        ({"Edition": 9, "Upsert": {"Edition": [{"Name": "x"}]}}, ["Upsert.Edition"]),
        ({"Edition": 9, "Remove": {"Routes": "r"}}, ["Remove.Routes"]),
        ({"Edition": 9, "Remove": {"Routes": [3], "Limits": ["x"]}}, ["Remove.Routes", "Remove.Limits"]),
    ],
)
def test_each_fault_of_a_patch_has_a_finding(change: Any, locations: list[str]) -> None:
    patched = apply_patch(make_configuration(7), change)
    assert isinstance(patched, Refusal)
    assert [finding.location for finding in patched.findings] == locations


def test_reading_a_patch_stops_after_many_faults() -> None:
    refusal = apply_patch({}, {"Edition": 1, "Upsert": {"Routes": [{}] * (MAX_FINDINGS + 1)}})
    assert isinstance(refusal, Refusal)
    assert len(refusal.findings) == MAX_FINDINGS
