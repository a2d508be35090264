"""The rules on the duties of one coordinator at a time: calls that the platform saw, runs of nodes. Pure."""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from math import inf

from coveport.serving.model.telemetry import usage_window_at
from coveport.serving.settings.boot import Bounds
from coveport.serving.simulation.events import RequestArrived, RequestRan
from coveport.serving.simulation.history import Breach, History
from coveport.serving.simulation.platform import ACCEPTED, FENCED, USAGE_PATH, PlatformCallSeen

EDGE_S = 0.05  # a request that begins so close to the edge of a window may be counted beyond it
REPORT_SLACK_S = 5.0  # after a report's delay, for what a trouble before has left behind


@dataclass(frozen=True, slots=True)
class PlatformHistory:
    """The calls that the platform has seen, in order, and when each machine's processes started."""

    calls: Sequence[PlatformCallSeen]
    bounds: Bounds
    starts_s: Mapping[str, Sequence[float]] = field(default_factory=dict)  # by address of a machine

    @property
    def accepted(self) -> list[PlatformCallSeen]:
        """Return the calls that were taken."""
        return [call for call in self.calls if call.status == ACCEPTED]

    @property
    def reports(self) -> list[PlatformCallSeen]:
        """Return the reports of usage that were taken."""
        return [call for call in self.accepted if call.path == USAGE_PATH]

    def holder(self, call: PlatformCallSeen) -> tuple[str, int]:
        """Return the machine of a call and which of its starts made it."""
        return call.machine, bisect_right(self.starts_s.get(call.machine, ()), call.at_s)


def judge_calls(history: PlatformHistory) -> list[Breach]:
    """Return all breaches that the calls alone show, in order of time."""
    rules = (differing_reports, shared_fence, returning_holder, refused_fence)
    found = [breach for rule in rules for breach in rule(history)]
    return sorted(found, key=lambda breach: breach.at_s)


def differing_reports(history: PlatformHistory) -> Iterator[Breach]:
    """Report each usage window for which two reports that differ were taken."""
    first: dict[int, object] = {}
    for call in history.reports:
        window, counts = call.body["WindowNo"], call.body["Counts"]
        if first.setdefault(window, counts) != counts:
            yield Breach("ONE", call.at_s, f"window {window} has two reports that differ")


def shared_fence(history: PlatformHistory) -> Iterator[Breach]:
    """Report each call whose fence another holder has sent for the same subject."""
    first: dict[tuple[tuple[str, ...], int], tuple[str, int]] = {}
    for call in history.calls:
        holder = history.holder(call)
        if first.setdefault((call.subject, call.fence), holder) != holder:
            text = f"fence {call.fence} is sent by two machines, or by two starts of one: {call.machine}"
            yield Breach("ONE", call.at_s, text)


def returning_holder(history: PlatformHistory) -> Iterator[Breach]:
    """Report each machine that acts, then another, then the first again, within a lease."""
    lease_s = history.bounds.lease_ms / 1000
    newest_s: dict[str, float] = {}
    last = ""
    for call in history.accepted:
        if call.machine != last and call.at_s - newest_s.get(call.machine, -inf) < lease_s:
            yield Breach("ONE", call.at_s, f"{call.machine} acts again within a lease")
        newest_s[call.machine] = call.at_s
        last = call.machine


def refused_fence(history: PlatformHistory) -> Iterator[Breach]:
    """Report each call with a fence that its machine knows to be refused, later than a lease afterwards."""
    lease_s = history.bounds.lease_ms / 1000
    refused_s: dict[tuple[str, tuple[str, ...], int], float] = {}
    for call in history.calls:
        key = (call.machine, call.subject, call.fence)
        if call.at_s - refused_s.get(key, inf) > lease_s:
            yield Breach("Duty", call.at_s, f"{call.machine} calls again with refused fence {call.fence}")
        if call.status == FENCED:
            refused_s.setdefault(key, call.at_s)


