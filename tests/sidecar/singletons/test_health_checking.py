"""Shared health checks: assignment of nodes to instances, and precedence of results."""

from __future__ import annotations

import msgspec
import pytest

from coveport.sidecar.leases.store import Entry
from coveport.sidecar.singletons.health_checking import (
    RESULT_PREFIX,
    HealthCheckResult,
    SharedHealthChecks,
    assigned_checker,
    assignments,
)

NODES = [f"10.0.0.{number}:80@0" for number in range(60)]


def names(count: int) -> list[str]:
    return [f"s{number}" for number in range(count)]


def registered(*instances: str) -> dict[str, Entry]:
    return {f"instance/{name}": Entry(f"instance/{name}", b"", 1, 1) for name in instances}


def result_entry(result: HealthCheckResult, revision: int) -> Entry:
    return Entry(RESULT_PREFIX + "n", msgspec.json.encode(result), 1, revision)


@pytest.mark.parametrize("count", [1, 5, 40, 200])
def test_each_node_is_checked_by_one_instance(count: int) -> None:
    assigned = [node for nodes in assignments(NODES, names(count)).values() for node in nodes]
    assert sorted(assigned) == sorted(NODES)


def test_assignments_are_balanced_and_few_change_when_an_instance_leaves() -> None:
    many = [f"n{number}" for number in range(2000)]
    before = assignments(many, names(40))
    assert max(map(len, before.values())) < 3 * 2000 / 40
    after = assignments(many, [name for name in names(40) if name != "s7"])
    for name, nodes in before.items():
        if name != "s7":
            assert set(nodes) <= set(after[name]), "only the nodes of the departed instance are reassigned"


@pytest.mark.parametrize("count", [5, 40, 200])
def test_number_of_checks_is_independent_of_the_number_of_instances(count: int) -> None:
    entries, check_count = registered(*names(count)), 0
    checkers = [SharedHealthChecks(name, name) for name in names(count)]
    for round_number in range(20):
        for checks in checkers:
            for node in checks.checks_to_start(round_number * 0.5, NODES, entries, 0.5):
                checks.check_started(round_number * 0.5, node)
                checks.check_finished(round_number * 0.5, 0.0, node, ok=True, latency_ms=1.0)
                check_count += 1
    assert check_count == 20 * len(NODES)


def test_changes_are_published_at_once_and_steady_results_at_intervals() -> None:
    checks = SharedHealthChecks("s0", "s0#1")
    assert checks.check_finished(0.0, 0.0, "n", ok=True, latency_ms=1.0) is not None
    assert checks.check_finished(0.5, 0.0, "n", ok=True, latency_ms=1.0) is None
    assert checks.check_finished(0.6, 0.0, "n", ok=False, latency_ms=1.0) is not None, (
        "a change is published at once"
    )
    assert checks.check_finished(1.0, 0.0, "n", ok=False, latency_ms=1.0) is None
    assert checks.check_finished(1.7, 0.0, "n", ok=False, latency_ms=1.0) is not None


def test_result_is_used_while_it_is_recent_by_the_receiver_clock() -> None:
    checks = SharedHealthChecks("s0", "s0#1")
    assert (
        checks.receive(10.0, 1000.0, "n", result_entry(HealthCheckResult("s1#1", 990.0, False, 1.0, 1), 5))
        is not None
    )
    assert checks.recent_result(11.9, "n") is not None and checks.recent_result(12.1, "n") is None


def test_own_observation_overrides_a_result() -> None:
    checks = SharedHealthChecks("s0", "s0#1")
    checks.operation_observed(10.0, "n", ok=False)
    assert (
        checks.receive(10.5, 0.0, "n", result_entry(HealthCheckResult("s1#1", 0.0, True, 1.0, 1), 5)) is None
    )
    assert checks.recent_result(10.6, "n") is None, "its author may reach the node by another path"
    assert (
        checks.receive(16.0, 0.0, "n", result_entry(HealthCheckResult("s1#1", 0.0, False, 1.0, 2), 6))
        is not None
    )
    checks.operation_observed(16.1, "n", ok=True)
    assert checks.recent_result(16.2, "n") is None


def test_outdated_result_or_one_from_a_wrong_clock_is_ignored() -> None:
    checks = SharedHealthChecks("s0", "s0#1")
    assert (
        checks.receive(1.0, 0.0, "n", result_entry(HealthCheckResult("s1#1", 0.0, False, 1.0, 9), 8))
        is not None
    )
    assert (
        checks.receive(1.1, 0.0, "n", result_entry(HealthCheckResult("s2#1", 0.0, True, 1.0, 1), 7)) is None
    ), "an older result"
    assert (
        checks.receive(1.2, 0.0, "n", result_entry(HealthCheckResult("s1#1", 60.0, True, 1.0, 10), 9)) is None
    ), "from the future"
    assert checks.receive(1.3, 0.0, "n", Entry(RESULT_PREFIX + "n", b"?", 1, 10)) is None
    result = checks.recent_result(1.4, "n")
    assert result is not None and not result.ok


def test_own_result_and_result_of_a_departed_instance_are_ignored() -> None:
    checks = SharedHealthChecks("s0", "s0#1")
    assert (
        checks.receive(1.0, 0.0, "n", result_entry(HealthCheckResult("s0#1", 0.0, False), 8)) is None
        and checks.recent_result(1.0, "n") is None
    )
    checks.receive(2.0, 0.0, "n", result_entry(HealthCheckResult("s1#1", 0.0, False), 9))
    checks.receive(2.1, 0.0, "n", None)
    assert checks.recent_result(2.2, "n") is None


def test_data_of_a_removed_node_is_discarded() -> None:
    checks = SharedHealthChecks("s0", "s0#1")
    checks.check_finished(0.0, 0.0, "n", ok=True, latency_ms=1.0)
    checks.receive(0.0, 0.0, "n", result_entry(HealthCheckResult("s1#1", 0.0, False), 9))
    checks.operation_observed(0.0, "n", ok=True)
    checks.retain([])
    assert (
        checks.recent_result(0.1, "n") is None
        and not checks._own_checks
        and not checks._observed
        and assigned_checker("n", []) == ""
    )
