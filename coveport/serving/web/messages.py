"""Requests to the system's own HTTP API, and the responses to them."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ApiRequest:
    """One request, with its target taken apart by the router."""

    method: str
    path: str
    path_suffix: str  # what follows a route's prefix, decoded; empty: the route is a complete path
    query: dict[str, str]
    headers: dict[str, list[str]]  # by name in lower case
    body: bytes
    local_host: str  # the address of ours that the client connected to

    def header(self, name: str) -> str | None:
        """Return a header's first value, or None where the request has no such header."""
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
