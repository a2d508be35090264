"""The exact call for an order of nodes, and the services read from committed states."""

from __future__ import annotations

import json

from coveport.serving.configuration.state import ControlState
from coveport.serving.coordinator.committed_services import CommittedServices
from coveport.serving.coordinator.fleet_duty import fleet_call
from coveport.serving.duties.duty import PlatformCall
from coveport.serving.duties.state import FleetOrder
from coveport.serving.model.configuration import Scaling


def test_order_is_encoded_in_the_format_of_the_platform() -> None:
    body = b'{"Service":"huvo11a","Zone":"hobart-hall","Wanted":6}'
    assert fleet_call(FleetOrder("huvo11a", "hobart-hall", 6)) == PlatformCall("/fleet", body)


def test_services_and_evacuations_are_those_of_the_newest_committed_state() -> None:
    services = CommittedServices()
    assert services.services() == ()
    services.record_committed(ControlState(configuration(7), edition=7, evacuated_zones=frozenset("z")))
    assert [service.scaling for service in services.services()] == [Scaling(7, 9, 8.0)]
    assert services.evacuated_zones() == {"z"}
    services.record_committed(ControlState(configuration(8), edition=8))
    assert [service.scaling for service in services.services()] == [Scaling(8, 9, 8.0)]
    assert services.evacuated_zones() == frozenset()


def test_configuration_that_cannot_be_read_has_no_services() -> None:
    services = CommittedServices()
    services.record_committed(ControlState(b"{}", edition=1))
    assert services.services() == ()


def configuration(min_nodes: int) -> bytes:
    scaling = {"Min": min_nodes, "Max": 9, "BootS": 8.0}
    return json.dumps(
        {"Edition": min_nodes, "Routes": [], "Services": [{"Name": "s", "Scaling": scaling}]}
    ).encode()
