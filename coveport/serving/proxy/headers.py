"""Parses headers, and selects the headers that a proxy forwards.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from typing import Final

Headers = Mapping[str, list[str]]

# RFC 9110, 7.6.1: these headers apply to one connection only.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",  # the codec writes this header
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

# ASCII digits only: headers are decoded as latin-1, which has other digits too. No useful number has more
# than 15 digits.
_WHOLE_NUMBER: Final = re.compile(r"[0-9]{1,15}")


def connection_options(headers: Headers) -> frozenset[str]:
    """Return the options listed in the `Connection` headers, in lower case."""
    values = headers.get("connection", ())
    return frozenset(option.strip(" \t").lower() for value in values for option in value.split(","))


def end_to_end_headers(headers: Headers, excluded: frozenset[str] = frozenset()) -> Iterator[tuple[str, str]]:
    """Yield the end-to-end headers, except the excluded ones."""
    connection_only = connection_options(headers)
    for name, values in headers.items():
        if name in _HOP_BY_HOP or name in connection_only or name in excluded:
            continue
        for value in values:
            yield name, value


def first_value(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, or None if the header is absent."""
    values = headers.get(name)
    return values[0] if values else None


def whole_number(text: str) -> int | None:
    """Return the value of a string of ASCII digits, or None for any other string."""
    return int(text) if _WHOLE_NUMBER.fullmatch(text) else None


def utf8_value(text: str) -> str:
    """Return a header value that the codec, which writes latin-1, encodes as the UTF-8 bytes of the text."""
    return text.encode().decode("latin-1")


def keep_alive_s(headers: Headers) -> float | None:
    """Return how many seconds the peer keeps an idle connection open, or None if not specified."""
    for parameters in headers.get("keep-alive", ()):
        for parameter in parameters.split(","):
            name, _, value = parameter.strip().partition("=")
            timeout_s = whole_number(value.strip())
            if name.lower() == "timeout" and timeout_s is not None:
                return float(timeout_s)
    return None


def is_unframed(status: int, headers: Headers) -> bool:
    """Return whether a response has neither framing headers nor `Connection: close`.

    A node that keeps its connections open always frames its responses. If the framing is missing, late bytes
    of another response have corrupted the head.
    """
    if status in STATUSES_WITHOUT_BODY or "content-length" in headers or "transfer-encoding" in headers:
        return False
    return "close" not in connection_options(headers)
