"""The external names of a configuration's fields, by their names in this system's classes."""

from __future__ import annotations

from typing import Final

ROUTE: Final = {
    "name": "Name",
    "host": "Host",
    "path_prefix": "PathPrefix",
    "kind": "Kind",
    "timeout_ms": "DeadlineMs",
    "latency_target_ms": "TargetMs",
    "priority": "Precedence",
    "service": "Service",
    "services": "Shares",
    "max_attempts": "Tries",
    "session_affinity": "Pinned",
    "resumable": "Resumable",
    "inter_token_target_ms": "gap_aim_ms",
    "home_regions": "HomeRegions",
    "is_public": "Public",
}
WEIGHTED_SERVICE: Final = {"service": "Service", "weight": "Share"}
SERVICE: Final = {
    "name": "Name",
    "health_path": "HealthPath",
    "max_connections": "MaxConns",
    "warm_up_s": "WarmupS",
    "warm_up_rate": "ColdRateS",
    "engine": "Engine",
    "scaling": "Scaling",
}
SCALING: Final = {"min_nodes": "Min", "max_nodes": "Max", "boot_s": "BootS"}
TENANT: Final = {
    "name": "Name",
    "api_keys": "ApiKeys",
    "priority": "Precedence",
    "home_regions": "HomeRegions",
}
ENGINE: Final = {"slots": "Berths", "kv_cache_tokens": "KvCapacity", "tokens_per_event": "stride"}
CLIENT_LIMITS: Final = {
    "header_bytes": "MaxHeaderBytes",
    "body_bytes": "MaxBodyBytes",
    "header_read_ms": "HeaderReadMs",
    "idle_ms": "IdleMs",
}
CONFIGURATION: Final = {
    "edition": "Edition",
    "routes": "Routes",
    "services": "Services",
    "limits": "Limits",
    "tenants": "Senders",
}
