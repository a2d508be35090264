"""The state of the duties within the acknowledged state: its bytes, and commands among the others."""

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

HOLDER = LeaseOwner("one", "a")
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
def test_a_state_is_read_back(duties: SingletonState) -> None:
    assert decode_singleton_state(encode_singleton_state(duties)) == duties
    state = ControlState(b"{}", 3, frozenset({"hall"}), (), duties)
    assert decode_state(encode_state(state)) == state


@given(STATES)
def test_a_program_before_version_5_reads_the_state_without_the_duties(duties: SingletonState) -> None:
    state = ControlState(b"{}", 3, frozenset({"hall"}), (), duties)
    stored = encode_state(state)[1 + DIGEST_BYTES :]
    assert state_codec._CODEC.decode(stored) == state_codec._StoredState(b"{}", 3, ("hall",), b"")


def test_a_state_without_duties_has_the_bytes_of_version_4() -> None:
    state = ControlState(b"{}", 3, frozenset(), (), SingletonState(HOLDER, 1))
    before = state_codec._CODEC.encode(state_codec._StoredState(b"{}", 3, (), b""))
    assert encode_state(without_singleton_state(state))[1 + DIGEST_BYTES :] == before


@pytest.mark.parametrize(
    "data",
    [
        b"\xff",
        b"null",
        b"{}",
        b"[]",
        encode_singleton_state(SingletonState(HOLDER, 1))[:-1],
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


def test_a_duty_command_leaves_the_configuration_as_it_is() -> None:
    state = ControlState(b"{}", 3, frozenset({"hall"}))
    applied = apply(state, encode_command(AcquireDuties(HOLDER, 0)))
    assert isinstance(applied, Applied)
    assert applied.state == ControlState(b"{}", 3, frozenset({"hall"}), (), SingletonState(HOLDER, 1))
    assert applied.result.status == 200


def test_a_refused_duty_command_tells_the_fence() -> None:
    refused = apply(ControlState(), encode_command(AcquireDuties(HOLDER, 4)))
    assert refused == Refused(CommandRefusal(RefusalReason.FENCE_CHANGED, 0))


@pytest.mark.parametrize(
    ("command", "expected"),
    [
        (PutConfiguration(0, b"{}"), False),
        (PatchConfiguration(0, b"{}"), False),
        (StartEvacuation("hall"), False),
        (EndEvacuation("hall"), False),
        (AcquireDuties(HOLDER, 0), True),
        (FixUsageReports(1, (), ()), True),
        (RecordFleetOrders(1, ()), True),
    ],
)
def test_commands_of_the_duties_are_told_from_others(command: Command, expected: bool) -> None:
    assert is_singleton_command(encode_command(command)) is expected
