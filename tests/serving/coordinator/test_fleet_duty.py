"""The platform's call for an order of nodes, byte by byte."""

from __future__ import annotations

from coveport.serving.coordinator.fleet_duty import fleet_call
from coveport.serving.duties.duty import PlatformCall
from coveport.serving.duties.state import FleetOrder


def test_an_order_is_rendered_as_the_platform_wants_it() -> None:
    body = b'{"Service":"huvo11a","Zone":"hobart-hall","Wanted":6}'
    assert fleet_call(FleetOrder("huvo11a", "hobart-hall", 6)) == PlatformCall("/fleet", body)
