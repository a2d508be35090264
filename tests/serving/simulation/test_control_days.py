"""Five guarantees of the control plane under severe faults, tested with the real programs.

Each test first asserts that the intended situation occurred, then that the day broke no rule, then the
guarantee itself.
"""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable, Collection
from typing import Any
from unittest import mock

import pytest
from linearizability import is_linearizable
from operator_history import operations

from coveport.http1 import write_request
from coveport.net.address import Address
from coveport.serving.configuration.state import ControlState
from coveport.serving.coordinator.coordinator import Coordinator
from coveport.serving.membership.node_table import NodeTable
from coveport.serving.model.node import Node
from coveport.serving.replication.identity import Epoch
from coveport.serving.simulation.deployment import Deployment
from coveport.serving.simulation.events import HeartbeatAnswered, Order, OrderEnded, OrderStarted, Verdict
from coveport.serving.simulation.exchange import call
from coveport.serving.simulation.faults import FaultInjector
from coveport.serving.simulation.machines import Machine
from coveport.serving.simulation.world import DayResult, SimulatedDeployment
from coveport.serving.simulation.zones import Zone
from coveport.serving.wire.frames import write_frame
from coveport.serving.wire.messages import CODEC, TableRequest
from coveport.serving.wire.names import Heartbeat, Path

AT_S = 3.0
LONG_PARTITION_S = 21.0
SEEDS_BY_COORDINATOR = (1, 1, 2)  # by isolated coordinator; the node reports its leave to another coordinator


class ControlDay:
    """A simulated day with access to the state of its coordinators."""

    def __init__(self, seed: int, **parameters: object) -> None:
        self.day = SimulatedDeployment(Deployment(**parameters), seed)  # type: ignore[arg-type]
        self.faults = FaultInjector(self.day)

    def play(self, length_s: float) -> DayResult:
        result = self.day.play(length_s)
        assert list(result.problems) == []
        assert [str(breach) for breach in result.breaches] == []
        return result

    def at(self, at_s: float, step: Callable[[], object]) -> None:
        self.day.at(at_s, step)

    def order(self, at_s: float, step: Callable[[], object]) -> None:
        """Schedule a call or coroutine on the machine of the first operator."""
        self.day.at(at_s, lambda: self.day.run_operator(self.day.operators[0], step))

    def program(self, machine: Machine) -> Coordinator:
        assert isinstance(machine.program, Coordinator)
        return machine.program

    def state(self, machine: Machine) -> ControlState:
        state: ControlState = self.program(machine)._replica._context.committed_log.state
        return state

    def primary(self) -> Machine:
        return next(
            coordinator
            for coordinator in self.day.coordinators
            if self.program(coordinator)._replica.is_primary
        )

    def control(self, machine: Machine) -> Address:
        return (machine.spot.ip, self.day.deployment.ports.control)

    def listed(self, machine: Machine) -> set[str]:
        """Return the incarnations of the nodes that a coordinator lists to its proxies."""
        return {
            entry.node.incarnation
            for entry in self.program(machine).table.entries()
            if entry.node.state.value == "accepting"
        }


# -- 1. A coordinator isolated for about twenty seconds --


