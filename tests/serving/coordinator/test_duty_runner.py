"""The duty runner in simulated time: acquisition, commands, calls, lost leases and stops."""

from __future__ import annotations

from itertools import pairwise

import pytest
from duty_world import CALLS_PER_S, LEASE_S, OTHER_HOLDER, OWN_HOLDER, DutyWorld

from coveport.net.address import Address
from coveport.net.transport import ProtocolFactory
from coveport.serving.configuration.state import ControlState
from coveport.serving.coordinator.platform_client import CALL_TIMEOUT_S
from coveport.serving.duties.commands import AcquireDuties, RecordFleetOrders
from coveport.serving.duties.duty import CallOutcome
from coveport.serving.duties.lease import MARGIN_RATIO
from coveport.serving.duties.state import FleetOrder, SingletonState
from coveport.serving.replication.identity import Epoch

HELD_BY_OTHER = SingletonState(OTHER_HOLDER, 4)
ACQUISITION_DELAY_S = LEASE_S * (1 + MARGIN_RATIO)
ORDER = FleetOrder("s", "z", 3)


def test_call_contains_holder_and_fence() -> None:
    world = DutyWorld()
    world.queue_calls()
    world.run(1.0)
    ((_, request),) = world.requests
    assert (request.method, request.target, request.body) == ("POST", "/fleet", b'{"Wanted":0}')
    assert (request.get("coveport-holder"), request.get("coveport-fence")) == ("one", "1")
    assert world.duty.outcomes == [CallOutcome.ACCEPTED]
    assert world.events("duties_acquired") == [{"holder": "one", "fence": 1}]


def test_acquisition_waits_until_the_previous_lease_has_expired() -> None:
    world = DutyWorld(HELD_BY_OTHER)
    world.queue_calls()
    world.run(ACQUISITION_DELAY_S - 0.1)
    assert (world.runtime.commands, world.requests) == ([], [])
    world.run(1.0)
    assert world.runtime.commands == [AcquireDuties(OWN_HOLDER, 4)]
    assert world.fences() == ["5"]


def test_new_view_with_the_same_primary_keeps_the_fence() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runtime.replica.view_epoch = Epoch(2, "d")
    world.run(0.5)
    world.queue_calls()
    world.run(0.5)
    assert world.fences() == ["1"]
    assert len(world.runtime.commands) == 1


def test_nothing_is_acquired_while_a_coordinator_has_an_older_version() -> None:
    world = DutyWorld()
    world.all_support_duties = False
    world.run(10.0)
    assert world.runtime.commands == []
    world.all_support_duties = True
    world.queue_calls()
    world.run(1.0)
    assert world.fences() == ["1"]


def test_command_is_committed_before_the_next_call() -> None:
    world = DutyWorld()
    world.duty.make_commands = [lambda fence: RecordFleetOrders(fence, (ORDER,))]
    world.queue_calls()
    world.run(1.0)
    assert world.runtime.commands[-1] == RecordFleetOrders(1, (ORDER,))
    assert world.runtime.state.singleton_state.fleet_orders == (ORDER,)
    assert len(world.requests) == 1


def test_no_call_is_made_while_a_command_has_no_outcome() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runtime.is_responding = False
    world.duty.make_commands = [lambda fence: RecordFleetOrders(fence, (ORDER,))]
    world.queue_calls()
    world.run(1.0)
    assert world.requests == []


def test_calls_keep_to_the_rate_limit_of_the_platform() -> None:
    world = DutyWorld()
    world.queue_calls(20)
    world.run(3.0)
    times_s = [at_s for at_s, _ in world.requests]
    assert len(times_s) == 20
    gaps_s = [later - earlier for earlier, later in pairwise(times_s)]
    assert min(gaps_s) > 0.9 / CALLS_PER_S


def test_without_confirmations_the_last_call_begins_within_the_lease() -> None:
    world = DutyWorld()
    world.run(2.0)
    world.runtime.is_responding = False
    world.queue_calls(100)
    world.run(10.0)
    last_call_s = max(at_s for at_s, _ in world.requests)
    assert 2.0 + LEASE_S / 2 < last_call_s < 2.0 + LEASE_S * (1 - MARGIN_RATIO)
    assert world.events("duties_lost") == [{"fence": 1, "reason": "not confirmed"}]


