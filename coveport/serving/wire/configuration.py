"""The wire names of a configuration's parts, by the names that the system uses for them."""

from __future__ import annotations

from typing import Final

ROUTE: Final = {
    "name": "Name",
    "host": "Host",
    "path_prefix": "PathPrefix",
    "kind": "Kind",
    "timeout_ms": "DeadlineMs",
    "objective_ms": "TargetMs",
    "precedence": "Precedence",
    "service": "Service",
    "services": "Shares",
    "attempts": "Tries",
    "pinned": "Pinned",
    "resumable": "Resumable",
    "pause_objective_ms": "gap_aim_ms",
    "home_regions": "HomeRegions",
}
WEIGHTED_SERVICE: Final = {"service": "Service", "weight": "Share"}
SERVICE: Final = {
    "name": "Name",
    "health_path": "HealthPath",
    "max_connections": "MaxConns",
    "warm_up_s": "WarmupS",
    "warm_up_rate": "ColdRateS",
    "engine": "Engine",
}
ENGINE: Final = {"slots": "Berths", "memory_tokens": "KvCapacity", "tokens_per_event": "stride"}
CLIENT_LIMITS: Final = {
    "header_bytes": "MaxHeaderBytes",
    "body_bytes": "MaxBodyBytes",
    "header_read_ms": "HeaderReadMs",
    "idle_ms": "IdleMs",
}
CONFIGURATION: Final = {"edition": "Edition", "routes": "Routes", "services": "Services", "limits": "Limits"}
