"""The rules on singleton roles: calls that the platform received, compared with the runs of nodes. Pure."""

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

WINDOW_EDGE_S = (
    0.05  # a request that starts this close to the edge of a window may count in the adjacent window
)
REPORT_SLACK_S = 5.0  # after the delay of a report, for the backlog of an earlier fault


@dataclass(frozen=True, slots=True)
class PlatformHistory:
    """The calls that the platform received, in order, and when each machine's processes started."""

    calls: Sequence[PlatformCallSeen]
    bounds: Bounds
    starts_s: Mapping[str, Sequence[float]] = field(default_factory=dict)  # by the machine's address

    @property
    def accepted(self) -> list[PlatformCallSeen]:
        """Return the accepted calls."""
        return [call for call in self.calls if call.status == ACCEPTED]

    @property
    def reports(self) -> list[PlatformCallSeen]:
        """Return the accepted usage reports."""
        return [call for call in self.accepted if call.path == USAGE_PATH]

    def holder(self, call: PlatformCallSeen) -> tuple[str, int]:
        """Return the machine that sent a call, and the number of the process start that sent it."""
        return call.machine, bisect_right(self.starts_s.get(call.machine, ()), call.at_s)


def judge_calls(history: PlatformHistory) -> list[Breach]:
    """Return all breaches that the calls alone show, in order of time."""
    rules = (differing_reports, shared_fence, returning_holder, refused_fence)
    found = [breach for rule in rules for breach in rule(history)]
    return sorted(found, key=lambda breach: breach.at_s)


def differing_reports(history: PlatformHistory) -> Iterator[Breach]:
    """Report each usage window for which two different reports were accepted."""
    first: dict[int, object] = {}
    for call in history.reports:
        window, counts = call.body["WindowNo"], call.body["Counts"]
        if first.setdefault(window, counts) != counts:
            yield Breach("ONE", call.at_s, f"window {window} has two reports that differ")


def shared_fence(history: PlatformHistory) -> Iterator[Breach]:
    """Report each call whose fencing token another lease holder has sent for the same subject."""
    first: dict[tuple[tuple[str, ...], int], tuple[str, int]] = {}
    for call in history.calls:
        holder = history.holder(call)
        if first.setdefault((call.subject, call.fence), holder) != holder:
            text = f"fence {call.fence} is sent by two machines, or by two starts of one: {call.machine}"
            yield Breach("ONE", call.at_s, text)


def returning_holder(history: PlatformHistory) -> Iterator[Breach]:
    """Report each machine that acts again within a lease's duration although another acted in between."""
    lease_s = history.bounds.lease_ms / 1000
    newest_s: dict[str, float] = {}
    last = ""
    for call in history.accepted:
        if call.machine != last and call.at_s - newest_s.get(call.machine, -inf) < lease_s:
            yield Breach("ONE", call.at_s, f"{call.machine} acts again within a lease")
        newest_s[call.machine] = call.at_s
        last = call.machine


def refused_fence(history: PlatformHistory) -> Iterator[Breach]:
    """Report each call with a fencing token that was rejected more than a lease's duration earlier."""
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
    """The usage reports, and the requests that the nodes began to run."""

    platform: PlatformHistory
    day: History
    unix_offset_s: float  # Unix time at which the day's clock reads zero
    until_s: float  # end of the day; reports due later are not judged

    def window(self, at_s: float) -> int:
        """Return the number of the window that contains a time."""
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
        """Return when the first report of each window was accepted."""
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
    """Return all breaches of the rules on usage reports, in order of time."""
    found = [breach for rule in (missing_reports, late_reports, wrong_counts) for breach in rule(history)]
    return sorted(found, key=lambda breach: breach.at_s)


def missing_reports(history: UsageHistory) -> Iterator[Breach]:
    """Report each window with runs that has no accepted report although one was due before the day's end."""
    accepted_s = history.first_accepted_s()
    for window in history.windows_with_runs():
        due_s = history.end_s(window) + history.day.bounds.usage_delay_s + REPORT_SLACK_S
        if due_s <= history.until_s and window not in accepted_s:
            yield Breach("Duty", due_s, f"window {window} is not reported")


def late_reports(history: UsageHistory) -> Iterator[Breach]:
    """Report each window with runs but without faults whose report was accepted too late."""
    accepted_s = history.first_accepted_s()
    for window in history.windows_with_runs():
        due_s = history.end_s(window) + history.day.bounds.usage_delay_s
        if accepted_s.get(window, -inf) > due_s and history.was_calm(window):
            yield Breach("Duty", accepted_s[window], f"window {window} is reported too late")


def wrong_counts(history: UsageHistory) -> Iterator[Breach]:
    """Report each count, in windows without faults, that is off by more than the tolerated fraction."""
    error = history.day.bounds.usage_error
    certain_runs = _runs_by_window(history, WINDOW_EDGE_S)
    possible_runs = _runs_by_window(history, -WINDOW_EDGE_S)
    for call in history.platform.reports:
        window, counts = call.body["WindowNo"], call.body["Counts"]
        if not history.was_calm(window):
            continue
        for tenant in sorted({name for at, name in possible_runs if at == window} | set(counts)):
            least = certain_runs[window, tenant] * (1 - error)
            most = possible_runs[window, tenant] * (1 + error)
            count = counts.get(tenant, 0)
            if not least <= count <= most:
                text = f"window {window}, {tenant}: {count} reported, {least:.1f} to {most:.1f} ran"
                yield Breach("Duty", call.at_s, text)


def _runs_by_window(history: UsageHistory, inset_s: float) -> Counter[tuple[int, str]]:
    """Count the runs by window and tenant; windows are shortened by `inset_s` at both ends."""
    found: Counter[tuple[int, str]] = Counter()
    for at_s, tenant in history.first_runs():
        for window in {history.window(at_s - inset_s), history.window(at_s), history.window(at_s + inset_s)}:
            end_s = history.end_s(window)
            if end_s - history.day.bounds.usage_window_s + inset_s <= at_s < end_s - inset_s:
                found[window, tenant] += 1
    return found