@dataclass(frozen=True, slots=True)
class UsageHistory:
    """The reports of usage beside what the nodes began to run."""

    platform: PlatformHistory
    day: History
    unix_offset_s: float  # true time at the zero of the day's clock
    until_s: float  # end of the day; the platform answers before it

    def window(self, at_s: float) -> int:
        """Return the number of the window at a moment."""
        return usage_window_at(at_s + self.unix_offset_s, self.day.bounds.usage_window_s)

    def end_s(self, window: int) -> float:
        """Return when a window ends."""
        return (window + 1) * self.day.bounds.usage_window_s - self.unix_offset_s

    def first_runs(self) -> list[tuple[float, str]]:
        """Return when each request with a tenant first began to run, and its tenant."""
        tenants = {
            (arrived.attempt_id, arrived.incarnation): arrived.tenant
            for arrived in self.day.event_log.of(RequestArrived)
        }
        seen: set[str] = set()
        found = []
        for ran in self.day.event_log.of(RequestRan):
            tenant = tenants[ran.attempt_id, ran.incarnation]
            if tenant and ran.attempt_id not in seen:
                seen.add(ran.attempt_id)
                found.append((ran.at_s, tenant))
        return found

    def windows_with_runs(self) -> list[int]:
        """Return the windows in which requests of tenants began to run."""
        return sorted({self.window(at_s) for at_s, _ in self.first_runs()})

    def first_accepted_s(self) -> dict[int, float]:
        """Return when the first report of each window was taken."""
        found: dict[int, float] = {}
        for call in self.platform.reports:
            found.setdefault(call.body["WindowNo"], call.at_s)
        return found

    def was_calm(self, window: int) -> bool:
        """Return whether there was no fault from a window's start until its report is due."""
        bounds = self.day.bounds
        end_s = self.end_s(window)
        return self.day.was_calm(end_s - bounds.usage_window_s, end_s + bounds.usage_delay_s)


def judge_usage(history: UsageHistory) -> list[Breach]:
    """Return all breaches of the rules on reports, in order of time."""
    found = [breach for rule in (missing_reports, late_reports, wrong_counts) for breach in rule(history)]
    return sorted(found, key=lambda breach: breach.at_s)


def missing_reports(history: UsageHistory) -> Iterator[Breach]:
    """Report each window with runs whose report has not been taken by the end of the day."""
    accepted_s = history.first_accepted_s()
    for window in history.windows_with_runs():
        due_s = history.end_s(window) + history.day.bounds.usage_delay_s + REPORT_SLACK_S
        if due_s <= history.until_s and window not in accepted_s:
            yield Breach("Duty", due_s, f"window {window} is not reported")


def late_reports(history: UsageHistory) -> Iterator[Breach]:
    """Report each calm window with runs whose report was taken too late."""
    accepted_s = history.first_accepted_s()
    for window in history.windows_with_runs():
        due_s = history.end_s(window) + history.day.bounds.usage_delay_s
        if accepted_s.get(window, -inf) > due_s and history.was_calm(window):
            yield Breach("Duty", accepted_s[window], f"window {window} is reported too late")


def wrong_counts(history: UsageHistory) -> Iterator[Breach]:
    """Report each calm window and tenant whose count is off by more than the tolerated part."""
    error = history.day.bounds.usage_error
    surely = _runs_by_window(history, EDGE_S)
    perhaps = _runs_by_window(history, -EDGE_S)
    for call in history.platform.reports:
        window, counts = call.body["WindowNo"], call.body["Counts"]
        if not history.was_calm(window):
            continue
        for tenant in sorted({name for at, name in perhaps if at == window} | set(counts)):
            least = surely[window, tenant] * (1 - error)
            most = perhaps[window, tenant] * (1 + error)
            count = counts.get(tenant, 0)
            if not least <= count <= most:
                text = f"window {window}, {tenant}: {count} reported, {least:.1f} to {most:.1f} ran"
                yield Breach("Duty", call.at_s, text)


def _runs_by_window(history: UsageHistory, inset_s: float) -> Counter[tuple[int, str]]:
    """Count the runs by window and tenant; windows are shorter by `inset_s` at both ends."""
    found: Counter[tuple[int, str]] = Counter()
    for at_s, tenant in history.first_runs():
        for window in {history.window(at_s - inset_s), history.window(at_s), history.window(at_s + inset_s)}:
            end_s = history.end_s(window)
            if end_s - history.day.bounds.usage_window_s + inset_s <= at_s < end_s - inset_s:
                found[window, tenant] += 1
    return found
