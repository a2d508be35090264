"""The acknowledged state: effects of commands, and its encoding."""

from __future__ import annotations

import json

import pytest
from configuration_examples import encode_json, make_configuration, route
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.configuration.commands import (
    Command,
    EndEvacuation,
    PatchConfiguration,
    PutConfiguration,
    StartEvacuation,
    decode_command,
    encode_command,
)
from coveport.serving.configuration.state import MAX_APPLIED_CHANGES, ControlState, initial_state
from coveport.serving.configuration.state_codec import decode_state, encode_state
from coveport.serving.configuration.state_machine import apply
from coveport.serving.replication.state_machine import Applied, Refused
from coveport.serving.wire.errors import MalformedMessageError


def put(if_match: int | None, edition: int) -> PutConfiguration:
    return PutConfiguration(if_match, encode_json(make_configuration(edition)))


def run(state: ControlState, *commands: Command) -> tuple[ControlState, list[int]]:
    """Return the state after the commands, and the status of each."""
    statuses = []
    for command in commands:
        answer = apply(state, encode_command(command))
        state = answer.state if isinstance(answer, Applied) else state
        assert answer.result.edition == state.edition
        assert (answer.result.status == 200) == isinstance(answer, Applied)
        assert bool(answer.result.findings) == isinstance(answer, Refused)
        statuses.append(answer.result.status)
    return state, statuses


def test_configurations_are_based_on_each_other() -> None:
    state, statuses = run(initial_state(), put(0, 5), put(5, 7))
    assert statuses == [200, 200]
    assert (state.edition, json.loads(state.configuration_text or b"")) == (7, make_configuration(7))


@pytest.mark.parametrize(
    ("command", "status"),
    [
        (put(4, 9), 412),
        (put(0, 9), 412),
        (put(8, 9), 412),
        (put(None, 9), 400),
        (put(7, 7), 400),
        (put(7, 6), 400),
        (PutConfiguration(7, encode_json(make_configuration(9))[:200]), 400),
        (PutConfiguration(7, encode_json(make_configuration(9, route("a", DeadlineMs=0)))), 400),
        (PatchConfiguration(6, encode_json({"Edition": 9})), 412),
        (PatchConfiguration(7, encode_json({"Edition": 7})), 400),
        (PatchConfiguration(7, encode_json([])), 400),
        (PatchConfiguration(7, encode_json({"Edition": 9, "Remove": {"Services": ["model"]}})), 400),
        (
            PatchConfiguration(
                7, encode_json({"Edition": 9, "Upsert": {"Routes": [route("x", PathPrefix="/plain/")]}})
            ),
            400,
        ),
    ],
)
def test_a_refused_change_changes_nothing(command: Command, status: int) -> None:
    state, _ = run(initial_state(), put(0, 7))
    assert run(state, command) == (state, [status])


def test_the_same_change_succeeds_again_even_after_newer_ones() -> None:
    patched = PatchConfiguration(5, encode_json({"Edition": 7, "Upsert": {"Routes": [route("new")]}}))
    state, statuses = run(initial_state(), put(0, 5), patched, put(7, 9))
    assert statuses == [200, 200, 200]
    assert run(state, put(0, 5), patched, put(7, 9)) == (state, [200, 200, 200])


def test_a_change_that_differs_in_method_edition_or_body_is_another() -> None:
    body = encode_json({"Edition": 9, "Routes": [], "Services": []})
    state, statuses = run(initial_state(), put(0, 5), PutConfiguration(5, body))
    assert statuses == [200, 200]
    for changed in (PatchConfiguration(5, body), PutConfiguration(0, body), PutConfiguration(5, body + b" ")):
        assert run(state, changed) == (state, [412])


def test_one_of_two_changes_based_on_the_same_edition_wins() -> None:
    first, second = put(5, 7), put(5, 8)
    state, statuses = run(initial_state(), put(0, 5), first, second, second, first)
    assert (state.edition, statuses) == (7, [200, 200, 412, 412, 200])


def test_a_configuration_is_handed_out_as_it_was_sent() -> None:
    sent = make_configuration(
        7, route("a", Unknown={"ü": [1.5, 10**20, None, "\U0001f600"]}), Extra=[{"Name": "x"}]
    )
    state, _ = run(initial_state(), PutConfiguration(0, encode_json(sent)))
    assert json.loads(state.configuration_text or b"") == sent
    change = {
        "Edition": 9,
        "Upsert": {"Routes": [route("b")], "Extra": [{"Name": "y"}]},
        "Remove": {"Routes": ["a"]},
    }
    state, _ = run(state, PatchConfiguration(7, encode_json(change)))
    expected = sent | {"Edition": 9, "Routes": [route("b")], "Extra": [{"Name": "x"}, {"Name": "y"}]}
    assert json.loads(state.configuration_text or b"") == expected


def test_evacuations_are_idempotent_and_keep_the_configuration() -> None:
    state, _ = run(initial_state(), put(0, 5))
    evacuated, statuses = run(
        state, StartEvacuation("hall"), StartEvacuation("hall"), StartEvacuation("cellar")
    )
    assert (evacuated.evacuated_zones, statuses) == (frozenset({"hall", "cellar"}), [200, 200, 200])
    restored, statuses = run(evacuated, EndEvacuation("hall"), EndEvacuation("hall"), EndEvacuation("cellar"))
    assert (restored, statuses) == (state, [200, 200, 200])


