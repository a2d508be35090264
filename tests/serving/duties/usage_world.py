"""Usage reports in simulated time: counting proxies, a lease owner's schedule and state, and a platform."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from coveport.serving.coordinator.usage_duty import usage_call
from coveport.serving.duties.commands import FixUsageReports
from coveport.serving.duties.duty import CallOutcome, PlatformCall
from coveport.serving.duties.state import LeaseOwner, SingletonState
from coveport.serving.duties.telemetry_table import TelemetryTable
from coveport.serving.duties.usage_ledger import ReportSource, UsageLog
from coveport.serving.duties.usage_schedule import UsageSchedule, UsageSources, UsageTimings
from coveport.serving.membership.leases import LEASE_DURATION_S
from coveport.serving.model.telemetry import ProxyTelemetry
from coveport.serving.model.true_clock import TrueClock
from coveport.serving.proxy.usage_counter import UsageCounter

STEP_S = 0.05
REPORT_INTERVAL_S = 0.4
TIMINGS = UsageTimings(window_s=5.0, delay_s=10.0)
START_UNIX_S = 1_700_000_000.0  # the beginning of a window
FIRST_WINDOW = 340_000_000
TENANTS = ("a", "b", "c")


@dataclass
class CountingProxy:
    """A proxy that may be partitioned or killed."""

    name: str
    counter: UsageCounter = field(default_factory=lambda: UsageCounter(TIMINGS.window_s))
    sequence: int = 0
    is_partitioned: bool = False
    is_killed: bool = False
    lease_renewed_at_s: float = -1e9

    @property
    def source(self) -> ReportSource:
        return ReportSource(self.name, 1)

    def report(self, unix_s: float) -> ProxyTelemetry:
        """Return the next report."""
        self.sequence += 1
        open_window = self.counter.open_window(unix_s)
        return ProxyTelemetry(self.name, 1, self.sequence, open_window, self.counter.take_changes())


@dataclass
class Platform:
    """Records reports: all bodies of each window, and when the first report of a window was accepted."""

    outcome: CallOutcome = CallOutcome.ACCEPTED
    bodies: dict[int, set[bytes]] = field(default_factory=dict)
    accepted_at_s: dict[int, float] = field(default_factory=dict)
    calls: list[float] = field(default_factory=list)


class UsageWorld:
    """Time advances in steps; `clock_step_s` offsets the lease owner's wall clock."""

    def __init__(self, proxies: int = 3, seed: int = 1) -> None:
        self.now_s = 0.0
        self.random = Random(seed)
        self.proxies = [CountingProxy(f"p{number}") for number in range(proxies)]
        self.true_counts: dict[int, Counter[str]] = {}
        self.platform = Platform()
        self.state = SingletonState(LeaseOwner("c1", "1"), 1)
        self.rejected: list[int] = []
        self.clock_step_s = 0.0
        self.requests_per_step = 1
        self.loses_commits = False
        self.has_owner = True
        self.usage_log = UsageLog()
        self.table = TelemetryTable()
        self.clock = TrueClock()
        self.schedule = self._make_schedule()

    def _make_schedule(self) -> UsageSchedule:
        sources = UsageSources(self.usage_log, self.table, self._live_proxies)
        return UsageSchedule(TIMINGS, sources, self.clock, usage_call, self.rejected.append)

    def take_over(self) -> None:
        """Let another coordinator be the lease owner, with the same reports and state."""
        self.schedule = self._make_schedule()
        self.state = replace(
            self.state, owner=LeaseOwner("c2", "1"), fencing_token=self.state.fencing_token + 1
        )
        self.schedule.take_over(self.state, self.now_s)

    def _live_proxies(self, now_s: float) -> list[ReportSource]:
        return [
            proxy.source for proxy in self.proxies if now_s - proxy.lease_renewed_at_s <= LEASE_DURATION_S
        ]

    @property
    def unix_s(self) -> float:
        return START_UNIX_S + self.now_s

    @property
    def window(self) -> int:
        return FIRST_WINDOW + int(self.now_s // TIMINGS.window_s)

    def run(self, until_s: float, each_step: Callable[[], None] = lambda: None) -> None:
        """Simulate until `until_s`; call `each_step` in each step."""
        while self.now_s < until_s:
            self.now_s = round(self.now_s + STEP_S, 6)
            each_step()
            self.clock.observe(self.now_s, self.unix_s + self.clock_step_s)
            self._count_requests()
            self._report()
            self.table.expire(self.now_s)
            if self.has_owner:
                self._act()

    def _count_requests(self) -> None:
        running = [proxy for proxy in self.proxies if not proxy.is_killed]
        for _ in range(self.requests_per_step if running else 0):
            tenant = self.random.choice(TENANTS)
            self.random.choice(running).counter.add(tenant, self.unix_s)
            self.true_counts.setdefault(self.window, Counter())[tenant] += 1

    def _report(self) -> None:
        if round(self.now_s / STEP_S) % round(REPORT_INTERVAL_S / STEP_S):
            return
        for proxy in self.proxies:
            if not proxy.is_partitioned and not proxy.is_killed:
                proxy.lease_renewed_at_s = self.now_s
                report = proxy.report(self.unix_s)
                self.table.record(report, self.now_s)
                self.usage_log.merge(report)

    def _act(self) -> None:
        command = self.schedule.next_command(self.state, self.state.fencing_token, self.now_s)
        if isinstance(command, FixUsageReports) and not self.loses_commits:
            self._commit(command)
        call = self.schedule.next_call(self.state, self.now_s)
        if call is not None:
            self.schedule.record_outcome(call, self._post(call), self.now_s)

    def _commit(self, command: FixUsageReports) -> None:
        """Apply a command as the replicas do."""
        assert command.fencing_token == self.state.fencing_token
        last_fixed = self.state.last_fixed_window
        new = tuple(report for report in command.reports if report.window > last_fixed)
        kept = tuple(
            report for report in self.state.unsent_reports if report.window not in command.accepted_windows
        )
        last_fixed = new[-1].window if new else last_fixed
        self.state = replace(self.state, last_fixed_window=last_fixed, unsent_reports=kept + new)
        self.usage_log.drop_until(last_fixed)

    def _post(self, call: PlatformCall) -> CallOutcome:
        window = self.schedule._called_window
        self.platform.calls.append(self.now_s)
        self.platform.bodies.setdefault(window, set()).add(call.body)
        if self.platform.outcome is CallOutcome.ACCEPTED:
            self.platform.accepted_at_s.setdefault(window, self.now_s)
        return self.platform.outcome

    def sent_body(self, window: int) -> bytes:
        """Return the only body that was sent for a window."""
        (body,) = self.platform.bodies[window]
        return body

    def late_by_s(self, window: int) -> float:
        """Return how long after the window's end its report was accepted."""
        return self.platform.accepted_at_s[window] - (window + 1 - FIRST_WINDOW) * TIMINGS.window_s
