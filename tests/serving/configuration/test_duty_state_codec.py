"""The state of the singleton tasks within the acknowledged state: its encoding and commands."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveport.serving.configuration import state_codec
from coveport.serving.configuration.commands import (
    Command,
    EndEvacuation,
    PatchConfiguration,
    PutConfiguration,
    StartEvacuation,
    encode_command,
    is_singleton_command,
)
from coveport.serving.configuration.digest import DIGEST_BYTES
from coveport.serving.configuration.duty_state_codec import decode_singleton_state, encode_singleton_state
from coveport.serving.configuration.state import ControlState, without_singleton_state
from coveport.serving.configuration.state_codec import decode_state, encode_state
from coveport.serving.configuration.state_machine import apply
from coveport.serving.duties.commands import AcquireDuties, FixUsageReports, RecordFleetOrders
from coveport.serving.duties.state import FleetOrder, LeaseOwner, SingletonState, UsageReport
from coveport.serving.duties.state_machine import CommandRefusal, RefusalReason
from coveport.serving.model.telemetry import TenantCount
from coveport.serving.replication.state_machine import Applied, Refused
from coveport.serving.wire.errors import MalformedMessageError

OWNER = LeaseOwner("one", "a")
COUNTS = st.lists(st.builds(TenantCount, st.text(max_size=4), st.integers(0, 10**9)), max_size=4).map(tuple)
STATES = st.builds(
    SingletonState,
    st.one_of(st.none(), st.builds(LeaseOwner, st.text(max_size=4), st.text(max_size=4))),
    st.integers(0, 10**6),
    st.integers(-1, 10**9),
    st.lists(st.builds(UsageReport, st.integers(0, 10**9), COUNTS), max_size=4).map(tuple),
    st.lists(st.builds(FleetOrder, st.text(max_size=3), st.text(max_size=3), st.integers(0, 99))).map(tuple),
)


@given(STATES)
def test_an_encoded_state_is_decoded(singleton_state: SingletonState) -> None:
    assert decode_singleton_state(encode_singleton_state(singleton_state)) == singleton_state
    state = ControlState(b"{}", 3, frozenset({"hall"}), (), singleton_state)
    assert decode_state(encode_state(state)) == state


@given(STATES)
def test_a_program_before_version_5_reads_the_state_without_singleton_state(
    singleton_state: SingletonState,
) -> None:
    state = ControlState(b"{}", 3, frozenset({"hall"}), (), singleton_state)
    stored = encode_state(state)[1 + DIGEST_BYTES :]
    assert state_codec._CODEC.decode(stored) == state_codec._StoredState(b"{}", 3, ("hall",), b"")


def test_a_state_without_singleton_state_has_the_bytes_of_version_4() -> None:
    state = ControlState(b"{}", 3, frozenset(), (), SingletonState(OWNER, 1))
    before = state_codec._CODEC.encode(state_codec._StoredState(b"{}", 3, (), b""))
    assert encode_state(without_singleton_state(state))[1 + DIGEST_BYTES :] == before


@pytest.mark.parametrize(
    "data",
    [
        b"\xff",
        b"null",
        b"{}",
        b"[]",
        encode_singleton_state(SingletonState(OWNER, 1))[:-1],
        b'[["one"],1,-1,[],[]]',
        b'["one",1,-1,[],[]]',
        b"[null,true,-1,[],[]]",
        b"[null,1.0,-1,[],[]]",
        b"[null,1,-1,[[5]],[]]",
        b'[null,1,-1,[[5,[["tenant"]]]],[]]',
        b'[null,1,-1,[],[["s","z","6"]]]',
        b"[null,1,-1,5,[]]",
    ],
)
def test_malformed_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(MalformedMessageError):
        decode_singleton_state(data)


def test_a_singleton_command_keeps_the_configuration() -> None:
    state = ControlState(b"{}", 3, frozenset({"hall"}))
    applied = apply(state, encode_command(AcquireDuties(OWNER, 0)))
    assert isinstance(applied, Applied)
    assert applied.state == ControlState(b"{}", 3, frozenset({"hall"}), (), SingletonState(OWNER, 1))
    assert applied.result.status == 200


def test_a_refused_singleton_command_returns_the_fencing_token() -> None:
    refused = apply(ControlState(), encode_command(AcquireDuties(OWNER, 4)))
    assert refused == Refused(CommandRefusal(RefusalReason.FENCE_CHANGED, 0))


@pytest.mark.parametrize(
    ("command", "expected"),
    [
        (PutConfiguration(0, b"{}"), False),
        (PatchConfiguration(0, b"{}"), False),
        (StartEvacuation("hall"), False),
        (EndEvacuation("hall"), False),
        (AcquireDuties(OWNER, 0), True),
        (FixUsageReports(1, (), ()), True),
        (RecordFleetOrders(1, ()), True),
    ],
)
def test_singleton_commands_are_distinguished_from_others(command: Command, expected: bool) -> None:
    assert is_singleton_command(encode_command(command)) is expected