@pytest.mark.parametrize("number", [0, 1, 2])
@pytest.mark.parametrize("leaves_at_once", [False, True])
def test_a_coordinator_that_was_isolated_lists_no_node_that_left_meanwhile(
    number: int, leaves_at_once: bool
) -> None:
    """Guards against a fault: the node stayed listed for another time-out after the partition ended.

    The time-out was 5.4 s, longer than InTouchMs with 4 s.
    """
    control_day = ControlDay(SEEDS_BY_COORDINATOR[number])
    day = control_day.day
    machine = day.coordinators[number]
    control_day.faults.isolate(AT_S, [machine], LONG_PARTITION_S, from_machines=day.coordinators)
    node = day.nodes[0]
    drain_s = day.deployment.bounds.drain_ms / 1000
    names: list[str] = []

    def leave() -> None:
        assert node.registration is not None and node.server is not None
        names.append(node.server.incarnation)
        registration = node.registration
        leaving = registration.leave_at_once if leaves_at_once else registration.leave
        node.machine.run(lambda: leaving(drain_s))

    control_day.at(AT_S + 5.0, leave)
    was_listed: list[bool] = []
    control_day.at(AT_S + 10.0, lambda: was_listed.append(names[0] in control_day.listed(machine)))
    lists: list[set[str]] = []
    control_day.at(AT_S + LONG_PARTITION_S + 1.0, lambda: lists.append(control_day.listed(machine)))
    result = control_day.play(AT_S + LONG_PARTITION_S + 6.0)
    answered = [entry for entry in result.event_log.of(HeartbeatAnswered) if entry.incarnation == names[0]]
    assert any(entry.state != "accepting" for entry in answered), "no coordinator acknowledged the leave"
    assert was_listed == [True], "the isolated coordinator received the leave"
    assert names[0] not in lists[0]


@pytest.mark.parametrize("number", [0, 1, 2])
@pytest.mark.parametrize("fault", ["partition", "freeze"])
def test_a_coordinator_back_in_touch_lists_no_node_that_crashed_meanwhile(number: int, fault: str) -> None:
    """Guards against a fault: the time-outs began again, so the node stayed listed for another 5.4 s."""
    control_day = ControlDay(SEEDS_BY_COORDINATOR[number])
    day = control_day.day
    machine = day.coordinators[number]
    away_s = 9.0
    if fault == "partition":
        control_day.faults.isolate(AT_S, [machine], away_s, from_machines=day.coordinators)
    else:
        control_day.faults.freeze(AT_S, machine, away_s)
    node = day.nodes[0]
    control_day.faults.crash_node(AT_S + 0.5, node, for_s=60.0)
    names: list[str] = []
    control_day.at(AT_S, lambda: names.append(node.server.incarnation))  # type: ignore[union-attr]
    was_listed: list[bool] = []
    control_day.at(AT_S + away_s - 0.1, lambda: was_listed.append(names[0] in control_day.listed(machine)))
    lists: list[set[str]] = []
    control_day.at(
        AT_S + away_s + 1.2,
        lambda: lists.extend(control_day.listed(coordinator) for coordinator in day.coordinators),
    )
    live: list[set[str]] = []
    control_day.at(AT_S + away_s + 1.2, lambda: live.append({
        live_node.server.incarnation for live_node in day.nodes
        if live_node.server is not None and live_node.machine.is_up
    }))  # fmt: skip
    control_day.play(AT_S + away_s + 6.0)
    assert was_listed == [True], "the node timed out while the coordinator could not receive reports"
    assert all(names[0] not in listed for listed in lists), (
        "the node is listed again, here or by another coordinator"
    )
    assert all(live[0] <= listed for listed in lists), "a live node was dropped from a list"


def keeps_unlisted_nodes(self: NodeTable, listed: Collection[str], now_s: float) -> list[str]:
    """Expire no unlisted node before its own time-out, as before the correction."""
    return []


def passes_on_all_nodes(self: NodeTable, now_s: float) -> tuple[Node, ...]:
    """Send all listed nodes to peers, as before the correction."""
    return tuple(entry.snapshot_at(now_s) for entry in self.entries())


def applies_delayed_reports(self: NodeTable, node: Node, now_s: float, *, is_confirmed: bool = True) -> bool:
    """Apply each report as if it had just been sent."""
    return ORIGINAL_APPLY_REPORT(self, node, now_s)


ORIGINAL_APPLY_REPORT = NodeTable.apply_report


@pytest.mark.parametrize(
    ("method", "variant", "number", "fault"),
    [
        ("expire_unlisted", keeps_unlisted_nodes, 0, "partition"),
        ("confirmed_nodes", passes_on_all_nodes, 0, "partition"),
        ("apply_report", applies_delayed_reports, 2, "freeze"),
    ],
)
def test_a_variant_that_keeps_or_relists_a_crashed_node_is_detected(
    method: str, variant: Callable[..., object], number: int, fault: str
) -> None:
    with mock.patch.object(NodeTable, method, variant), pytest.raises(AssertionError):
        test_a_coordinator_back_in_touch_lists_no_node_that_crashed_meanwhile(number, fault)


