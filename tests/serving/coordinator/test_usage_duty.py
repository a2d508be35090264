"""The exact call for a usage report."""

from __future__ import annotations

import json

from coveport.serving.coordinator.usage_duty import usage_call
from coveport.serving.duties.duty import PlatformCall
from coveport.serving.duties.state import UsageReport
from coveport.serving.model.telemetry import TenantCount


def test_report_is_encoded_in_the_format_of_the_platform() -> None:
    report = UsageReport(353445120, (TenantCount("goka901", 412), TenantCount("nowu640", 7)))
    body = b'{"WindowNo":353445120,"Counts":{"goka901":412,"nowu640":7}}'
    assert usage_call(report) == PlatformCall("/usage", body)


def test_a_window_without_requests_has_no_counts() -> None:
    assert usage_call(UsageReport(3, ())).body == b'{"WindowNo":3,"Counts":{}}'


def test_names_of_tenants_are_escaped() -> None:
    report = UsageReport(3, (TenantCount('a "größe" \n', 1),))
    assert json.loads(usage_call(report).body) == {"WindowNo": 3, "Counts": {'a "größe" \n': 1}}
