"""The parser of requests, for a server."""

from __future__ import annotations

import re

from coveport.http1.errors import RemoteProtocolError
from coveport.http1.fields import TOKEN, is_persistent
from coveport.http1.message_parser import MessageParser
from coveport.http1.messages import Request

_TARGET = re.compile(rb"[\x21-\x7e]+")
_ABSOLUTE_TARGET = re.compile(rb"[Hh][Tt][Tt][Pp][Ss]?://[^/?#@]+((?:/[^?#]*)?(?:\?[^#]*)?)")


class RequestParser(MessageParser):
    """Parses requests from a client."""

    _keep_alive = False
    _is_http10 = False
    start_pattern = re.compile(rb"\r?\Z|[!#$%&'*+\-.^_`|~0-9A-Za-z]+(?:\Z| (?:\Z|[\x21-\x7e]))")

    def next_request(self) -> Request | None:
        """Return the next request, or None if more bytes are needed; raise as `next_message` does."""
        message = self.next_message()
        assert message is None or isinstance(message, Request)
        return message

    @property
    def is_http10(self) -> bool:
        """Whether the present request uses HTTP/1.0, which has no chunks and no '100 Continue'."""
        return self._is_http10

    @property
    def keep_alive(self) -> bool:
        """Whether the request whose streamed body has just ended leaves the connection usable."""
        return self._keep_alive

    @property
    def wants_continue(self) -> bool:
        """Whether the client waits for '100 Continue' before it sends the body (RFC 9110, 10.1.1)."""
        return (
            self._message is not None
            and not self.buffer
            and not self.body_bytes_read
            and not self._is_http10
            and [value.lower() for value in self._message.headers.get("expect", ())] == ["100-continue"]
        )

    def _read_start_line(self, line: bytes, headers: dict[str, list[str]]) -> Request:
        words = line.split(b" ")
        if len(words) != 3 or not TOKEN.fullmatch(words[0]) or not _TARGET.fullmatch(words[1]):
            raise RemoteProtocolError(400, "malformed request line")
        method, target, version = words
        if version not in (b"HTTP/1.1", b"HTTP/1.0"):
            if not re.fullmatch(rb"HTTP/[0-9]\.[0-9]", version):
                raise RemoteProtocolError(400, "malformed request line")
            raise RemoteProtocolError(505, "version not supported")
        if not target.startswith(b"/"):
            # The absolute form, as sent to proxies (RFC 9112, 3.2.2): its host is ignored, as is Host.
            absolute = _ABSOLUTE_TARGET.fullmatch(target)
            if not absolute:
                raise RemoteProtocolError(400, "target is not a path")
            target = (b"" if absolute[1].startswith(b"/") else b"/") + absolute[1]
        hosts = len(headers.get("host", ()))
        if hosts > 1 or (not hosts and version == b"HTTP/1.1"):
            raise RemoteProtocolError(400, "one Host header is wanted")
        self._is_http10 = version == b"HTTP/1.0"
        self._frame_body(headers, 0)
        self._keep_alive = is_persistent(version, headers)
        return Request(headers, self._keep_alive, b"", method.decode("ascii"), target.decode("ascii"))
