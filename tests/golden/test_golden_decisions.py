"""The wire between the bench and the decision module is read and written as before."""

from __future__ import annotations

import io
import struct
from typing import Any, get_args

import pytest
from golden_decision_cases import ACTIONS, ITEMS, SETTINGS, item_batches
from golden_files import read_cases, read_file

from coveport import balancing
from coveport.balancing import simulator_codec, simulator_settings
from coveport.balancing.errors import WireError

BATCHES = read_cases("decision_batches.json")
REPLIES = read_cases("decision_replies.json")


def comparable(item: simulator_codec.Item) -> object:
    """Two of the items have no comparison of their own: their kind and their fields stand for them."""
    if isinstance(item, simulator_codec.Attach):
        return "attach", item.seed, item.info
    return "halt" if isinstance(item, simulator_codec.Halt) else item


def read(data: bytes) -> list[tuple[int, object]]:
    """The items of one batch, with the instance each is for."""
    found = simulator_codec.read_batch(io.BytesIO(data))
    assert found is not None
    now_ms, number, count, body = found
    assert (now_ms, number) == (240.5, 77)
    return [(instance, comparable(item)) for instance, item in simulator_codec.Decoder().decode(body, count)]


def codes(data: bytes) -> set[int]:
    """The codes of the first record after the selection of the instance, and of that itself."""
    assert struct.unpack_from("<H", data, 20) == (12,)
    return {12, *struct.unpack_from("<H", data, 24)}


@pytest.mark.parametrize("case", ITEMS)
def test_a_batch_is_read_as_before(case: str) -> None:
    assert read(BATCHES[case]) == [(513, comparable(ITEMS[case][1]))]


def test_every_record_and_outcome_has_a_golden_batch() -> None:
    assert item_batches() == BATCHES
    told = {code for data in BATCHES.values() for code in codes(data)}
    assert told == set(range(1, 13))
    items: list[Any] = [item for _, item in ITEMS.values()]
    assert {item.outcome for item in items if isinstance(item, balancing.Reply)} == set(balancing.Outcome)
    assert {item.kind for item in items if isinstance(item, balancing.EndpointUpdate)} == set(
        balancing.EndpointUpdateKind
    )


def test_what_is_no_record_is_refused_as_before() -> None:
    for code in (0, 13, 65):
        body = struct.pack("<HHH", 12, 513, code)
        with pytest.raises(WireError, match=f"unknown record code {code} at byte 4"):
            list(simulator_codec.Decoder().decode(body, 2))


@pytest.mark.parametrize("case", ACTIONS)
def test_an_action_is_written_as_before(case: str) -> None:
    assert simulator_codec.encode_action(ACTIONS[case]) == REPLIES[case]


def test_every_action_has_golden_bytes() -> None:
    assert {type(action) for action in ACTIONS.values()} == set(get_args(balancing.Action))
    assert REPLIES.keys() == {*ACTIONS, "selection", "fault", "reply", "empty reply"}


def test_a_reply_is_written_as_before() -> None:
    records = [
        simulator_codec.encode_select(513),
        *(simulator_codec.encode_action(action) for action in ACTIONS.values()),
    ]
    assert simulator_codec.encode_select(513) == REPLIES["selection"]
    assert simulator_codec.encode_fault("it failed: größe") == REPLIES["fault"]
    assert simulator_codec.encode_reply(77, records) == REPLIES["reply"]
    assert simulator_codec.encode_reply(78, []) == REPLIES["empty reply"]


def test_settings_are_read_as_before() -> None:
    assert simulator_settings.parse_settings(read_file("decision_settings.json")) == SETTINGS
