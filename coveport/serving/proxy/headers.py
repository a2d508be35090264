"""Reads headers, and selects those that a proxy forwards. Pure."""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from typing import Final

Headers = Mapping[str, list[str]]

# RFC 9110, 7.6.1: these concern one connection alone.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",  # written by the codec
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

# A header is decoded as latin-1, which has digits beyond ASCII; more digits than these are no number of use.
_WHOLE_NUMBER: Final = re.compile(r"[0-9]{1,15}")


def connection_options(headers: Headers) -> frozenset[str]:
    """Return the options that the `Connection` headers name, in lower case."""
    values = headers.get("connection", ())
    return frozenset(option.strip(" \t").lower() for value in values for option in value.split(","))


def end_to_end_headers(headers: Headers, excluded: frozenset[str] = frozenset()) -> Iterator[tuple[str, str]]:
    """Yield the headers that concern more than one connection, without the excluded ones."""
    connection_only = connection_options(headers)
    for name, values in headers.items():
        if name in _HOP_BY_HOP or name in connection_only or name in excluded:
            continue
        for value in values:
            yield name, value


def first(headers: Headers, name: str) -> str | None:
    """Return a header's first value."""
    values = headers.get(name)
    return values[0] if values else None


def whole_number(text: str) -> int | None:
    """Return the number that ASCII digits write; None for anything else."""
    return int(text) if _WHOLE_NUMBER.fullmatch(text) else None


def utf8_value(text: str) -> str:
    """Return a text as the value of a header whose bytes are its UTF-8: the codec writes latin-1."""
    return text.encode().decode("latin-1")


def keep_alive_s(headers: Headers) -> float | None:
    """Return how many seconds the peer keeps an idle connection, if it says so."""
    for parameters in headers.get("keep-alive", ()):
        for parameter in parameters.split(","):
            name, _, value = parameter.strip().partition("=")
            timeout_s = whole_number(value.strip())
            if name.lower() == "timeout" and timeout_s is not None:
                return float(timeout_s)
    return None


def is_unframed(status: int, headers: Headers) -> bool:
    """Return whether a node's response has no framing, and yet doesn't say that the connection closes.

    A node that keeps connections frames its responses: late bytes of another response, in the middle of this
    one's head, have spoiled the framing header.
    """
    if status in STATUSES_WITHOUT_BODY or "content-length" in headers or "transfer-encoding" in headers:
        return False
    return "close" not in connection_options(headers)
