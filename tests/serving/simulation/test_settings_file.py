"""Settings files that the simulation writes parse to the same settings."""

from __future__ import annotations

from coveport.serving.settings.reader import parse_boot_settings
from coveport.serving.simulation.deployment import (
    Deployment,
    MachineSpot,
    coordinator_settings,
    proxy_settings,
)
from coveport.serving.simulation.settings_file import settings_text

DEPLOYMENT = Deployment()
SEEDS = (("127.0.0.11", 8262), ("127.0.0.12", 8262))


def test_a_coordinators_settings_are_read_back() -> None:
    spot = MachineSpot("coordinator-1", "127.0.0.11", DEPLOYMENT.zones[0])
    settings = coordinator_settings(DEPLOYMENT, spot, SEEDS, '/tmp/a "quoted" \\ name', True)
    assert parse_boot_settings(settings_text(settings)) == settings


def test_a_proxys_settings_are_read_back() -> None:
    spot = MachineSpot("proxy-1", "127.0.0.21", DEPLOYMENT.zones[1])
    settings = proxy_settings(DEPLOYMENT, spot, SEEDS, False)
    parsed = parse_boot_settings(settings_text(settings))
    assert parsed == settings
