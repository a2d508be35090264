"""Writes status lines, and complete responses of the proxy itself.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from coveport import http1

_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def status_line(status: int) -> str:
    """Return the status line of a response, without a line end."""
    return f"HTTP/1.1 {status} {_REASON_PHRASES.get(status, 'Unknown')}"


def write_response(status: int, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return the bytes of a complete response of the proxy."""
    return http1.write_head(status_line(status), [*headers, ("Content-Length", str(len(body)))]) + body
