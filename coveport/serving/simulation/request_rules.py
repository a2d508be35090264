"""The rules on requests and answers: each finds breaches in a history. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from coveport.serving.simulation.events import AttemptEnded, AttemptStarted, Ending, FaultBegan
from coveport.serving.simulation.history import Breach, History
from coveport.serving.simulation.texts import complete_body, digest, event_text

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})  # statuses that state that the request did not run
DENIED_SLACK = 5  # requests
DENIED_FRACTION = 1 / 500  # of all attempts


def mixed(history: History) -> Iterator[Breach]:
    """Report each answer that differs from the one that a node gave to the client's request."""
    for attempt_id, ended in history.ended.items():
        fault = _mixed_fault(history, history.attempts[attempt_id], ended)
        if fault is not None:
            yield Breach("MIXED", ended.at_s, f"try {attempt_id}: {fault}")


def _mixed_fault(history: History, started: AttemptStarted, ended: AttemptEnded) -> str | None:
    if ended.ending is Ending.GARBLED:
        return "bytes that are no answer"
    if ended.surplus:
        return "more bytes than the answer"
    if ended.answered_id not in ("", started.attempt_id):
        return f"the answer to {ended.answered_id}"
    if not 200 <= ended.status < 300:
        return None
    return _success_fault(history, started, ended)


def _success_fault(history: History, started: AttemptStarted, ended: AttemptEnded) -> str | None:
    """Return the part of a successful answer that no run of the attempt wrote; None if there is none."""
    runs = {ran.run: ran for ran in history.ran.get(started.attempt_id, [])}
    if ended.stamp not in {ran.stamp for ran in runs.values()}:
        return f"a success whose stamp {ended.stamp!r} no node gave it"
    for event in ended.events:
        if event.run not in runs or event.text != event_text(event.run, event.number):
            return f"event {event.number} is not what a node wrote for it"
    if not ended.is_stream and ended.ending is Ending.COMPLETE:
        bodies = {digest(complete_body(run, started.body_digest)) for run in runs}
        if ended.body_digest not in bodies:
            return "not the node's whole body"
    return None


def order(history: History) -> Iterator[Breach]:
    """Report each stream with a gap, a repetition, an early end, or events of unrelated runs."""
    for attempt_id, ended in history.ended.items():
        if not (ended.is_stream and 200 <= ended.status < 300):
            continue
        fault = _order_fault(history, history.attempts[attempt_id], ended)
        if fault is not None:
            yield Breach("ORDER", ended.at_s, f"try {attempt_id}: {fault}")


def _order_fault(history: History, started: AttemptStarted, ended: AttemptEnded) -> str | None:
    runs = {ran.run: ran for ran in history.ran.get(started.attempt_id, [])}
    expected_number, run = started.resumes_after + 1, ""
    for event in ended.events:
        if event.number != expected_number:
            return f"event {event.number} in place of {expected_number}"
        if event.run != run and event.run in runs:
            if run and not history.is_idempotent(started):
                return f"event {expected_number} is of a second run"
            if runs[event.run].first_event != expected_number:
                return f"a run that begins at {runs[event.run].first_event} is joined at {expected_number}"
        run = event.run
        expected_number += 1
    if ended.ending is Ending.COMPLETE and expected_number - 1 != started.events_wanted:
        return f"it ends as complete after event {expected_number - 1} of {started.events_wanted}"
    return None


def unasked(history: History) -> Iterator[Breach]:
    """Report each request that a node ran although no client sent it, or that was changed in transit."""
    for arrival in history.arrivals:
        if not any(ran.incarnation == arrival.incarnation for ran in history.ran.get(arrival.attempt_id, [])):
            continue
        started = history.attempts.get(arrival.attempt_id)
        if started is None:
            yield Breach("UNASKED", arrival.at_s, f"no client sent {arrival.attempt_id}")
            continue
        expected = started.method, started.target, started.body_digest
        if expected != (arrival.method, arrival.target, arrival.body_digest):
            yield Breach("UNASKED", arrival.at_s, f"try {arrival.attempt_id} was changed on its way")


def twice(history: History) -> Iterator[Breach]:
    """Report each request that ran more than once although it is not idempotent."""
    for attempt_id, runs in history.ran.items():
        started = history.attempts.get(attempt_id)
        if len(runs) > 1 and started is not None and not history.is_idempotent(started):
            yield Breach("TWICE", runs[1].at_s, f"try {attempt_id} ran {len(runs)} times")


