"""Variants of the data path with one fault each, and the test that must detect the fault."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
import test_forwarding as forwarding_tests
import test_node_selection as node_selection_tests
import test_slow_start as slow_start_tests

from coveport.http1 import CHUNKED
from coveport.serving.proxy import exchange, forwarded_request, node_eligibility, node_selection, stall_policy
from coveport.serving.proxy.client_connection import ClientConnection
from coveport.serving.proxy.connection_pool import ConnectionPool
from coveport.serving.proxy.event_stream import EventSequence, EventSplitter
from coveport.serving.proxy.in_flight_request import InFlightRequest
from coveport.serving.proxy.node_connection import NodeConnection
from coveport.serving.proxy.node_eligibility import NodesByLocality
from coveport.serving.proxy.node_selection import NodeSelector
from coveport.serving.proxy.outlier_ejection import OutlierDetector
from coveport.serving.proxy.proxy_context import ProxyContext
from coveport.serving.proxy.response_relay import RelayOutcome, ResponseRelay
from coveport.serving.proxy.retry_budget import RetryBudget
from coveport.serving.proxy.retry_policy import RetryPolicy
from coveport.serving.proxy.slow_start import SlowStartLimiter

Patch = pytest.MonkeyPatch
Variant = Callable[[Patch], None]
RESUMED_STREAM_TEST = forwarding_tests.test_resumable_stream_is_resumed_at_any_byte
VARIANTS: dict[str, tuple[Variant, Callable[[], None]]] = {}


def caught_by(check: Callable[[], None]) -> Callable[[Variant], Variant]:
    """Register a variant that must fail this check."""

    def register(variant: Variant) -> Variant:
        VARIANTS[variant.__name__] = (variant, check)
        return variant

    return register


def always(value: Any) -> Callable[..., Any]:
    return lambda *args, **kwargs: value


def _pick_by_load(pick: Callable[..., str]) -> Callable[..., str]:
    """Return a replacement for the random draw that applies `pick` (min or max) to the load of all nodes."""
    return lambda names, loads, *_: pick(names, key=lambda name: loads.get(name, 0))


# Selection.


@caught_by(lambda: node_selection_tests.test_every_node_that_the_model_allows_is_chosen_sometimes(3))
def draws_the_busier_node(patch: Patch) -> None:
    patch.setattr(node_selection, "less_busy_of_two", _pick_by_load(max))


@caught_by(lambda: node_selection_tests.test_every_node_that_the_model_allows_is_chosen_sometimes(3))
def draws_the_least_busy_node_of_all(patch: Patch) -> None:
    patch.setattr(node_selection, "less_busy_of_two", _pick_by_load(min))


@caught_by(forwarding_tests.test_only_the_own_region_is_used_while_it_has_a_usable_node)
def ignores_localities(patch: Patch) -> None:
    patch.setattr(node_selection, "group_by_locality", lambda nodes, _: NodesByLocality(local=list(nodes)))


@caught_by(forwarding_tests.test_request_with_home_regions_never_leaves_them)
def ignores_home_regions(patch: Patch) -> None:
    unpatched_eligible_nodes = node_eligibility.eligible_nodes
    patch.setattr(
        node_selection,
        "eligible_nodes",
        lambda view, service, _, now: unpatched_eligible_nodes(view, service, frozenset(), now),
    )


@caught_by(forwarding_tests.test_only_the_own_region_is_used_while_it_has_a_usable_node)
def ignores_evacuations(patch: Patch) -> None:
    patch.setattr(node_eligibility, "is_eligible", always(True))


@caught_by(forwarding_tests.test_node_that_begins_to_drain_during_a_connect_gets_no_request)
def checks_the_view_only_once(patch: Patch) -> None:
    patch.setattr(NodeSelector, "is_still_eligible", always(True))


@caught_by(node_selection_tests.test_failures_eject_the_local_node_until_a_request_succeeds)
def never_ejects(patch: Patch) -> None:
    patch.setattr(OutlierDetector, "is_ejected", always(False))


@caught_by(node_selection_tests.test_failures_eject_the_local_node_until_a_request_succeeds)
def lets_all_requests_through_when_half_open(patch: Patch) -> None:
    patch.setattr(OutlierDetector, "record_attempt", always(None))


@caught_by(node_selection_tests.test_ejected_nodes_are_used_if_all_nodes_are_ejected)
def never_routes_in_panic(patch: Patch) -> None:
    patch.setattr(NodeSelector, "_panic_candidates", always([]))


@caught_by(forwarding_tests.test_unresponsive_machine_delays_a_request_only_briefly)
def never_checks_health(patch: Patch) -> None:
    patch.setattr(OutlierDetector, "scheduled_health_checks", always([]))


# Budgets.


@caught_by(forwarding_tests.test_retries_stay_within_the_budget)
def ignores_the_retry_budget(patch: Patch) -> None:
    patch.setattr(RetryBudget, "reserve", always(True))


@caught_by(forwarding_tests.test_retries_stay_within_the_budget)
def counts_no_retries(patch: Patch) -> None:
    patch.setattr(RetryBudget, "spend", lambda self, service, _: self.release(service))


@caught_by(forwarding_tests.test_warming_node_gets_no_more_than_this_proxys_quota)
def ignores_slow_start(patch: Patch) -> None:
    patch.setattr(SlowStartLimiter, "may_send", always(True))


@caught_by(lambda: slow_start_tests.test_sum_over_all_proxies_stays_under_the_rule(89))
def sends_without_an_interval_to_a_warming_node(patch: Patch) -> None:
    patch.setattr("coveport.serving.proxy.slow_start._turn_interval_s", always(0.0))


@caught_by(forwarding_tests.test_requests_wait_for_capacity_by_priority)
def ignores_the_connection_limit(patch: Patch) -> None:
    patch.setattr(ConnectionPool, "has_capacity", always(True))


# At most once.


@caught_by(forwarding_tests.test_unsafe_request_that_may_have_run_is_not_retried)
def retries_unsafe_requests(patch: Patch) -> None:
    patch.setattr(RetryPolicy, "may_run_twice", property(always(True)))


@caught_by(lambda: forwarding_tests.test_rejection_without_a_statement_counts_as_run(503))
def treats_every_rejection_as_not_run(patch: Patch) -> None:
    async def read_rejection(self: ResponseRelay, connection: NodeConnection, response: Any) -> RelayOutcome:
        await self._skip_body(connection, response)
        return RelayOutcome.REJECTED

    patch.setattr(ResponseRelay, "_read_rejection", read_rejection)


@caught_by(forwarding_tests.test_rejection_after_an_attempt_that_may_have_run_gets_502)
def always_answers_503(patch: Patch) -> None:
    def send_failure(context: ProxyContext, request: InFlightRequest, *, at_deadline: bool = False) -> None:
        request.client.answer(503, [])

    patch.setattr(exchange, "send_failure", send_failure)


@caught_by(forwarding_tests.test_attempts_are_bounded_by_the_route_and_end_in_retry_after)
def ignores_the_attempts_of_the_route(patch: Patch) -> None:
    def reserve(self: RetryPolicy) -> bool:
        now_s = self.context.net.now_s()
        self._has_reservation = self._has_reservation or self.context.budget.reserve("s", 1, now_s)
        return self._has_reservation

    patch.setattr(RetryPolicy, "reserve", reserve)


@caught_by(forwarding_tests.test_connection_that_the_node_has_closed_is_not_reused)
def uses_broken_connections(patch: Patch) -> None:
    send = NodeConnection.send
    patch.setattr(NodeConnection, "is_open", property(always(True)))
    patch.setattr(NodeConnection, "send", lambda *args, **options: send(*args, **options) or True)


@caught_by(forwarding_tests.test_connections_to_nodes_and_of_clients_are_reused)
def keeps_idle_connections_too_long(patch: Patch) -> None:
    patch.setattr(NodeConnection, "is_expiring", always(False))


@caught_by(forwarding_tests.test_connections_to_nodes_and_of_clients_are_reused)
def connects_for_every_request(patch: Patch) -> None:
    patch.setattr(NodeConnection, "release", lambda self, _: self.close())


# Responses.


@caught_by(forwarding_tests.test_stale_response_to_another_request_is_skipped)
def ignores_the_attempt_id(patch: Patch) -> None:
    async def matching_head(self: ResponseRelay, connection: NodeConnection, _: Any) -> Any:
        return await connection.read_head()

    patch.setattr(ResponseRelay, "_matching_head", matching_head)


@caught_by(forwarding_tests.test_success_without_the_nodes_stamp_is_not_forwarded)
def ignores_the_stamp(patch: Patch) -> None:
    async def forward_success(self: ResponseRelay, connection: NodeConnection, response: Any, _: Any) -> None:
        await self._forward_body(connection, response)

    patch.setattr(ResponseRelay, "_forward_success", forward_success)


@caught_by(lambda: forwarding_tests.test_response_that_breaks_off_does_not_look_complete(CHUNKED, "close"))
def completes_broken_responses(patch: Patch) -> None:
    def abort(self: ClientConnection) -> None:
        self.finish()
        self.close_idle()

    patch.setattr(ClientConnection, "abort", abort)


@caught_by(forwarding_tests.test_slow_client_applies_backpressure_to_the_node)
def applies_no_backpressure(patch: Patch) -> None:
    async def wait_writable(self: ClientConnection) -> None:
        return

    patch.setattr(ClientConnection, "wait_writable", wait_writable)


@caught_by(forwarding_tests.test_client_that_disconnects_closes_the_node_connection)
def ignores_disconnected_clients(patch: Patch) -> None:
    patch.setattr(ClientConnection, "connection_lost", lambda self, _: self._owner.remove_connection(self))


# Streams.


@caught_by(lambda: forwarding_tests.test_stream_that_does_not_continue_the_first_is_not_resumed(1))
def resumes_with_any_event(patch: Patch) -> None:
    patch.setattr(EventSequence, "may_follow", always(True))


@caught_by(lambda: forwarding_tests.test_stream_that_does_not_continue_the_first_is_not_resumed(5))
def resumes_with_missing_events(patch: Patch) -> None:
    patch.setattr(EventSequence, "begin_stream", always(None))


@caught_by(lambda: RESUMED_STREAM_TEST(28))
def forwards_incomplete_events(patch: Patch) -> None:
    patch.setattr(EventSplitter, "feed", lambda self, data: [data] if data else [])


@caught_by(lambda: RESUMED_STREAM_TEST(28))
def sends_no_last_event_id(patch: Patch) -> None:
    headers = forwarded_request._headers
    patch.setattr(
        forwarded_request,
        "_headers",
        lambda *args: (header for header in headers(*args) if header[0] != "Last-Event-Id"),
    )


@caught_by(forwarding_tests.test_resumable_stream_abandons_a_stalled_node_and_an_unsafe_one_does_not)
def never_abandons_a_stalled_node(patch: Patch) -> None:
    patch.setattr(stall_policy, "_may_abandon", always(False))


@pytest.mark.parametrize("name", VARIANTS)
def test_broken_variant_is_caught(name: str, monkeypatch: Patch) -> None:
    variant, check = VARIANTS[name]
    check()
    variant(monkeypatch)
    with pytest.raises((AssertionError, pytest.fail.Exception)):
        check()
