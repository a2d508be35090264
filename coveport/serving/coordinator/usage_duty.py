"""Connects the duty that reports usage to this coordinator's tables, and encodes its calls."""

from __future__ import annotations

import json

from coveport.serving.coordinator.telemetry_replication import TelemetryReplicator
from coveport.serving.duties.duty import PlatformCall
from coveport.serving.duties.state import UsageReport
from coveport.serving.duties.usage_ledger import ReportSource
from coveport.serving.duties.usage_schedule import UsageSchedule, UsageSources, UsageTimings
from coveport.serving.log import EventLogger
from coveport.serving.membership.leases import LeaseTable
from coveport.serving.model.true_clock import TrueClock
from coveport.serving.wire.names import Path, Usage


def make_usage_duty(
    timings: UsageTimings,
    telemetry: TelemetryReplicator,
    leases: LeaseTable,
    clock: TrueClock,
    log: EventLogger,
) -> UsageSchedule:
    """Return the duty that reports the usage in `telemetry`, for proxies with a lease."""

    def live_proxies(now_s: float) -> frozenset[ReportSource]:
        return frozenset(ReportSource(lease.name, lease.incarnation) for lease in leases.active(now_s))

    def log_rejection(window: int) -> None:
        log.error("usage_report_rejected", window=window)

    sources = UsageSources(telemetry.usage_log, telemetry.table, live_proxies)
    return UsageSchedule(timings, sources, clock, usage_call, log_rejection)


def usage_call(report: UsageReport) -> PlatformCall:
    """Return the call for a report; equal reports give the same bytes."""
    counts = {count.tenant: count.requests for count in report.counts}
    body = {Usage.WINDOW: report.window, Usage.COUNTS: counts}
    text = json.dumps(body, ensure_ascii=False, separators=(",", ":"))
    return PlatformCall(Path.USAGE, text.encode())
