"""Operators' commands where this coordinator is primary, another one is, or no primary is elected."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Coroutine
from types import SimpleNamespace
from typing import Any

import pytest

from coveport.serving.configuration.state import ChangeResult, ControlState
from coveport.serving.coordinator.control_service import OUTCOME_TIMEOUT_S, PRIMARY_TIMEOUT_S, ControlService
from coveport.serving.model.findings import Finding
from coveport.serving.replication.events import Done, Newest, NotPrimary, OutcomeUnknown
from coveport.serving.replication.state_machine import Refused
from coveport.testbed.simulated_network.world import Process, World

CALLER_TIMEOUT_S = 1.0


class ScriptedRuntime:
    """A replica runtime with an outcome that a test sets; without an outcome it never responds."""

    def __init__(self) -> None:
        self.has_quorum = True
        self.replica = SimpleNamespace(
            is_primary=False, primary_address=None, has_quorum=lambda now_s: self.has_quorum
        )
        self.outcome: Any = None

    async def submit(self, command: bytes) -> Any:
        return await self.read_newest()

    async def read_newest(self) -> Any:
        if self.outcome is None:
            await asyncio.Event().wait()
        return self.outcome


def run(
    runtime: ScriptedRuntime,
    call: Callable[[ControlService], Coroutine[Any, Any, Any]],
    step: tuple[float, Callable[[], None]] | None = None,
) -> tuple[Any, float]:
    """Return a call's result and its duration in simulated seconds.

    `step`: a delay in seconds, and a change that is made after it, during the call.
    """
    world = World()
    process = Process.start(world, "coordinator")
    net = SimpleNamespace(now_s=lambda: world.now)
    service = ControlService(net, runtime, dict)  # type: ignore[arg-type]
    started_s = world.now
    task = process.create_task(call(service))
    if step is not None:
        delay_s, change = step
        world.at(started_s + delay_s, change, process=process)
    ended_s: list[float] = []
    task.add_done_callback(lambda _: ended_s.append(world.now))
    world.run(started_s + 100)
    return task.result(), ended_s[0] - started_s


def test_no_other_primary_is_found_at_the_primary_itself() -> None:
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    assert run(runtime, ControlService.find_other_primary) == (None, 0.0)


def test_another_primary_is_found_at_once() -> None:
    runtime = ScriptedRuntime()
    runtime.replica.primary_address = "10.0.0.2:7300"
    assert run(runtime, ControlService.find_other_primary) == ("10.0.0.2:7300", 0.0)


def test_without_a_primary_a_call_waits_for_one_but_not_longer_than_its_caller() -> None:
    runtime = ScriptedRuntime()
    address, took_s = run(runtime, ControlService.find_other_primary)
    assert address is None
    assert PRIMARY_TIMEOUT_S <= took_s < CALLER_TIMEOUT_S - 0.08


def test_primary_that_is_elected_during_the_wait_is_found() -> None:
    runtime = ScriptedRuntime()

    def elect() -> None:
        runtime.replica.primary_address = "10.0.0.3:7300"

    address, took_s = run(runtime, ControlService.find_other_primary, (0.5, elect))
    assert address == "10.0.0.3:7300"
    assert 0.5 <= took_s < 0.55


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        (Done(ChangeResult(200, 7)), 200),
        (Refused(ChangeResult(412, 5, (Finding("If-Match", "stale"),))), 412),
        (Refused(ChangeResult(400, 5, (Finding("Edition", "not above"),))), 400),
        (NotPrimary(None), 503),
        (OutcomeUnknown(), 503),
    ],
)
def test_outcome_maps_to_its_status(outcome: Any, status: int) -> None:
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    runtime.outcome = outcome
    response, _ = run(runtime, lambda service: service.submit(b""))
    assert response.status == status


def test_refused_command_returns_its_findings() -> None:
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    runtime.outcome = Refused(ChangeResult(412, 5, (Finding("If-Match", "the current edition is 5"),)))
    response, _ = run(runtime, lambda service: service.submit(b""))
    assert json.loads(response.body) == {"Edition": 5, "Error": ["If-Match: the current edition is 5"]}


def test_command_without_an_outcome_returns_503_after_the_time_out() -> None:
    """Any 4xx would end the operator's retries though the change may be committed."""
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    response, took_s = run(runtime, lambda service: service.submit(b""))
    assert response.status == 503
    assert took_s == pytest.approx(OUTCOME_TIMEOUT_S)


def test_newest_configuration_is_returned_as_it_was_submitted() -> None:
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    runtime.outcome = Newest(3, ControlState(configuration_text=b'{"Edition":7}', edition=7))
    response, _ = run(runtime, ControlService.read_configuration)
    assert (response.status, response.body) == (200, b'{"Edition":7}')


def test_read_without_a_configuration_returns_404() -> None:
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    runtime.outcome = Newest(0, ControlState())
    response, _ = run(runtime, ControlService.read_configuration)
    assert response.status == 404


def test_primary_without_quorum_starts_nothing_and_responds_before_its_caller_times_out() -> None:
    """The command would have no outcome in time, and might be committed after one of another primary."""
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    runtime.replica.primary_address = "10.0.0.1:7300"  # of this coordinator
    runtime.has_quorum = False
    runtime.outcome = Done(ChangeResult(200, 7))
    address, took_s = run(runtime, ControlService.find_other_primary)
    assert address is None
    assert PRIMARY_TIMEOUT_S <= took_s < CALLER_TIMEOUT_S
    for call in (lambda service: service.submit(b""), ControlService.read_configuration):
        response, took_s = run(runtime, call)
        assert (response.status, took_s) == (503, 0.0)


def test_call_waits_until_the_primary_has_a_quorum_again() -> None:
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    runtime.has_quorum = False

    def restore_quorum() -> None:
        runtime.has_quorum = True

    address, took_s = run(runtime, ControlService.find_other_primary, (0.4, restore_quorum))
    assert address is None
    assert 0.4 <= took_s < 0.45
