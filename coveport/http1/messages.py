"""Parsed requests and responses."""

from __future__ import annotations

from dataclasses import dataclass, field

from coveport.http1.errors import RemoteProtocolError


@dataclass(slots=True)
class Message:
    """The common part of requests and responses.

    `body` is complete unless `is_streamed`: then the parser's `next_data` returns it piece by piece.
    `content_length` is the length in bytes of a streamed body, if the head declares one.
    """

    headers: dict[str, list[str]]
    keep_alive: bool
    body: bytes = b""
    is_streamed: bool = field(default=False, kw_only=True)
    content_length: int | None = field(default=None, kw_only=True)

    def get(self, name: str) -> str | None:
        """Return the value of a header that may occur once, if any; raise RemoteProtocolError if repeated."""
        values = self.headers.get(name)
        if values is None:
            return None
        if len(values) > 1:
            raise RemoteProtocolError(400, f"{name} is repeated")
        return values[0]


@dataclass(slots=True)
class Request(Message):
    """A request."""

    method: str = ""
    target: str = ""


@dataclass(slots=True)
class Response(Message):
    """A response."""

    status: int = 0