def refused(history: History) -> Iterator[Breach]:
    """Report each non-idempotent request that ran although its status states that it did not run."""
    for attempt_id, ended in history.ended.items():
        promised = ended.status in PROMISES_NOT_RUN and ended.ending is Ending.COMPLETE
        if (
            promised
            and history.ran.get(attempt_id)
            and not history.is_idempotent(history.attempts[attempt_id])
        ):
            yield Breach("REFUSED", ended.at_s, f"try {attempt_id} got {ended.status}, but ran")


def denied(history: History) -> Iterator[Breach]:
    """Report too many valid requests to which reachable proxies themselves answered 3xx or 4xx."""
    denials = []
    for attempt_id, ended in history.ended.items():
        started = history.attempts[attempt_id]
        denied_by_proxy = (
            300 <= ended.status < 500
            and ended.status not in PROMISES_NOT_RUN
            and not history.ran.get(attempt_id)
        )
        allowed = history.versions and all(
            version.allows(started) for version in history.versions if version.may_be_in_force
        )
        if (
            denied_by_proxy
            and allowed
            and not started.is_direct
            and history.proxy_in_touch(attempt_id, started.at_s)
        ):
            denials.append(ended)
    most = DENIED_SLACK + DENIED_FRACTION * len(history.attempts)
    if len(denials) > most:
        yield Breach("DENIED", denials[-1].at_s, f"{len(denials)} proper requests, {most:.0f} may be")


def route(history: History) -> Iterator[Breach]:
    """Report each request that ran at a service to which no configuration routes it."""
    for attempt_id, runs in history.ran.items():
        started = history.attempts.get(attempt_id)
        if started is None:
            continue
        routes = [version.route(started.host, started.target) for version in history.versions]
        services = {service for route in routes if route is not None for service in route.services}
        for ran in runs:
            service = history.nodes[ran.incarnation].service
            if service not in services:
                yield Breach("ROUTE", ran.at_s, f"try {attempt_id} ran at service {service}")


def home(history: History) -> Iterator[Breach]:
    """Report each request that reached a node outside its home regions in every possible version."""
    for arrival in history.arrivals:
        region = history.nodes[arrival.incarnation].region
        routes = [
            version.route(arrival.host, arrival.target)
            for version in history.versions
            if version.may_be_in_force and version.started.at_s <= arrival.at_s
        ]
        known_routes = [route for route in routes if route is not None]
        if known_routes and not any(not route.homes or region in route.homes for route in known_routes):
            yield Breach("HOME", arrival.at_s, f"try {arrival.attempt_id} in region {region}")


def lost(history: History) -> Iterator[Breach]:
    """Report each request that was read and then lost because of a planned stop of its proxy."""
    for stop in history.event_log.of(FaultBegan):
        if stop.planned and stop.kind == "term":
            yield from _lost_at_stop(history, stop)


def _lost_at_stop(history: History, stop: FaultBegan) -> Iterator[Breach]:
    bounds = history.bounds
    until_s = stop.at_s + bounds.grace_s + 1.0
    for attempt_id, ended in history.ended.items():
        started = history.attempts[attempt_id]
        machine = history.machines.get(started.proxy, started.proxy)
        if ended.ending is not Ending.BROKEN or machine not in stop.machines:
            continue
        if not stop.at_s <= ended.at_s <= until_s or not history.was_calm(started.at_s, ended.at_s):
            continue
        passed_on = bool(history.arrived.get(attempt_id))
        was_read = ended.at_s - started.at_s > bounds.loss_slack_ms / 1000
        if (passed_on or was_read) and not _was_excused(history, started, ended, stop):
            yield Breach("LOST", ended.at_s, f"try {attempt_id} was read by {machine}, and broken off")


def _was_excused(history: History, started: AttemptStarted, ended: AttemptEnded, stop: FaultBegan) -> bool:
    """Return whether the node aborted, the deadline passed, or the run lasted late into the grace period."""
    route = history.route_in_any(started.host, started.target)
    deadline_s = min(
        started.deadline_s, started.at_s + (route.timeout_s if route and route.timeout_s else 1e9)
    )
    finished = history.finished.get(started.attempt_id, [])
    still_running = ended.at_s > stop.at_s + history.bounds.grace_s / 2 and bool(
        history.ran.get(started.attempt_id)
    )
    return any(run.node_broke for run in finished) or ended.at_s >= deadline_s or still_running