def test_call_without_a_response_is_reset_when_the_lease_ends() -> None:
    world = DutyWorld()
    world.run(2.0)
    world.runtime.is_responding = False
    world.response_status = 0
    world.queue_calls()
    world.run(10.0)
    assert world.duty.outcomes == [CallOutcome.UNKNOWN]
    assert world.connection_ends_s[0] < 2.0 + LEASE_S
    assert world.events("platform_call_failed")[0]["detail"] == "the lease ended"


def test_call_continues_while_the_lease_is_renewed() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.response_status = 0
    world.queue_calls()
    world.run(10.0)
    assert world.connection_ends_s[0] - world.requests[0][0] == pytest.approx(CALL_TIMEOUT_S, abs=0.1)


def test_coordinator_that_is_no_longer_primary_makes_no_calls() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runtime.replica.is_primary = False
    world.queue_calls()
    world.run(10.0)
    assert world.requests == []
    assert world.events("duties_lost") == [{"fence": 1, "reason": "no longer primary"}]


def test_lease_is_checked_again_after_the_connection_is_established(monkeypatch: pytest.MonkeyPatch) -> None:
    world = DutyWorld()
    world.run(1.0)
    dial = world.net.dial

    async def lose_primary_and_dial(factory: ProtocolFactory, address: Address) -> None:
        world.runtime.replica.is_primary = False
        await dial(factory, address)

    monkeypatch.setattr(world.net, "dial", lose_primary_and_dial)
    world.queue_calls()
    world.run(5.0)
    assert (world.connection_count, world.requests) == (1, [])
    assert world.duty.outcomes == [CallOutcome.UNKNOWN]


def test_after_a_stall_no_call_is_made_before_a_confirmation() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runtime.is_responding = False
    world.runner.record_stall()
    world.queue_calls()
    world.run(1.0)
    assert world.requests == []
    assert world.events("duties_lost") == [{"fence": 1, "reason": "stalled"}]


def test_duties_are_taken_over_again_after_a_stall() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runner.record_stall()
    world.queue_calls()
    world.run(1.0)
    assert world.fences() == ["1"]
    assert world.duty.takeovers == 2


def test_a_refused_fence_is_never_sent_again() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.response_status = 409
    world.queue_calls()
    world.run(0.5)
    world.response_status = 200
    world.queue_calls(3)
    world.run(LEASE_S - 1.0)
    assert world.fences() == ["1"]
    world.run(5.0)
    assert world.fences() == ["1", "2", "2", "2"]
    assert world.duty.outcomes[0] is CallOutcome.FENCED


def test_holder_that_is_replaced_in_the_committed_state_makes_no_calls() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runtime.state = ControlState(singleton_state=HELD_BY_OTHER)
    world.run(1.5)
    world.queue_calls()
    world.run(0.5)
    assert world.requests == []


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (204, CallOutcome.ACCEPTED),
        (429, CallOutcome.THROTTLED),
        (400, CallOutcome.REJECTED),
        (422, CallOutcome.REJECTED),
        (404, CallOutcome.UNKNOWN),
        (408, CallOutcome.UNKNOWN),
        (500, CallOutcome.UNKNOWN),
        (503, CallOutcome.UNKNOWN),
    ],
)
def test_response_status_maps_to_its_outcome(status: int, outcome: CallOutcome) -> None:
    world = DutyWorld()
    world.response_status = status
    world.queue_calls()
    world.run(1.0)
    assert world.duty.outcomes == [outcome]


def test_stopped_runner_starts_no_call() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runner.stop()
    world.queue_calls()
    world.run(2.0)
    assert world.requests == []


def test_closed_runner_resets_the_call_in_flight() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.response_status = 0
    world.queue_calls()
    world.run(0.5)
    assert (len(world.requests), world.connection_ends_s) == (1, [])
    world.runner.close()
    world.run(0.5)
    assert len(world.connection_ends_s) == 1


def test_status_contains_the_holder_and_the_lease() -> None:
    world = DutyWorld()
    world.queue_calls()
    world.run(1.0)
    described = world.runner.describe()
    assert (described["phase"], described["holder"], described["fence"], described["unsent_reports"]) == (
        "holding",
        "one",
        1,
        0,
    )
    assert 0.0 < described["lease_left_s"] < LEASE_S
    assert (described["last_call"]["path"], described["last_call"]["outcome"]) == ("/fleet", "accepted")
