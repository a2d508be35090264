"""When the duty runner acquires, commits, calls and stops, in simulated time."""

from __future__ import annotations

from itertools import pairwise

import pytest
from duty_world import CALLS_PER_S, LEASE_S, OTHER, OWN, DutyWorld

from coveport.net.address import Address
from coveport.net.transport import ProtocolFactory
from coveport.serving.configuration.state import ControlState
from coveport.serving.coordinator.platform_client import CALL_TIMEOUT_S
from coveport.serving.duties.commands import AcquireDuties, RecordFleetOrders
from coveport.serving.duties.duty import CallOutcome
from coveport.serving.duties.lease import MARGIN_RATIO
from coveport.serving.duties.state import DutyState, FleetOrder
from coveport.serving.replication.identity import Epoch

HELD_BY_OTHER = DutyState(OTHER, 4)
WAIT_S = LEASE_S * (1 + MARGIN_RATIO)
ORDER = FleetOrder("s", "z", 3)


def test_a_call_names_its_holder_and_fence() -> None:
    world = DutyWorld()
    world.call()
    world.run(1.0)
    ((_, request),) = world.seen
    assert (request.method, request.target, request.body) == ("POST", "/fleet", b'{"Wanted":0}')
    assert (request.get("coveport-holder"), request.get("coveport-fence")) == ("one", "1")
    assert world.duty.outcomes == [CallOutcome.ACCEPTED]
    assert world.events("duties_acquired") == [{"holder": "one", "fence": 1}]


def test_the_lease_of_a_holder_before_is_waited_for() -> None:
    world = DutyWorld(HELD_BY_OTHER)
    world.call()
    world.run(WAIT_S - 0.1)
    assert (world.runtime.commands, world.seen) == ([], [])
    world.run(1.0)
    assert world.runtime.commands == [AcquireDuties(OWN, 4)]
    assert world.fences() == ["5"]


def test_another_view_of_its_own_changes_no_fence() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runtime.replica.view_epoch = Epoch(2, "d")
    world.run(0.5)
    world.call()
    world.run(0.5)
    assert world.fences() == ["1"]
    assert len(world.runtime.commands) == 1


def test_nothing_is_acquired_while_an_older_program_is_around() -> None:
    world = DutyWorld()
    world.reads_all = False
    world.run(10.0)
    assert world.runtime.commands == []
    world.reads_all = True
    world.call()
    world.run(1.0)
    assert world.fences() == ["1"]


def test_a_command_goes_before_the_call_that_follows_from_it() -> None:
    world = DutyWorld()
    world.duty.wanted = [lambda fence: RecordFleetOrders(fence, (ORDER,))]
    world.call()
    world.run(1.0)
    assert world.runtime.commands[-1] == RecordFleetOrders(1, (ORDER,))
    assert world.runtime.state.duties.fleet_orders == (ORDER,)
    assert len(world.seen) == 1


def test_no_call_is_made_while_a_command_has_no_outcome() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runtime.answers = False
    world.duty.wanted = [lambda fence: RecordFleetOrders(fence, (ORDER,))]
    world.call()
    world.run(1.0)
    assert world.seen == []


def test_calls_keep_to_the_rate_of_the_platform() -> None:
    world = DutyWorld()
    world.call(20)
    world.run(3.0)
    times_s = [at_s for at_s, _ in world.seen]
    assert len(times_s) == 20
    gaps_s = [later - earlier for earlier, later in pairwise(times_s)]
    assert min(gaps_s) > 0.9 / CALLS_PER_S


def test_without_confirmations_the_last_call_begins_within_the_lease() -> None:
    world = DutyWorld()
    world.run(2.0)
    world.runtime.answers = False
    world.call(100)
    world.run(10.0)
    newest_s = max(at_s for at_s, _ in world.seen)
    assert 2.0 + LEASE_S / 2 < newest_s < 2.0 + LEASE_S * (1 - MARGIN_RATIO)
    assert world.events("duties_lost") == [{"fence": 1, "reason": "not confirmed"}]


