"""The rules on requests and answers: each looks through a case for breaches. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from coveport.serving.simulation.events import Ending, TroubleBegan, TryEnded, TrySent
from coveport.serving.simulation.history import Breach, Case
from coveport.serving.simulation.texts import digest, event_text, whole_body

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
DENIED_SLACK = 5
DENIED_SHARE = 1 / 500


def mixed(case: Case) -> Iterator[Breach]:
    """A client got something that isn't the answer to its request, whole and as the node gave it."""
    for try_id, ended in case.ended.items():
        fault = _mixed_fault(case, case.tries[try_id], ended)
        if fault is not None:
            yield Breach("MIXED", ended.at_s, f"try {try_id}: {fault}")


def _mixed_fault(case: Case, sent: TrySent, ended: TryEnded) -> str | None:
    if ended.ending is Ending.GARBLED:
        return "bytes that are no answer"
    if ended.surplus:
        return "more bytes than the answer"
    if ended.answered_id not in ("", sent.try_id):
        return f"the answer to {ended.answered_id}"
    if not 200 <= ended.status < 300:
        return None
    runs = {ran.run: ran for ran in case.ran.get(sent.try_id, [])}
    if ended.stamp not in {ran.stamp for ran in runs.values()}:
        return f"a success whose stamp {ended.stamp!r} no node gave it"
    for event in ended.events:
        if event.run not in runs or event.text != event_text(event.run, event.number):
            return f"event {event.number} is not what a node wrote for it"
    if not ended.is_stream and ended.ending is Ending.COMPLETE:
        bodies = {digest(whole_body(run, sent.body_digest)) for run in runs}
        if ended.body_digest not in bodies:
            return "not the node's whole body"
    return None


def order(case: Case) -> Iterator[Breach]:
    """A stream with a gap, a repetition, an early end, or pieces of runs that don't belong together."""
    for try_id, ended in case.ended.items():
        if not (ended.is_stream and 200 <= ended.status < 300):
            continue
        fault = _order_fault(case, case.tries[try_id], ended)
        if fault is not None:
            yield Breach("ORDER", ended.at_s, f"try {try_id}: {fault}")


def _order_fault(case: Case, sent: TrySent, ended: TryEnded) -> str | None:
    runs = {ran.run: ran for ran in case.ran.get(sent.try_id, [])}
    wanted, run = sent.resumes_after + 1, ""
    for event in ended.events:
        if event.number != wanted:
            return f"event {event.number} in place of {wanted}"
        if event.run != run and event.run in runs:
            if run and not case.is_idempotent(sent):
                return f"event {wanted} is of a second run"
            if runs[event.run].first_event != wanted:
                return f"a run that begins at {runs[event.run].first_event} is joined at {wanted}"
        run = event.run
        wanted += 1
    if ended.ending is Ending.COMPLETE and wanted - 1 != sent.events_wanted:
        return f"it ends as complete after event {wanted - 1} of {sent.events_wanted}"
    return None


def unasked(case: Case) -> Iterator[Breach]:
    """A node ran what no client sent, or not as it was sent."""
    for arrival in case.arrivals:
        if not any(ran.incarnation == arrival.incarnation for ran in case.ran.get(arrival.try_id, [])):
            continue
        sent = case.tries.get(arrival.try_id)
        if sent is None:
            yield Breach("UNASKED", arrival.at_s, f"no client sent {arrival.try_id}")
            continue
        asked = sent.method, sent.target, sent.body_digest
        if asked != (arrival.method, arrival.target, arrival.body_digest):
            yield Breach("UNASKED", arrival.at_s, f"try {arrival.try_id} was changed on its way")


def twice(case: Case) -> Iterator[Breach]:
    """A request that isn't idempotent ran more than once."""
    for try_id, runs in case.ran.items():
        sent = case.tries.get(try_id)
        if len(runs) > 1 and sent is not None and not case.is_idempotent(sent):
            yield Breach("TWICE", runs[1].at_s, f"try {try_id} ran {len(runs)} times")


