"""The operator's configuration of the cases: one service, its routes, and the limits."""

from __future__ import annotations

HOST = "review.example"
SERVICE = "reader"
WARM_UP_S = 3.0
COLD_RATE_S = 9.8
LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderReadMs": 3000, "IdleMs": 15000}


def route(
    prefix: str, *, tries: int = 1, homes: tuple[str, ...] = (), target_ms: int = 800
) -> dict[str, object]:
    """Return a route whose requests can't be repeated."""
    return {
        "Name": f"r-{prefix.strip('/')}",
        "Host": HOST,
        "PathPrefix": prefix,
        "Kind": "unsafe",
        "DeadlineMs": 5000,
        "TargetMs": target_ms,
        "Precedence": 0,
        "Service": SERVICE,
        "Tries": tries,
        "Pinned": False,
        "Resumable": False,
        "HomeRegions": list(homes),
    }


def stream_route(prefix: str, *, tries: int, homes: tuple[str, ...] = ()) -> dict[str, object]:
    """Return a route whose streams may be resumed."""
    stream = {"Kind": "streaming", "Resumable": True, "Pinned": True, "gap_aim_ms": 400}
    return {**route(prefix, tries=tries, homes=homes), **stream}


def configuration(
    *routes: dict[str, object], edition: int = 1, limits: dict[str, int] | None = None
) -> dict[str, object]:
    """Return a whole configuration."""
    service = {
        "Name": SERVICE,
        "HealthPath": "/health",
        "MaxConns": 370,
        "Protocol": "h1",
        "Tls": False,
        "WarmupS": WARM_UP_S,
        "ColdRateS": COLD_RATE_S,
    }
    return {
        "Edition": edition,
        "Routes": list(routes),
        "Services": [service],
        "Limits": {**LIMITS, **(limits or {})},
    }