def test_a_call_without_an_answer_is_reset_where_the_lease_ends() -> None:
    world = DutyWorld()
    world.run(2.0)
    world.runtime.answers = False
    world.status = 0
    world.call()
    world.run(10.0)
    assert world.duty.outcomes == [CallOutcome.UNKNOWN]
    assert world.ended_at_s[0] < 2.0 + LEASE_S
    assert world.events("platform_call_failed")[0]["detail"] == "the lease ended"


def test_a_call_goes_on_while_the_lease_is_renewed() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.status = 0
    world.call()
    world.run(10.0)
    assert world.ended_at_s[0] - world.seen[0][0] == pytest.approx(CALL_TIMEOUT_S, abs=0.1)


def test_a_lost_primary_calls_no_more() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runtime.replica.is_primary = False
    world.call()
    world.run(10.0)
    assert world.seen == []
    assert world.events("duties_lost") == [{"fence": 1, "reason": "no longer primary"}]


def test_the_lease_is_checked_once_the_connection_is_there(monkeypatch: pytest.MonkeyPatch) -> None:
    world = DutyWorld()
    world.run(1.0)
    dial = world.net.dial

    async def lose_and_dial(factory: ProtocolFactory, address: Address) -> None:
        world.runtime.replica.is_primary = False
        await dial(factory, address)

    monkeypatch.setattr(world.net, "dial", lose_and_dial)
    world.call()
    world.run(5.0)
    assert (world.connected, world.seen) == (1, [])
    assert world.duty.outcomes == [CallOutcome.UNKNOWN]


def test_after_a_stall_nothing_is_called_before_a_confirmation() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runtime.answers = False
    world.runner.record_stall()
    world.call()
    world.run(1.0)
    assert world.seen == []
    assert world.events("duties_lost") == [{"fence": 1, "reason": "stalled"}]


def test_a_stall_takes_the_duties_over_anew() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runner.record_stall()
    world.call()
    world.run(1.0)
    assert world.fences() == ["1"]
    assert world.duty.takeovers == 2


def test_a_refused_fence_is_never_sent_again() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.status = 409
    world.call()
    world.run(0.5)
    world.status = 200
    world.call(3)
    world.run(LEASE_S - 1.0)
    assert world.fences() == ["1"]
    world.run(5.0)
    assert world.fences() == ["1", "2", "2", "2"]
    assert world.duty.outcomes[0] is CallOutcome.FENCED


def test_a_holder_that_is_replaced_in_the_state_becomes_a_follower_of_it() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runtime.state = ControlState(duties=HELD_BY_OTHER)
    world.run(1.5)
    world.call()
    world.run(0.5)
    assert world.seen == []


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
def test_a_status_becomes_its_outcome(status: int, outcome: CallOutcome) -> None:
    world = DutyWorld()
    world.status = status
    world.call()
    world.run(1.0)
    assert world.duty.outcomes == [outcome]


def test_a_stopped_runner_begins_no_call() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.runner.stop()
    world.call()
    world.run(2.0)
    assert world.seen == []


def test_a_closed_runner_resets_what_is_under_way() -> None:
    world = DutyWorld()
    world.run(1.0)
    world.status = 0
    world.call()
    world.run(0.5)
    assert (len(world.seen), world.ended_at_s) == (1, [])
    world.runner.close()
    world.run(0.5)
    assert len(world.ended_at_s) == 1


def test_status_tells_who_holds_the_duties() -> None:
    world = DutyWorld()
    world.call()
    world.run(1.0)
    told = world.runner.describe()
    assert (told["phase"], told["holder"], told["fence"], told["unsent_reports"]) == ("holding", "one", 1, 0)
    assert 0.0 < told["lease_left_s"] < LEASE_S
    assert (told["last_call"]["path"], told["last_call"]["outcome"]) == ("/fleet", "accepted")
