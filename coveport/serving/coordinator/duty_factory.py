"""Makes the duties of a coordinator from its settings, and what runs them."""

from __future__ import annotations

import random
from typing import Final

from coveport.net.transport import Net
from coveport.serving.coordinator.duty_runner import DutyRunner
from coveport.serving.coordinator.peer_versions import PeerVersions
from coveport.serving.coordinator.platform_client import PlatformClient
from coveport.serving.coordinator.replica_runtime import ReplicaRuntime
from coveport.serving.duties.duty import Duty
from coveport.serving.duties.lease import DutyLease
from coveport.serving.duties.state import DutyHolder
from coveport.serving.log import EventLogger
from coveport.serving.settings.boot import BootSettings, PlatformSettings
from coveport.serving.wire.versions import DUTIES_VERSION

NO_PLATFORM: Final = PlatformSettings(("", 0))  # it wants no duties


def make_duties(settings: BootSettings, platform: PlatformSettings) -> tuple[Duty, ...]:
    """Return the duties that the platform wants."""
    return ()


def make_duty_runner(
    net: Net,
    settings: BootSettings,
    runtime: ReplicaRuntime,
    versions: PeerVersions,
    random_source: random.Random,
    log: EventLogger,
) -> DutyRunner:
    """Return the runner of this run's duties; it does nothing where there are none."""
    platform = settings.platform or NO_PLATFORM
    duties = make_duties(settings, platform)
    incarnation = f"{random_source.getrandbits(64):016x}" if duties else ""
    holder = DutyHolder(settings.name, incarnation)

    def may_submit() -> bool:
        return versions.all_read(DUTIES_VERSION, runtime.replica.peer_addresses)

    return DutyRunner(
        net,
        runtime,
        PlatformClient(net, platform.address),
        DutyLease(holder, settings.bounds.lease_ms / 1000),
        duties,
        platform.calls_per_s,
        may_submit,
        log,
    )
