"""Looking by turns: who looks at what, and whose word counts."""

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


def there(*instances: str) -> dict[str, Entry]:
    return {f"instance/{name}": Entry(f"instance/{name}", b"", 1, 1) for name in instances}


def published(result: HealthCheckResult, revision: int) -> Entry:
    return Entry(RESULT_PREFIX + "n", msgspec.json.encode(result), 1, revision)


@pytest.mark.parametrize("count", [1, 5, 40, 200])
def test_each_node_is_looked_at_by_one(count: int) -> None:
    taken = [node for nodes in assignments(NODES, names(count)).values() for node in nodes]
    assert sorted(taken) == sorted(NODES)


def test_it_is_spread_and_few_move_when_one_goes() -> None:
    many = [f"n{number}" for number in range(2000)]
    before = assignments(many, names(40))
    assert max(map(len, before.values())) < 3 * 2000 / 40
    after = assignments(many, [name for name in names(40) if name != "s7"])
    for name, nodes in before.items():
        if name != "s7":
            assert set(nodes) <= set(after[name]), "only the nodes of the one that went have moved"


@pytest.mark.parametrize("count", [5, 40, 200])
def test_probes_over_the_fleet_do_not_grow_with_it(count: int) -> None:
    entries, probes = there(*names(count)), 0
    looks = [SharedHealthChecks(name, name) for name in names(count)]
    for turn in range(20):
        for one in looks:
            for node in one.checks_to_start(turn * 0.5, NODES, entries, 0.5):
                one.check_started(turn * 0.5, node)
                one.check_finished(turn * 0.5, 0.0, node, ok=True, latency_ms=1.0)
                probes += 1
    assert probes == 20 * len(NODES)


def test_only_news_is_told_and_a_steady_node_now_and_then() -> None:
    one = SharedHealthChecks("s0", "s0#1")
    assert one.check_finished(0.0, 0.0, "n", ok=True, latency_ms=1.0) is not None
    assert one.check_finished(0.5, 0.0, "n", ok=True, latency_ms=1.0) is None
    assert one.check_finished(0.6, 0.0, "n", ok=False, latency_ms=1.0) is not None, "a change at once"
    assert one.check_finished(1.0, 0.0, "n", ok=False, latency_ms=1.0) is None
    assert one.check_finished(1.7, 0.0, "n", ok=False, latency_ms=1.0) is not None


def test_a_word_counts_while_it_is_young_and_by_our_own_clock() -> None:
    one = SharedHealthChecks("s0", "s0#1")
    assert (
        one.receive(10.0, 1000.0, "n", published(HealthCheckResult("s1#1", 990.0, False, 1.0, 1), 5))
        is not None
    )
    assert one.recent_result(11.9, "n") is not None and one.recent_result(12.1, "n") is None


def test_what_we_saw_ourselves_goes_before_it() -> None:
    one = SharedHealthChecks("s0", "s0#1")
    one.operation_observed(10.0, "n", ok=False)
    assert one.receive(10.5, 0.0, "n", published(HealthCheckResult("s1#1", 0.0, True, 1.0, 1), 5)) is None
    assert one.recent_result(10.6, "n") is None, "he has another way there than we"
    assert (
        one.receive(16.0, 0.0, "n", published(HealthCheckResult("s1#1", 0.0, False, 1.0, 2), 6)) is not None
    )
    one.operation_observed(16.1, "n", ok=True)
    assert one.recent_result(16.2, "n") is None


def test_an_author_that_was_overtaken_or_has_a_wrong_clock_is_not_heard() -> None:
    one = SharedHealthChecks("s0", "s0#1")
    assert one.receive(1.0, 0.0, "n", published(HealthCheckResult("s1#1", 0.0, False, 1.0, 9), 8)) is not None
    assert one.receive(1.1, 0.0, "n", published(HealthCheckResult("s2#1", 0.0, True, 1.0, 1), 7)) is None, (
        "an older word"
    )
    assert one.receive(1.2, 0.0, "n", published(HealthCheckResult("s1#1", 60.0, True, 1.0, 10), 9)) is None, (
        "from the future"
    )
    assert one.receive(1.3, 0.0, "n", Entry(RESULT_PREFIX + "n", b"?", 1, 10)) is None
    found = one.recent_result(1.4, "n")
    assert found is not None and not found.ok


def test_our_own_word_is_none_and_one_whose_author_is_gone_is_forgotten() -> None:
    one = SharedHealthChecks("s0", "s0#1")
    assert (
        one.receive(1.0, 0.0, "n", published(HealthCheckResult("s0#1", 0.0, False), 8)) is None
        and one.recent_result(1.0, "n") is None
    )
    one.receive(2.0, 0.0, "n", published(HealthCheckResult("s1#1", 0.0, False), 9))
    one.receive(2.1, 0.0, "n", None)
    assert one.recent_result(2.2, "n") is None


def test_a_node_that_is_listed_no_more_leaves_nothing() -> None:
    one = SharedHealthChecks("s0", "s0#1")
    one.check_finished(0.0, 0.0, "n", ok=True, latency_ms=1.0)
    one.receive(0.0, 0.0, "n", published(HealthCheckResult("s1#1", 0.0, False), 9))
    one.operation_observed(0.0, "n", ok=True)
    one.retain([])
    assert (
        one.recent_result(0.1, "n") is None
        and not one._own_checks
        and not one._observed
        and assigned_checker("n", []) == ""
    )
