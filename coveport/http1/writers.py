"""Writers of requests, responses and chunks."""

from __future__ import annotations

from collections.abc import Iterable

CHUNKED = ("Transfer-Encoding", "chunked")
LAST_CHUNK = b"0\r\n\r\n"

_REASONS = {
    100: "Continue",
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    417: "Expectation Failed",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}


def write_chunk(data: bytes) -> bytes:
    """Return data as a chunk; return no bytes for empty data, as an empty chunk would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def write_head(start_line: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """Return a message head; the caller includes the headers that frame the body."""
    lines = [start_line, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def write_request_head(
    method: str, target: str, headers: Iterable[tuple[str, str]], body_bytes: int = 0
) -> bytes:
    """Return the head of a request, with a Content-Length unless it is a GET without a body."""
    length = [("Content-Length", str(body_bytes))] if body_bytes or method != "GET" else ()
    return write_head(f"{method} {target} HTTP/1.1", [*headers, *length])


def write_request(method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return a request, with a Content-Length unless it is a GET without a body."""
    return write_request_head(method, target, headers, len(body)) + body


def write_response(status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"") -> bytes:
    """Return a response, with a Content-Length unless it is interim (1xx)."""
    length = [("Content-Length", str(len(body)))] if status >= 200 else ()
    return write_head(f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}", [*headers, *length]) + body