def refused(case: Case) -> Iterator[Breach]:
    """A client was promised that a request that can't be repeated has not run, but it has."""
    for try_id, ended in case.ended.items():
        promised = ended.status in PROMISES_NOT_RUN and ended.ending is Ending.COMPLETE
        if promised and case.ran.get(try_id) and not case.is_idempotent(case.tries[try_id]):
            yield Breach("REFUSED", ended.at_s, f"try {try_id} got {ended.status}, but ran")


def denied(case: Case) -> Iterator[Breach]:
    """Machines in touch end too many proper requests with a 3xx or 4xx of their own."""
    denials = []
    for try_id, ended in case.ended.items():
        sent = case.tries[try_id]
        own = 300 <= ended.status < 500 and ended.status not in PROMISES_NOT_RUN and not case.ran.get(try_id)
        allowed = case.versions and all(
            version.route(sent.host, sent.target) for version in case.versions if version.may_be_in_force
        )
        if own and allowed and not sent.is_probe and case.proxy_in_touch(try_id, sent.at_s):
            denials.append(ended)
    most = DENIED_SLACK + DENIED_SHARE * len(case.tries)
    if len(denials) > most:
        yield Breach("DENIED", denials[-1].at_s, f"{len(denials)} proper requests, {most:.0f} may be")


def route(case: Case) -> Iterator[Breach]:
    """A service ran a request that no configuration ever sent to it."""
    for try_id, runs in case.ran.items():
        sent = case.tries.get(try_id)
        if sent is None:
            continue
        routes = [version.route(sent.host, sent.target) for version in case.versions]
        services = {service for one in routes if one is not None for service in one.services}
        for ran in runs:
            service = case.nodes[ran.incarnation].service
            if service not in services:
                yield Breach("ROUTE", ran.at_s, f"try {try_id} ran at service {service}")


def home(case: Case) -> Iterator[Breach]:
    """A request with homes reached a node outside them, by every version that may be in force."""
    for arrival in case.arrivals:
        region = case.nodes[arrival.incarnation].region
        routes = [
            version.route(arrival.host, arrival.target)
            for version in case.versions
            if version.may_be_in_force and version.sent.at_s <= arrival.at_s
        ]
        found = [one for one in routes if one is not None]
        if found and not any(not one.homes or region in one.homes for one in found):
            yield Breach("HOME", arrival.at_s, f"try {arrival.try_id} in region {region}")


def lost(case: Case) -> Iterator[Breach]:
    """Around a planned stop of its machine, a request that was read ended without a whole answer."""
    for stop in case.book.of(TroubleBegan):
        if stop.planned and stop.kind == "term":
            yield from _lost_in(case, stop)


def _lost_in(case: Case, stop: TroubleBegan) -> Iterator[Breach]:
    bounds = case.bounds
    until_s = stop.at_s + bounds.grace_s + 1.0
    for try_id, ended in case.ended.items():
        sent = case.tries[try_id]
        machine = case.machines.get(sent.proxy, sent.proxy)
        if ended.ending is not Ending.BROKEN or machine not in stop.machines:
            continue
        if not stop.at_s <= ended.at_s <= until_s or not case.was_calm(sent.at_s, ended.at_s):
            continue
        passed_on = bool(case.arrived.get(try_id))
        held = ended.at_s - sent.at_s > bounds.loss_slack_ms / 1000
        if (passed_on or held) and not _was_excused(case, sent, ended, stop):
            yield Breach("LOST", ended.at_s, f"try {try_id} was read by {machine}, and broken off")


def _was_excused(case: Case, sent: TrySent, ended: TryEnded, stop: TroubleBegan) -> bool:
    """Whether the node broke off, time was up, or the node was at work late in the time of grace."""
    route = case.route_in_any(sent.host, sent.target)
    due_s = min(sent.deadline_s, sent.at_s + (route.timeout_s if route and route.timeout_s else 1e9))
    finished = case.finished.get(sent.try_id, [])
    still_at_work = ended.at_s > stop.at_s + case.bounds.grace_s / 2 and bool(case.ran.get(sent.try_id))
    return any(one.node_broke for one in finished) or ended.at_s >= due_s or still_at_work
