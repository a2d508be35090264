"""Configurations as an operator sends them."""

from __future__ import annotations

import json
from typing import Any

Json = dict[str, Any]


def route(name: str, **changed: Any) -> Json:
    """Return a route with a path of its own to the only service."""
    fields: Json = {
        "Name": name,
        "Host": "shop.example",
        "PathPrefix": f"/{name}/",
        "Kind": "streaming",
        "DeadlineMs": 5000,
        "TargetMs": 800,
        "Precedence": 0,
        "Service": "model",
        "Tries": 2,
        "Pinned": True,
        "Resumable": True,
        "gap_aim_ms": 400,
        "HomeRegions": ["south"],
        "Remark": {"kept": [1, 2.5, None]},
    }
    return fields | changed


def service(name: str = "model", **changed: Any) -> Json:
    """Return a service of model servers."""
    engine = {
        "Berths": 64,
        "KvCapacity": 227616,
        "KvTokenBytes": 327680,
        "stride": 5,
        "Models": [{"Name": "m"}],
    }
    fields: Json = {
        "Name": name,
        "HealthPath": "/health",
        "MaxConns": 360,
        "Protocol": "h1",
        "Tls": False,
        "WarmupS": 3.0,
        "ColdRateS": 9.8,
        "Engine": engine,
    }
    return fields | changed


def make_configuration(edition: int = 7, *routes: Json, **changed: Any) -> Json:
    """Return a configuration with these routes, or with one to a service and one to weighted services."""
    shares = [{"Service": "model", "Share": 90}, {"Service": "model", "Share": 10}]
    shared = {key: value for key, value in route("shared", Shares=shares).items() if key != "Service"}
    fields: Json = {
        "Edition": edition,
        "Routes": list(routes) or [route("plain"), shared],
        "Services": [service()],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderReadMs": 3000, "IdleMs": 15000},
    }
    return fields | changed


def encode_json(value: Any) -> bytes:
    """Return a value as the body of a request."""
    return json.dumps(value).encode()