def test_an_isolated_coordinator_answers_all_calls_with_503_or_a_redirect() -> None:
    """Sends all kinds of operator and node calls directly to the coordinator during the partition."""
    control_day = ControlDay(2)
    day = control_day.day
    machine = day.coordinators[0]
    control_day.faults.isolate(AT_S, [machine], LONG_PARTITION_S, from_machines=day.coordinators)
    control_day.faults.add_route(AT_S + 2.0, "added")
    statuses: list[tuple[str, int]] = []
    zone = day.deployment.zones[1].name

    async def send_calls() -> None:
        host = [("Host", "core")]
        heartbeat: dict[str, object] = {
            Heartbeat.SERVICE: "s",
            Heartbeat.STATE: Heartbeat.CLOSING,
            Heartbeat.SLOTS: 1,
        }
        heartbeat |= {Heartbeat.ADDRESS: "10.9.9.9:80", Heartbeat.ZONE: zone, Heartbeat.SEQUENCE: 5}
        calls = (
            write_request("GET", Path.CONFIG, host),
            write_request("PUT", Path.CONFIG, [*host, ("If-Match", "1")], b'{"Edition": 2}'),
            write_request("PATCH", Path.CONFIG, [*host, ("If-Match", "1")], b"{}"),
            write_request("POST", Path.EVACUATION + zone, host),
            write_request("DELETE", Path.EVACUATION + zone, host),
            write_request("PUT", Path.NODES + "i-asked", host, json.dumps(heartbeat).encode()),
            write_request("DELETE", Path.NODES + "i-asked", host),
        )
        operator_net = day.operators[1]._net
        until_s = day.traffic_from_s + AT_S + LONG_PARTITION_S - 2.0
        while True:
            for request in calls:
                if day.world.now > until_s:
                    return
                answer = await call(operator_net, control_day.control(machine), request, 1.5)
                if answer is not None:
                    statuses.append((request.split(b" ", 1)[0].decode(), answer.status))
            await asyncio.sleep(0.2)

    control_day.at(AT_S + 2.0, lambda: day.run_operator(day.operators[1], send_calls))
    control_day.play(AT_S + LONG_PARTITION_S + 6.0)
    assert len(statuses) > 12
    assert {answered for answered in statuses if answered[1] not in (503, 307)} == set()


def test_a_coordinator_that_missed_a_membership_change_confirms_no_leave_with_a_former_majority() -> None:
    """A coordinator is isolated and replaced, then isolated again together with a current member.

    The two are two of the three members of the old view, but only one of them is a member of the newest view.
    """
    control_day = ControlDay(3)
    day = control_day.day
    replaced: list[Machine] = []
    companions: list[Machine] = []
    statuses: list[int] = []
    epochs: list[tuple[Epoch, Epoch]] = []

    def isolate() -> None:
        primary = control_day.primary()
        replaced.append(next(machine for machine in day.coordinators if machine is not primary))
        companions.append(
            next(machine for machine in day.coordinators if machine not in (primary, replaced[0]))
        )
        day.replace_coordinator(replaced[0]).start()
        others = [machine for machine in day.coordinators if machine is not primary]
        control_day.faults.isolate(AT_S + 2.0, replaced, 6.0, from_machines=[primary, *others])
        rest = [machine for machine in [primary, *others] if machine is not companions[0]]
        control_day.faults.isolate(AT_S + 7.9, replaced + companions, 5.0, from_machines=rest)

    async def leave() -> None:
        view = control_day.program(replaced[0])._replica.view
        newer = control_day.program(companions[0])._replica.view
        assert view is not None and newer is not None
        epochs.append((view.epoch, newer.epoch))
        assert control_day.program(replaced[0])._member_id not in newer.members
        node = day.nodes[0].server
        assert node is not None
        request = write_request("DELETE", Path.NODES + node.incarnation, [("Host", "core")])
        answer = await call(day.operators[0]._net, control_day.control(replaced[0]), request, 1.5)
        statuses.append(answer.status if answer is not None else 0)

    control_day.at(AT_S, isolate)
    control_day.order(AT_S + 9.5, leave)
    day.play(AT_S + 14.0)
    assert epochs[0][0] < epochs[0][1], "the replaced coordinator has the newest view"
    assert statuses == [503]


