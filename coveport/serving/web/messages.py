"""Requests to the system's HTTP API, and the responses to them."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """One request, with its target split by the router."""

    method: str
    path: str
    path_suffix: str  # decoded rest of the path after a route's prefix; empty: the route is a complete path
    query: dict[str, str]
    headers: dict[str, list[str]]  # by name in lower case
    body: bytes
    local_host: str  # the server's address to which the client connected

    def header(self, name: str) -> str | None:
        """Return the first value of a header, or None if the request lacks it."""
        values = self.headers.get(name)
        return values[0] if values else None


@dataclass(frozen=True, slots=True)
class ApiResponse:
    """The response to a request; `Content-Length` and `Connection` are added by the server."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


def json_response(status: int, value: Any, *headers: tuple[str, str]) -> ApiResponse:
    """Return a response whose body is `value` as JSON."""
    return ApiResponse(status, json.dumps(value).encode(), (("Content-Type", "application/json"), *headers))
