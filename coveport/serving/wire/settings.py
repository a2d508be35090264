"""The external names of the boot settings, by their names in this system."""

from __future__ import annotations

from typing import Final

from coveport.serving.duties.kinds import SingletonTaskKind


class Boot:
    """Top-level fields of the settings file."""

    NAME: Final = "NodeName"
    IP: Final = "Ip"
    ZONE: Final = "Zone"
    REGION: Final = "Region"
    INNER_PORTS: Final = "InnerPortRange"
    SEEDS: Final = "SeedAddrs"
    FIRST_BOOT: Final = "FirstBoot"
    LOSS_COUNTED: Final = "LossCounted"
    DATA_DIR: Final = "DataDir"
    SERVES: Final = "Serves"
    HEARTBEAT_MS: Final = "BeatMs"
    REGIONS: Final = "Zones"
    LISTEN: Final = "Listen"
    LIMITS: Final = "Limits"
    TOLERATED: Final = "Tolerate"
    BOUNDS: Final = "Bounds"
    PLATFORM: Final = "CarrierApi"


LISTEN: Final = {
    "clients": "FrontHttp",
    "readiness": "Readiness",
    "control": "Control",
    "lookups": "Directory",
}
LIMITS: Final = {
    "memory_mb": "MemoryMb",
    "descriptors": "MaxFds",
    "link_mbps": "LinkMbps",
    "disk_mb": "DiskMb",
}
TOLERATED: Final = {"machines": "MachineLosses", "zones": "Zones", "regions": "RegionLosses"}
BOUNDS: Final = {
    "seed_lag_s": "SeedLagS",
    "address_reuse_s": "AddrReuseS",
    "in_touch_ms": "InTouchMs",
    "acknowledge_ms": "AckMs",
    "catch_up_s": "CatchUpS",
    "drain_ms": "DrainMs",
    "grace_s": "GraceS",
    "loss_slack_ms": "LossSlackMs",
    "config_apply_ms": "ConfigApplyMs",
    "revert_slack_ms": "RevertSlackMs",
    "stretch_ms": "StretchMs",
    "retry_ratio": "RetryRatio",
    "retry_window_s": "RetryWindowS",
    "retry_slack": "RetrySlack",
    "warm_up_overshoot": "ColdOvershoot",
    "warm_up_slack": "ColdSlack",
    "evacuate_ms": "EvacuateMs",
    "recover_s": "RecoverS",
    "pass_ms": "pass_ms",
    "ttl_max_s": "ttl_max_s",
    "is_fenced": "Fenced",
    "lease_ms": "LeaseMs",
    "thaw_slack_ms": "ThawSlackMs",
    "usage_window_s": "UsageWindowS",
    "usage_error": "UsageError",
    "usage_delay_s": "UsageDelayS",
    "revoked_closed": "RevokedClosed",
    "revoke_ms": "RevokeMs",
}
PLATFORM: Final = {"address": "Address", "duties": "Duties", "calls_per_s": "DutyRateS"}
DUTIES: Final = {SingletonTaskKind.USAGE_REPORTS: "metering", SingletonTaskKind.FLEET_ORDERS: "fleet_size"}