def test_only_the_newest_changes_are_recognised_again() -> None:
    state = initial_state()
    bodies = [
        encode_json({"Edition": edition, "Routes": [], "Services": []})
        for edition in range(MAX_APPLIED_CHANGES + 3)
    ]
    for edition in range(1, MAX_APPLIED_CHANGES + 2):
        state, statuses = run(state, PutConfiguration(edition - 1, bodies[edition]))
        assert statuses == [200]
    assert len(state.applied_changes) == MAX_APPLIED_CHANGES
    assert run(state, PutConfiguration(0, bodies[1]))[1] == [503], (
        "it was applied long ago: no definite answer"
    )
    assert run(state, PutConfiguration(1, bodies[2]))[1] == [200]
    assert run(state, PutConfiguration(2, bodies[MAX_APPLIED_CHANGES + 2]))[1] == [412], (
        "this change was never applied"
    )
    assert decode_state(encode_state(state)) == state


@pytest.mark.parametrize(
    "later", [MAX_APPLIED_CHANGES - 1, MAX_APPLIED_CHANGES, MAX_APPLIED_CHANGES + 1, 2 * MAX_APPLIED_CHANGES]
)
@pytest.mark.parametrize(
    "command", [put(1, 2), PatchConfiguration(1, encode_json({"Edition": 2, "Upsert": {"Routes": []}}))]
)
def test_a_command_sent_again_after_many_changes_is_never_refused(later: int, command: Command) -> None:
    """A command repeated after `later` changes gets 200 or no definite answer, and is not applied again."""
    state, _ = run(initial_state(), put(0, 1))
    state, statuses = run(state, command)
    assert statuses == [200]
    empty = [encode_json({"Edition": edition, "Upsert": {"Routes": []}}) for edition in range(3, later + 3)]
    for edition, body in enumerate(empty, start=3):
        state, statuses = run(state, PatchConfiguration(edition - 1, body))
        assert statuses == [200]
    after, statuses = run(state, command)
    assert statuses == ([200] if later < MAX_APPLIED_CHANGES else [503])
    assert after == state


COMMANDS = st.one_of(
    st.builds(put, st.integers(0, 4), st.integers(0, 5)),
    st.builds(
        lambda if_match, edition, name: PatchConfiguration(
            if_match, encode_json({"Edition": edition, "Upsert": {"Routes": [route(name)]}})
        ),
        st.integers(0, 4),
        st.integers(0, 5),
        st.sampled_from("ab"),
    ),
    st.builds(StartEvacuation, st.sampled_from("xy")),
    st.builds(EndEvacuation, st.sampled_from("xy")),
)


@given(st.lists(COMMANDS, max_size=12))
def test_states_and_commands_survive_encoding_and_editions_only_rise(commands: list[Command]) -> None:
    state = initial_state()
    for command in commands:
        assert decode_command(encode_command(command)) == command
        after, statuses = run(state, command)
        assert decode_state(encode_state(after)) == after
        again, repeated = run(decode_state(encode_state(after)), command)
        assert (again, repeated == [200]) == (after, statuses == [200])
        assert after.edition >= state.edition
        assert (after.edition == state.edition) == (after.configuration_text == state.configuration_text)
        state = after


def test_equal_states_have_equal_bytes() -> None:
    state, _ = run(initial_state(), *[StartEvacuation(zone) for zone in "abcdefgh"])
    same_state, _ = run(initial_state(), *[StartEvacuation(zone) for zone in "hgfedcba"])
    assert encode_state(state) == encode_state(same_state)


@pytest.mark.parametrize("data", [b"", b"\x00", b"\xff", encode_state(initial_state())[:-1]])
def test_bytes_without_a_state_are_malformed(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        decode_state(data)


def test_any_flipped_bit_of_a_state_is_detected() -> None:
    state, _ = run(initial_state(), put(0, 7), StartEvacuation("a"))
    data = encode_state(state)
    for offset in range(len(data)):
        for bit in range(8):
            flipped = bytearray(data)
            flipped[offset] ^= 1 << bit
            with pytest.raises(MalformedMessageError):
                decode_state(bytes(flipped))


def test_a_state_of_an_older_program_without_a_digest_is_read() -> None:
    state, _ = run(initial_state(), put(0, 7), StartEvacuation("a"))
    encoded = encode_state(state)
    assert decode_state(encoded[17:]) == state


WORDS = ["Name", "Routes", "Services", "Limits", "Edition", "Shares", "Service", "Engine", "x"]
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.sampled_from(WORDS), inner, max_size=3),
    max_leaves=8,
)
SECTIONS = st.dictionaries(st.sampled_from(WORDS), JSON_VALUES, max_size=3)
PATCHES = st.fixed_dictionaries({"Edition": st.just(9)}, optional={"Upsert": SECTIONS, "Remove": SECTIONS})


@given(
    st.one_of(st.binary(max_size=40), st.builds(encode_json, JSON_VALUES), st.builds(encode_json, PATCHES))
)
def test_any_body_is_answered_by_either_method(body: bytes) -> None:
    """An exception here would crash the primary, and then each backup that replaces it."""
    state, _ = run(initial_state(), put(0, 7))
    for command in (PutConfiguration(7, body), PatchConfiguration(7, body)):
        after, statuses = run(state, command)
        assert statuses[0] in (200, 400)
        assert decode_state(encode_state(after)) == after


@given(st.data())
def test_any_corruption_of_a_valid_body_is_answered(data: st.DataObject) -> None:
    body = bytearray(encode_json(make_configuration(9)))
    for _ in range(data.draw(st.integers(1, 3))):
        start = data.draw(st.integers(0, len(body) - 1))
        end = data.draw(st.integers(start, min(len(body), start + 8)))
        body[start:end] = data.draw(
            st.binary(max_size=4) | st.sampled_from([b"[", b"{", b"}", b"0", b"null"])
        )
    state, _ = run(initial_state(), put(0, 7))
    _, statuses = run(state, PutConfiguration(7, bytes(body)))
    assert statuses[0] in (200, 400)