# -- 2. Repeated orders, and delayed copies of orders --


@pytest.mark.parametrize("frozen_s", [0.5, 0.9, 3.0, 9.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_an_old_order_in_a_frozen_primary_takes_no_effect(frozen_s: float, seed: int) -> None:
    """The frozen primary has a POST in its socket; another coordinator acknowledges a copy of the POST and a
    DELETE before the primary resumes.
    """
    control_day = ControlDay(seed)
    day = control_day.day
    zone = day.deployment.zones[2].name
    frozen: list[Machine] = []
    ended: list[str] = []

    def freeze() -> None:
        frozen.append(control_day.primary())
        frozen[0].freeze(frozen_s)

    async def give() -> None:
        request = write_request("POST", Path.EVACUATION + zone, [("Host", "core")])
        lost = await call(day.operators[0]._net, control_day.control(frozen[0]), request, 1.0)
        ended.append("lost" if lost is None else str(lost.status))
        first = await day.operators[0].evacuate(zone)
        second = await day.operators[0].take_back(zone)
        ended.extend([first.verdict.value, second.verdict.value])

    control_day.at(AT_S, freeze)
    control_day.order(AT_S + 0.05, give)
    control_day.play(16.0)
    assert ended[1:] == [Verdict.ACKNOWLEDGED.value] * 2
    assert ended[0] == "lost" or frozen_s < 1.0, "the frozen primary answered the first POST"
    for machine in day.coordinators:
        assert control_day.state(machine).evacuated_zones == frozenset(), machine.spot.name


def test_an_order_whose_caller_disconnects_without_a_primary_takes_no_effect() -> None:
    """The only coordinator that runs waits for a primary; the other coordinators restart meanwhile."""
    control_day = ControlDay(3)
    day = control_day.day
    zone = day.deployment.zones[0].name
    preconditions: list[bool] = []
    survivors: list[Machine] = []

    def kill_all_but_one() -> None:
        primary = control_day.primary()
        survivors.extend([machine for machine in day.coordinators if machine is not primary][:1])
        for machine in day.coordinators:
            if machine is not survivors[0]:
                machine.kill()
                day.world.at(day.world.now + 3.0, machine.start)

    async def give() -> None:
        request = write_request("POST", Path.EVACUATION + zone, [("Host", "core")])
        preconditions.append(control_day.program(survivors[0])._replica.primary_address is None)
        answer = await call(day.operators[0]._net, control_day.control(survivors[0]), request, 0.3)
        preconditions.append(answer is None)

    control_day.at(AT_S, kill_all_but_one)
    control_day.order(AT_S + 2.95, give)
    control_day.play(14.0)
    assert preconditions == [True, True], "there was a primary, or the caller got an answer"
    for machine in day.coordinators:
        assert control_day.state(machine).evacuated_zones == frozenset()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_eight_orders_at_once_around_a_lost_primary_are_each_answered_alike_again(seed: int) -> None:
    """All orders are repeated unchanged after all coordinators restarted: no accepted order is rejected."""
    control_day = ControlDay(seed)
    day = control_day.day
    control_day.at(AT_S + 0.02, lambda: control_day.primary().kill())
    for at in range(8):
        control_day.faults.race(AT_S + 0.005 * at)
    for machine in day.coordinators:
        control_day.faults.kill(AT_S + 6.0, machine, for_s=0.5)
    result = control_day.play(16.0)
    ended = {entry.number: entry for entry in result.event_log.of(OrderEnded)}
    patches = [entry for entry in result.event_log.of(OrderStarted) if entry.order is Order.PATCH]
    assert len(patches) == 16
    by_base: dict[int, int] = {}
    for patch in patches:
        by_base[patch.based_on] = by_base.get(patch.based_on, 0) + (
            ended[patch.number].verdict is Verdict.ACKNOWLEDGED
        )
    assert max(by_base.values()) == 1, "two changes based on the same edition were acknowledged"


# -- 3. A disk lost at the end of the day while all other machines lose power --


@pytest.mark.parametrize("lost", [0, 1, 2])
@pytest.mark.parametrize("seed", [1, 2])
def test_at_the_end_a_disk_is_lost_while_all_other_machines_lose_power(lost: int, seed: int) -> None:
    control_day = ControlDay(seed)
    control_day.faults.add_route(AT_S, "added")
    control_day.faults.evacuate(AT_S + 0.2, control_day.day.deployment.zones[1].name, for_s=60.0)
    control_day.faults.end_with_lost_disks(AT_S + 4.0, [control_day.day.coordinators[lost]])
    result = control_day.play(16.0)
    assert [entry.verdict for entry in result.event_log.of(OrderEnded)][-1] is Verdict.ACKNOWLEDGED, (
        "the final read of the configuration failed"
    )
    for machine in control_day.day.coordinators:
        assert control_day.state(machine).evacuated_zones == {control_day.day.deployment.zones[1].name}
    assert result.served_fraction > 0.4


def test_names_and_writes_that_were_never_synced_are_lost_at_the_first_start() -> None:
    """The power fails within the first second, just after files were created; the core still starts."""
    for seed in range(3):
        control_day = ControlDay(seed)
        for machine in control_day.day.coordinators:
            control_day.faults.lose_power(
                -control_day.day.deployment.lead_s + 0.2 + 0.15 * seed, machine, for_s=0.5
            )
        result = control_day.play(6.0)
        assert result.served_fraction > 0.9


# -- 4 and 5. Nodes after a restart of all coordinators; reports of the wrong incarnation --


@pytest.mark.parametrize("leaves_at_once", [False, True])
@pytest.mark.parametrize("delay_s", [0.0, 0.002, 0.01])
def test_a_leave_acknowledged_just_before_all_coordinators_are_killed_holds_once_in_touch(
    leaves_at_once: bool, delay_s: float
) -> None:
    """The leave has reached neither a proxy nor a disk. The node reports its drain again or sends no further
    heartbeats and is in no table then: within InTouchMs of the restart, before which no rule applies.
    """
    control_day = ControlDay(4)
    day = control_day.day
    node = day.nodes[1]
    names: list[str] = []
    killed_at_s: list[float] = []
    drain_s = day.deployment.bounds.drain_ms / 1000

    def leave() -> None:
        assert node.registration is not None and node.server is not None
        names.append(node.server.incarnation)
        registration = node.registration
        leaving = registration.leave_at_once if leaves_at_once else registration.leave
        node.machine.run(lambda: leaving(drain_s))

    def kill_when_acknowledged() -> None:
        answered = [entry for entry in day.event_log.of(HeartbeatAnswered) if entry.incarnation == names[0]]
        if not any(entry.state != "accepting" for entry in answered):
            day.world.at(day.world.now + 0.0005, kill_when_acknowledged)
            return
        killed_at_s.append(day.world.now + delay_s)
        for machine in day.coordinators:
            day.world.at(killed_at_s[0], machine.kill)
            day.world.at(killed_at_s[0] + 0.5, machine.start)

    control_day.at(AT_S, leave)
    control_day.at(AT_S + 0.0001, kill_when_acknowledged)
    routed: list[list[str]] = []
    in_touch_s = day.deployment.bounds.in_touch_ms / 1000

    def look() -> None:
        if day.world.now < killed_at_s[0] + 0.5 + in_touch_s:
            day.world.at(killed_at_s[0] + 0.5 + in_touch_s, look)
            return
        for proxy in day.proxies:
            view = proxy.program.view  # type: ignore[union-attr]
            routed.append([
                name for name, known in view.nodes.items() if known.node.state.value == "accepting"
            ])  # fmt: skip

    control_day.at(AT_S + 2.0, look)
    day.play(AT_S + 9.0)
    assert len(routed) == len(day.proxies)
    assert all(names[0] not in nodes for nodes in routed)
    assert all(nodes for nodes in routed), "a proxy has no nodes"


def test_after_all_coordinators_restarted_a_delayed_heartbeat_relists_no_node() -> None:
    """The leave is on no disk; the coordinators get it back from the proxies."""
    control_day = ControlDay(4)
    day = control_day.day
    node = day.nodes[1]
    names: list[str] = []
    drain_s = day.deployment.bounds.drain_ms / 1000

    def leave() -> None:
        assert node.registration is not None and node.server is not None
        names.append(node.server.incarnation)
        registration = node.registration
        node.machine.run(lambda: registration.leave_at_once(drain_s))

    control_day.at(AT_S, leave)
    for machine in day.coordinators:
        control_day.faults.kill(AT_S + 1.0, machine, for_s=0.5)
    listed: list[set[str]] = []

    async def send_old_heartbeat() -> None:
        spot = node.machine.spot
        heartbeat: dict[str, object] = {
            Heartbeat.SERVICE: day.deployment.service,
            Heartbeat.STATE: Heartbeat.ACCEPTING,
        }
        heartbeat |= {
            Heartbeat.ADDRESS: f"{spot.ip}:{day.deployment.ports.node}",
            Heartbeat.ZONE: spot.zone.name,
        }
        heartbeat |= {Heartbeat.SEQUENCE: 2, Heartbeat.SLOTS: 8}
        body = json.dumps(heartbeat).encode()
        request = write_request("PUT", Path.NODES + names[0], [("Host", "core")], body)
        for machine in day.coordinators:
            await call(day.operators[0]._net, control_day.control(machine), request, 1.0)
        await asyncio.sleep(0.5)
        listed.extend(control_day.listed(machine) for machine in day.coordinators)

    control_day.order(AT_S + 3.0, send_old_heartbeat)
    control_day.play(14.0)
    assert len(listed) == len(day.coordinators)
    assert all(names[0] not in nodes for nodes in listed)


def test_a_frame_of_another_version_is_rejected_with_one_log_line_and_no_other_effect() -> None:
    control_day = ControlDay(6)
    day = control_day.day
    machine = day.coordinators[1]

    async def send_frame() -> None:
        frame = bytearray(write_frame(CODEC.encode(TableRequest())))
        frame[3] += 1
        address = (machine.spot.ip, day.deployment.ports.inner)
        await call(day.operators[0]._net, address, bytes(frame), 0.5)

    control_day.order(AT_S, send_frame)
    control_day.play(AT_S + 4.0)
    assert sum("frame_rejected" in line for line in machine.log_lines) == 1
    assert not any("frame_rejected" in line for line in day.coordinators[0].log_lines)


def test_a_coordinator_rejects_messages_of_another_process_with_its_own_identity() -> None:
    """Otherwise two processes with copies of a disk could both vote."""
    control_day = ControlDay(5)
    day = control_day.day
    original, impostor = day.coordinators[0], day.coordinators[1]

    def impersonate() -> None:
        program = control_day.program(impostor)
        hello = program._hello
        object.__setattr__(hello, "disk", control_day.program(original)._member_id.disk)
        for peer in list(program._peers._peers.values()):
            if peer.connection is not None:
                peer.connection.abort()

    control_day.at(AT_S, impersonate)
    day.play(AT_S + 4.0)
    assert any("duplicate_identity" in line for line in original.log_lines)
    assert not any("duplicate_identity" in line for line in day.coordinators[2].log_lines)


# -- A processor quota that stops processes for most of each tenth of a second --


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("throttled", ["all", "primary"])
def test_an_exhausted_processor_quota_causes_no_failover(seed: int, throttled: str) -> None:
    """All coordinators and proxies, or the primary, do not run for 90 ms of each 100 ms."""
    control_day = ControlDay(seed)
    day = control_day.day
    views: list[set[Epoch]] = []
    throttled_s = 10.0

    def throttle() -> None:
        machines = [*day.coordinators, *day.proxies] if throttled == "all" else [control_day.primary()]
        control_day.faults.throttle(AT_S + 0.1, machines, throttled_s)

    def look() -> None:
        views.append({control_day.program(machine)._replica.view_epoch for machine in day.coordinators})

    control_day.at(AT_S, throttle)
    control_day.at(AT_S, look)
    control_day.faults.add_route(AT_S + 3.0, "added")
    control_day.faults.evacuate(AT_S + 5.0, day.deployment.zones[1].name, for_s=3.0)
    control_day.at(AT_S + throttled_s, look)
    result = control_day.play(AT_S + throttled_s + 2.0)
    assert views[0] == views[1], "the primary changed meanwhile"
    assert not any("process_stalled" in line for machine in day.coordinators for line in machine.log_lines)
    assert not any("coordinator_timed_out" in line for proxy in day.proxies for line in proxy.log_lines)
    assert all(entry.verdict is Verdict.ACKNOWLEDGED for entry in result.event_log.of(OrderEnded))
    assert result.served_fraction > 0.95


# -- A partition into halves, and a loss of all coordinators during a membership change --

FOUR_ZONES = tuple(Zone(f"z{at}", f"r{at}") for at in range(4))
FOUR_ZONE_PARAMETERS: dict[str, Any] = {
    "zones": FOUR_ZONES, "proxies": (1, 1, 1, 1), "nodes": (2, 1, 1, 1), "clients": (2, 2, 2, 2), "homes": (),
}  # fmt: skip


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_partition_into_halves_leaves_at_most_one_quorum_and_loses_nothing(seed: int) -> None:
    """Three of the four coordinators are members, so at most one half has a majority."""
    control_day = ControlDay(seed, **FOUR_ZONE_PARAMETERS)
    day = control_day.day
    halves = [day.coordinators[:2], day.coordinators[2:]]
    control_day.faults.add_route(AT_S - 1.0, "before")
    control_day.faults.isolate(AT_S, halves[0], 6.0, from_machines=day.coordinators)
    control_day.faults.add_route(AT_S + 2.0, "meanwhile")
    quorate: list[list[bool]] = []

    def look() -> None:
        now_s = day.world.now
        quorate.extend(
            [control_day.program(machine)._replica.has_quorum(now_s) for machine in half] for half in halves
        )

    control_day.at(AT_S + 4.0, look)
    result = control_day.play(AT_S + 14.0)
    assert sum(any(half) for half in quorate) <= 1, "both halves report a quorum"
    assert len({control_day.state(machine).edition for machine in day.coordinators}) == 1
    assert is_linearizable(operations(result.event_log))
    last = result.event_log.of(OrderEnded)[-1]
    assert last.verdict is Verdict.ACKNOWLEDGED, "the final read of the configuration failed"


@pytest.mark.parametrize("power_fails", [False, True])
@pytest.mark.parametrize("delay_s", [0.3, 1.2, 1.5, 1.8, 2.2])
def test_coordinators_lost_while_a_member_is_replaced_recover_all_acknowledged_changes(
    power_fails: bool, delay_s: float
) -> None:
    control_day = ControlDay(3, **FOUR_ZONE_PARAMETERS)
    day = control_day.day
    control_day.faults.add_route(AT_S, "before")
    control_day.faults.replace_coordinator(AT_S + 1.0, day.coordinators[0], after_s=1.0)
    editions: list[int] = []
    control_day.at(AT_S + 0.9, lambda: editions.append(control_day.state(control_day.primary()).edition))

    def end_all() -> None:
        for machine in day.coordinators:
            if power_fails:
                control_day.faults.lose_power(AT_S + 2.0 + delay_s, machine, for_s=1.0)
            else:
                control_day.faults.kill(AT_S + 2.0 + delay_s, machine, for_s=1.0)

    control_day.at(AT_S + 2.1, end_all)
    result = control_day.play(AT_S + 14.0)
    assert editions[0] > 1
    for machine in day.coordinators:
        assert control_day.state(machine).edition >= editions[0]
    last = result.event_log.of(OrderEnded)[-1]
    assert last.verdict is Verdict.ACKNOWLEDGED, "the final read of the configuration failed"
    assert is_linearizable(operations(result.event_log))


# -- Propagation of a configuration to the proxies, and their readiness --

ACTIVATED = re.compile(r"^at=([0-9.]+) .*event=configuration_activated edition=([0-9]+)")
COMMITTED = re.compile(r"event=configuration_committed edition=([0-9]+)")
MAX_PROPAGATION_S = 1.5  # time limit for a proxy to apply an acknowledged configuration


@pytest.mark.parametrize("fault", ["none", "kill", "cut", "quota"])
def test_every_proxy_routes_by_a_change_within_a_second_and_a_half(fault: str) -> None:
    control_day = ControlDay(2, proxies=(2, 2, 2))
    day = control_day.day
    match fault:
        case "kill":
            control_day.faults.kill(AT_S + 0.7, day.coordinators[0], for_s=3.0)
        case "cut":
            control_day.faults.isolate(AT_S + 0.7, [day.coordinators[0]], 3.0, from_machines=day.coordinators)
        case "quota":
            control_day.faults.throttle(AT_S, [*day.coordinators, *day.proxies], 4.0)
    for number in range(6):
        control_day.faults.add_route(AT_S + 0.5 * number, f"added-{number}")
    result = control_day.play(AT_S + 8.0)
    editions = {entry.number: entry.edition for entry in result.event_log.of(OrderStarted)}
    acknowledged = {
        editions[entry.number]: entry.at_s
        for entry in result.event_log.of(OrderEnded)
        if entry.verdict is Verdict.ACKNOWLEDGED and editions[entry.number]
    }
    assert len(acknowledged) >= 4, "too few changes were acknowledged; only some may lose a race"
    for proxy in day.proxies:
        activated = [match for line in proxy.log_lines if (match := ACTIVATED.match(line))]
        for edition, at_s in acknowledged.items():
            active_s = min(float(match[1]) for match in activated if int(match[2]) >= edition)
            assert active_s - at_s <= MAX_PROPAGATION_S, f"{proxy.spot.name}, edition {edition}"


def test_every_coordinator_logs_each_committed_edition_once() -> None:
    control_day = ControlDay(2)
    for number in range(3):
        control_day.faults.add_route(AT_S + number, f"added-{number}")
    result = control_day.play(AT_S + 4.0)
    editions = [entry.edition for entry in result.event_log.of(OrderStarted) if entry.edition]
    assert len(editions) == 4
    for coordinator in control_day.day.coordinators:
        logged = [int(match[1]) for line in coordinator.log_lines if (match := COMMITTED.search(line))]
        assert logged == editions, coordinator.spot.name


@pytest.mark.parametrize("fault", ["kill", "power", "cut", "freeze", "burst"])
def test_proxies_stay_ready_through_a_lost_coordinator_and_a_burst(fault: str) -> None:
    control_day = ControlDay(1)
    day = control_day.day
    lost = day.coordinators[0]
    match fault:
        case "kill":
            for machine in day.coordinators:
                control_day.faults.kill(AT_S, machine, for_s=2.0)
        case "power":
            control_day.faults.lose_power(AT_S, lost, 3.0)
        case "cut":
            control_day.faults.isolate(AT_S, day.coordinators, 6.0, from_machines=day.proxies)
        case "freeze":
            control_day.faults.freeze(AT_S, lost, 3.0)
        case "burst":
            control_day.faults.burst(AT_S, day.deployment.rates[0][0], 60.0, 3.0)
    unready: list[str] = []

    def look() -> None:
        unready.extend(proxy.spot.name for proxy in day.proxies if not proxy.program.is_ready())  # type: ignore[union-attr]
        day.world.at(day.world.now + 0.05, look)

    control_day.at(AT_S - 0.5, look)
    day.play(AT_S + 9.0)
    assert unready == []
