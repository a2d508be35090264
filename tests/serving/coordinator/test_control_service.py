"""Operators' commands where this coordinator leads, another does, or nobody does for now."""

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

CALLERS_WAIT_S = 1.0


class ScriptedRuntime:
    """A replica runtime whose outcome a test sets; without one it never answers."""

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
    runtime: ScriptedRuntime, ask: Callable[[ControlService], Coroutine[Any, Any, Any]], at: Any = None
) -> tuple[Any, float]:
    """What a call gives in simulated time, and after how long; `at`: when something happens, and what."""
    world = World()
    process = Process.start(world, "coordinator")
    net = SimpleNamespace(now_s=lambda: world.now)
    service = ControlService(net, runtime, dict)  # type: ignore[arg-type]
    began = world.now
    task = process.create_task(ask(service))
    if at is not None:
        world.at(began + at[0], at[1], process=process)
    ended: list[float] = []
    task.add_done_callback(lambda _: ended.append(world.now))
    world.run(began + 100)
    return task.result(), ended[0] - began


def test_the_primary_itself_is_not_elsewhere() -> None:
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    assert run(runtime, ControlService.find_other_primary) == (None, 0.0)


def test_another_primary_is_told_at_once() -> None:
    runtime = ScriptedRuntime()
    runtime.replica.primary_address = "10.0.0.2:7300"
    assert run(runtime, ControlService.find_other_primary) == ("10.0.0.2:7300", 0.0)


def test_where_nobody_leads_a_call_waits_for_a_primary_but_not_longer_than_its_caller() -> None:
    runtime = ScriptedRuntime()
    found, took_s = run(runtime, ControlService.find_other_primary)
    assert found is None
    assert PRIMARY_TIMEOUT_S <= took_s < CALLERS_WAIT_S - 0.08


def test_a_primary_that_comes_up_meanwhile_is_told() -> None:
    runtime = ScriptedRuntime()

    def elected() -> None:
        runtime.replica.primary_address = "10.0.0.3:7300"

    found, took_s = run(runtime, ControlService.find_other_primary, (0.5, elected))
    assert found == "10.0.0.3:7300"
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
def test_an_outcome_becomes_its_answer(outcome: Any, status: int) -> None:
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    runtime.outcome = outcome
    reply, _ = run(runtime, lambda service: service.submit(b""))
    assert reply.status == status


def test_what_is_refused_is_told_with_its_findings() -> None:
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    runtime.outcome = Refused(ChangeResult(412, 5, (Finding("If-Match", "the current edition is 5"),)))
    reply, _ = run(runtime, lambda service: service.submit(b""))
    assert json.loads(reply.body) == {"Edition": 5, "Error": ["If-Match: the current edition is 5"]}


def test_a_command_that_is_never_decided_is_unclear_and_not_refused() -> None:
    """Any 4xx would end the operator's tries though the change may be taken."""
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    reply, took_s = run(runtime, lambda service: service.submit(b""))
    assert reply.status == 503
    assert took_s == pytest.approx(OUTCOME_TIMEOUT_S)


def test_the_newest_configuration_is_handed_out_as_it_was_sent() -> None:
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    runtime.outcome = Newest(3, ControlState(configuration_text=b'{"Edition":7}', edition=7))
    reply, _ = run(runtime, ControlService.read_configuration)
    assert (reply.status, reply.body) == (200, b'{"Edition":7}')


def test_without_a_configuration_there_is_none_to_read() -> None:
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    runtime.outcome = Newest(0, ControlState())
    reply, _ = run(runtime, ControlService.read_configuration)
    assert reply.status == 404


def test_a_primary_that_hears_no_majority_starts_nothing_and_says_so_before_its_caller_gives_up() -> None:
    """It could only hold the caller, and the command might come into force after a later one elsewhere."""
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    runtime.replica.primary_address = "10.0.0.1:7300"  # its own
    runtime.has_quorum = False
    runtime.outcome = Done(ChangeResult(200, 7))
    found, took_s = run(runtime, ControlService.find_other_primary)
    assert found is None
    assert PRIMARY_TIMEOUT_S <= took_s < CALLERS_WAIT_S
    for ask in (lambda service: service.submit(b""), ControlService.read_configuration):
        reply, took_s = run(runtime, ask)
        assert (reply.status, took_s) == (503, 0.0)


def test_a_primary_that_hears_a_majority_again_takes_the_call_that_waited() -> None:
    runtime = ScriptedRuntime()
    runtime.replica.is_primary = True
    runtime.has_quorum = False

    def heal() -> None:
        runtime.has_quorum = True

    found, took_s = run(runtime, ControlService.find_other_primary, (0.4, heal))
    assert found is None
    assert 0.4 <= took_s < 0.45
