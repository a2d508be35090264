"""HTTP/1.1 as pure bytes: incremental parsers and writers for both directions, no sockets."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import ClassVar

MAX_HEAD = 16 * 1024
MAX_BODY = 64 * 1024
MAX_HEADERS = 100
OPENING = 20  # bytes

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(rb"[\x21-\x7e]+")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_CHUNK = re.compile(  # RFC 9112, 7.1.1; white space at the end is sent by some, and harmless
    rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[ \t]*%(token)s(?:[ \t]*=[ \t]*(?:%(token)s|%(quoted)s))?)*[ \t]*"
    % {b"token": _TOKEN.pattern,
       b"quoted": rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"'})
_REASONS = {
    100: "Continue", 200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
    408: "Request Timeout", 409: "Conflict", 413: "Content Too Large", 417: "Expectation Failed",
    431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
    503: "Service Unavailable", 505: "HTTP Version Not Supported",
}


class BadMessageError(Exception):
    """What came is no message that we take; `status` is the answer to a client that sent it."""

    def __init__(self, status: int, text: str, **headers: str) -> None:
        super().__init__(text)
        self.status, self.headers = status, headers


@dataclass(slots=True)
class Message:
    """What requests and responses share."""

    headers: dict[str, list[str]]
    keep_alive: bool
    body: bytes = b""

    def get(self, name: str) -> str | None:
        """The value of a header that may stand once; BadMessageError where it is repeated."""
        values = self.headers.get(name)
        if values is None:
            return None
        if len(values) > 1:
            raise BadMessageError(400, f"{name} is repeated")
        return values[0]


@dataclass(slots=True)
class Request(Message):
    """A whole request."""

    method: str = ""
    target: str = ""


@dataclass(slots=True)
class Response(Message):
    """A whole response."""

    status: int = 0


@dataclass(slots=True)
class _Parser:
    """Bytes in, whole messages out; holds no more than one head and one body beyond what is asked for."""

    most_body: int = MAX_BODY
    opening: ClassVar[re.Pattern[bytes]]  # what the first bytes of a message match, however few there are
    held: bytearray = field(default_factory=bytearray)
    _message: Message | None = None  # its head is read, its body is not
    _left: int | None = 0  # bytes of body, None: until the connection ends
    _chunks: bytearray | None = None  # the body so far, where it comes in chunks
    _empty: int = 0  # lines in front of the next message
    _wrong: bool = False  # there was an error; nothing is read behind that

    def feed(self, data: bytes | memoryview) -> None:
        """Take in what has come."""
        self.held += data

    @property
    def begun(self) -> bool:
        """Whether a message has begun and is not whole."""
        return bool(self.held) or self._message is not None

    def next(self) -> Message | None:
        """The next whole message, or None until more has come; BadMessageError ends the connection.

        After an error there is no message any more: where the next one would begin is not known.
        """
        if self._wrong:
            return None
        try:
            message = self._message or self._read_head()
            body = self._read_body() if message is not None else None
        except BadMessageError:
            self._wrong = True
            raise
        self._message = message if body is None else None
        if message is None or body is None:
            return None
        message.body = body
        return message

    def _read_body(self) -> bytes | None:
        if self._chunks is not None:
            return bytes(self._chunks) if self._read_chunks(self._chunks) else None
        if self._left is None:
            if len(self.held) > self.most_body:
                raise BadMessageError(413, "body too large")
            return None
        if len(self.held) < self._left:
            return None
        with memoryview(self.held) as held:
            body = bytes(held[:self._left])
        del self.held[:self._left]
        return body

    def _read_head(self) -> Message | None:
        # Guards against an empty line sent after an earlier body, as the standard asks (RFC 9112, 2.2), and
        # against those that never end: who sends nothing else is never at rest.
        while self.held.startswith(b"\r\n"):
            del self.held[:2]
            self._empty += 1
            if self._empty > MAX_HEADERS:
                raise BadMessageError(400, "too many empty lines")
        end = self.held.find(b"\r\n\r\n", 0, MAX_HEAD + 4)
        if end < 0:
            self._check_opening()
            if len(self.held) >= MAX_HEAD + 4:
                raise BadMessageError(431, "head too large")
            return None
        lines = bytes(self.held[:end]).split(b"\r\n")
        if len(lines) > MAX_HEADERS:
            self._check_opening()
            raise BadMessageError(431, "too many headers")
        self._empty = 0
        del self.held[:end + 4]
        return self._start(lines[0], _read_fields(lines[1:], "header"))

    def _check_opening(self) -> None:
        # Guards against noise without an end: what can't become a message is told by its first bytes. Where
        # it is too large as well, it is still noise, however it was cut.
        if not self.opening.match(bytes(self.held[:OPENING])):
            raise BadMessageError(400, "malformed start")

    def _start(self, line: bytes, headers: dict[str, list[str]]) -> Message:
        raise NotImplementedError

    def _frame(self, headers: dict[str, list[str]], default: int | None) -> None:
        """Find out where the body ends."""
        lengths, codings = headers.get("content-length"), headers.get("transfer-encoding")
        self._chunks, self._left = None, default
        if codings is not None:
            # Guards against smuggling: a message framed in two ways is read by nobody alike.
            if lengths is not None:
                raise BadMessageError(400, "both Content-Length and Transfer-Encoding")
            if [coding.lower() for coding in codings] != ["chunked"]:
                raise BadMessageError(501, "transfer coding not known")
            self._chunks = bytearray()
        elif lengths is not None:
            # Guards against smuggling: `5, 5`, `+5` and repeated lengths are malformed to us.
            if len(lengths) > 1 or not re.fullmatch(r"[0-9]{1,18}", lengths[0]):
                raise BadMessageError(400, "malformed Content-Length")
            self._left = int(lengths[0])
            if self._left > self.most_body:
                raise BadMessageError(413, "body too large")

    def _read_chunks(self, body: bytearray) -> bool:
        while True:
            end = self.held.find(b"\r\n", 0, 130)
            if end < 0:
                if len(self.held) >= 130:
                    raise BadMessageError(400, "malformed chunk")
                return False
            match = _CHUNK.fullmatch(bytes(self.held[:end]))
            if not match:
                raise BadMessageError(400, "malformed chunk")
            size = int(match[1], 16)
            if len(body) + size > self.most_body:
                raise BadMessageError(413, "body too large")
            if size == 0:
                stop = self.held.find(b"\r\n\r\n", end, end + MAX_HEAD)
                if stop < 0:
                    if len(self.held) > end + MAX_HEAD:
                        raise BadMessageError(431, "trailers too large")
                    return False
                if stop > end:
                    # Guards against smuggling: what others refuse must not pass, though it is thrown away.
                    trailers = bytes(self.held[end + 2:stop]).split(b"\r\n")
                    if len(trailers) > MAX_HEADERS:
                        raise BadMessageError(431, "too many trailers")
                    _read_fields(trailers, "trailer")
                del self.held[:stop + 4]
                return True
            if len(self.held) < end + 2 + size + 2:
                return False
            body += self.held[end + 2:end + 2 + size]
            if self.held[end + 2 + size:end + 4 + size] != b"\r\n":
                raise BadMessageError(400, "malformed chunk")
            del self.held[:end + 4 + size]


def _read_fields(lines: list[bytes], what: str) -> dict[str, list[str]]:
    """The values of header or trailer lines by name."""
    fields: dict[str, list[str]] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        value = value.strip(b" \t")
        if not colon or not _TOKEN.fullmatch(name) or not _VALUE.fullmatch(value):
            raise BadMessageError(400, f"malformed {what}")
        fields.setdefault(name.decode("ascii").lower(), []).append(value.decode("latin-1"))
    return fields


def _keeps(version: bytes, headers: dict[str, list[str]]) -> bool:
    # Spaces and tabs alone are white space: decoded, some bytes above 127 would count as such, too.
    options = {part.strip(" \t").lower()
               for line in headers.get("connection", ()) for part in line.split(",")}
    # HTTP/1.0 knows no chunks: what of it says so may be framed otherwise for others (RFC 9112, 6.1).
    return "close" not in options and (version == b"HTTP/1.1" or (
        "keep-alive" in options and "transfer-encoding" not in headers))


class RequestParser(_Parser):
    """Reads what clients send."""

    _old = False  # whether the message is of HTTP/1.0, whose clients wait for nothing (RFC 9110, 10.1.1)
    opening = re.compile(rb"\r?\Z|[!#$%&'*+\-.^_`|~0-9A-Za-z]+(?:\Z| (?:\Z|[\x21-\x7e]))")

    def _start(self, line: bytes, headers: dict[str, list[str]]) -> Request:
        parts = line.split(b" ")
        if len(parts) != 3 or not _TOKEN.fullmatch(parts[0]) or not _TARGET.fullmatch(parts[1]):
            raise BadMessageError(400, "malformed request line")
        method, target, version = parts
        if version not in (b"HTTP/1.1", b"HTTP/1.0"):
            if not re.fullmatch(rb"HTTP/[0-9]\.[0-9]", version):
                raise BadMessageError(400, "malformed request line")
            raise BadMessageError(505, "version not supported")
        if not target.startswith(b"/"):
            raise BadMessageError(400, "target is not a path")
        hosts = len(headers.get("host", ()))
        if hosts > 1 or (not hosts and version == b"HTTP/1.1"):
            raise BadMessageError(400, "one Host header is wanted")
        self._old = version == b"HTTP/1.0"
        self._frame(headers, 0)
        return Request(headers, _keeps(version, headers), b"", method.decode("ascii"), target.decode("ascii"))

    def next_request(self) -> Request | None:
        """The next whole request."""
        message = self.next()
        assert message is None or isinstance(message, Request)
        return message

    @property
    def wants_continue(self) -> bool:
        """Whether the client waits for our word before it sends the body."""
        return (self._message is not None and not self.held and not self._chunks and not self._old
                and [v.lower() for v in self._message.headers.get("expect", ())] == ["100-continue"])


class ResponseParser(_Parser):
    """Reads what ledger nodes and discovery answer."""

    opening = re.compile(rb"\r?\Z|(?:HTTP/1?|HTTP?|HT?)\Z|HTTP/1\.(?:\Z|[01](?:\Z| (?:\Z|[1-5])))")

    def _start(self, line: bytes, headers: dict[str, list[str]]) -> Response:
        match = re.fullmatch(rb"(HTTP/1\.[01]) ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?", line)
        if not match:
            raise BadMessageError(400, "malformed status line")
        version, status = match[1], int(match[2])
        if status < 200 or status in (204, 304):
            # Guards against what its headers say of a body: it has none (RFC 9112, 6.3), and what follows
            # would be taken for it.
            self._chunks, self._left = None, 0
        else:
            self._frame(headers, None)
        keeps = _keeps(version, headers) and (self._left is not None or self._chunks is not None)
        return Response(headers, keeps, b"", status)

    def next_response(self) -> Response | None:
        """The next whole final response; the interim ones (1xx) are read over."""
        while (message := self.next()) is not None:
            assert isinstance(message, Response)
            if message.status >= 200:
                return message
        return None

    def end(self) -> Response | None:
        """The connection has ended: the response that this makes whole, if any."""
        message = self._message
        if (not isinstance(message, Response) or self._left is not None or self._chunks is not None
                or self._wrong):
            return None
        message.body, self._message = bytes(self.held), None
        self.held.clear()
        return message


def write_request(method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    """A request as bytes."""
    return _write(f"{method} {target} HTTP/1.1", headers, body, bool(body) or method != "GET")


def write_response(status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"") -> bytes:
    """A response as bytes."""
    return _write(f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}", headers, body, status >= 200)


def _write(start: str, headers: Iterable[tuple[str, str]], body: bytes, framed: bool) -> bytes:
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
