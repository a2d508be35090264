"""Which headers are handed on, and how heads are written. Pure."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from coveport.http1 import codec

Headers = Mapping[str, list[str]]

_ONE_CONNECTION_ONLY = frozenset(
    {
        "connection",
        "content-length",  # written anew
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
STATUSES_WITHOUT_BODY = frozenset({204, 304})
_REASONS = {
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


def connection_options(headers: Headers) -> frozenset[str]:
    """What the `Connection` headers name, in lower case."""
    lines = headers.get("connection", ())
    return frozenset(part.strip(" \t").lower() for line in lines for part in line.split(","))


def passed_on(headers: Headers, but: frozenset[str] = frozenset()) -> Iterator[tuple[str, str]]:
    """Headers that concern more than one connection, without those named by `but`."""
    named = connection_options(headers)
    for name, values in headers.items():
        if name in _ONE_CONNECTION_ONLY or name in named or name in but:
            continue
        for value in values:
            yield name, value


def first(headers: Headers, name: str) -> str | None:
    """A header's first value."""
    values = headers.get(name)
    return values[0] if values else None


def keep_alive_s(headers: Headers) -> float | None:
    """How long the other side keeps an idle connection, if it tells."""
    for line in headers.get("keep-alive", ()):
        for part in line.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                return float(value)
    return None


def status_line(status: int) -> str:
    """The first line of an answer."""
    return f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}"


def write_answer(status: int, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """A whole answer of our own."""
    return codec.write_head(status_line(status), [*headers, ("Content-Length", str(len(body)))]) + body


def is_unframed(status: int, headers: Headers) -> bool:
    """Whether a node's answer claims to end with its connection, without saying that the connection closes.

    A node that keeps connections frames its answers: bytes of another answer that came late, in the middle of
    this one's head, have spoiled the header that does.
    """
    if status in STATUSES_WITHOUT_BODY or "content-length" in headers or "transfer-encoding" in headers:
        return False
    return "close" not in connection_options(headers)
