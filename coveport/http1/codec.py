"""HTTP/1.1 as pure bytes: incremental parsers and writers for both directions, no sockets."""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import ClassVar

MAX_HEAD = 16 * 1024
MAX_BODY = 64 * 1024
UNSURE = 8 * 1024  # bytes of an answer without a length that may still be whole
MAX_HEADERS = 100
OPENING = 20  # bytes

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(rb"[\x21-\x7e]+")
_ABSOLUTE = re.compile(rb"[Hh][Tt][Tt][Pp][Ss]?://[^/?#@]+((?:/[^?#]*)?(?:\?[^#]*)?)")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
_CHUNK = re.compile(  # RFC 9112, 7.1.1; white space at the end is sent by some, and harmless
    rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[ \t]*%(token)s(?:[ \t]*=[ \t]*(?:%(token)s|%(quoted)s))?)*[ \t]*"
    % {
        b"token": _TOKEN.pattern,
        b"quoted": rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"',
    }
)
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


class BadMessageError(Exception):
    """What came is no message that we take; `status` is the answer to a client that sent it."""

    def __init__(self, status: int, text: str, **headers: str) -> None:
        super().__init__(text)
        self.status = status
        self.headers = headers


@dataclass(slots=True)
class Message:
    """What requests and responses share."""

    headers: dict[str, list[str]]
    keep_alive: bool
    body: bytes = b""  # all of it, or of a long one what came with the head
    # The body is a stream: the parser's `next_data` tells the rest; and its length in bytes, if declared.
    long: bool = field(default=False, kw_only=True)
    length: int | None = field(default=None, kw_only=True)

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
    """Bytes in, messages out; holds no more than one head and one whole body beyond what is asked for.

    `most_body`: bytes of the largest body. `whole_most`: bytes of the largest that is handed out whole; of a
    longer one the head is handed out once it shows to be long, and its data after that. None: all are whole.
    """

    most_body: int = MAX_BODY
    whole_most: int | None = None
    unsure: ClassVar[int] = MAX_BODY  # bytes of a body without a length that may still be whole
    opening: ClassVar[re.Pattern[bytes]]  # what the first bytes of a message match, however few there are
    most_head: int = field(default_factory=lambda: MAX_HEAD, kw_only=True)  # bytes of the largest head
    held: bytearray = field(default_factory=bytearray)
    _message: Message | None = None  # its head is read, its body is not
    _left: int | None = 0  # bytes of body, None: until the connection ends
    _chunks: bytearray | None = None  # the body so far, where it comes in chunks; of a long one what is new
    _chunk: int = 0  # bytes of a chunk's data, and of the line end behind them, that are still to come
    got: int = 0  # bytes of the present body that have been read
    long: bool = False  # the present body is a stream
    _over: bool = False  # ... and all of it has been read, if not handed out
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
        if self.long:
            return None  # its data come first
        try:
            message = self._message or self._read_head()
            body = self._read_body() if message is not None else None
        except BadMessageError:
            self._wrong = True
            raise
        self._message = message
        if message is None:
            return None
        if self.whole_most is not None and self._is_long(body, self.whole_most):
            # From here on `next_data` reads; where all has come already it only hands that out.
            self.long, message.long, message.length = True, True, self._left
            if self._chunks is not None:
                message.length, self._over = None, body is not None
            return message
        if body is None:
            return None
        self._message = None
        message.body = body
        return message

    def _is_long(self, body: bytes | None, most: int) -> bool:
        """Whether the present body is, as far as is known, longer than so many bytes."""
        if self._chunks is None and self._left is not None:
            return self._left > most
        if body is not None:
            size = len(body)
        elif self._chunks is not None:
            size = len(self._chunks) + max(0, self._chunk - 2)  # a chunk says how long it will be
        else:
            size = len(self.held)
        return size > min(most, self.unsure)

    def next_data(self) -> tuple[bytes, bool]:
        """What has come of a long body since the last call, and whether it ends there; raises as `next`."""
        if self._wrong or not self.long:
            return b"", False
        try:
            if self._chunks is not None:
                over = self._over or self._read_chunks(self._chunks)
                data = bytes(self._chunks)
                self._chunks.clear()
            else:
                most = len(self.held) if self._left is None else min(self._left, len(self.held))
                if most == len(self.held):
                    data = bytes(self.held)
                    self.held = bytearray()
                else:
                    data = bytes(self.held[:most])
                    del self.held[:most]
                self.got += most
                if self._left is None:
                    if self.got > self.most_body:
                        raise BadMessageError(413, "body too large")
                    over = False
                else:
                    self._left -= most
                    over = not self._left
        except BadMessageError:
            self._wrong = True
            raise
        if over:
            self.long = False
            self._message = None
            self._over = False
        return data, over

    def _read_body(self) -> bytes | None:
        if self._chunks is not None:
            return bytes(self._chunks) if self._read_chunks(self._chunks) else None
        if self._left is None:
            if len(self.held) > self.most_body:
                raise BadMessageError(413, "body too large")
            return None
        if len(self.held) < self._left or (self.whole_most is not None and self._left > self.whole_most):
            return None
        with memoryview(self.held) as held:
            body = bytes(held[: self._left])
        del self.held[: self._left]
        return body

    @property
    def come(self) -> int:
        """How many bytes of the present body have come."""
        return 0 if self._message is None else self.got + (len(self.held) if self._chunks is None else 0)

    def _read_head(self) -> Message | None:
        # Guards against an empty line sent after an earlier body, as the standard asks (RFC 9112, 2.2), and
        # against those that never end: who sends nothing else is never at rest.
        while self.held.startswith(b"\r\n"):
            del self.held[:2]
            self._empty += 1
            if self._empty > MAX_HEADERS:
                raise BadMessageError(400, "too many empty lines")
        end = self.held.find(b"\r\n\r\n", 0, self.most_head + 4)
        if end < 0:
            self._check_opening()
            if len(self.held) >= self.most_head + 4:
                raise BadMessageError(431, "head too large")
            return None
        lines = bytes(self.held[:end]).split(b"\r\n")
        if len(lines) > MAX_HEADERS:
            self._check_opening()
            raise BadMessageError(431, "too many headers")
        self._empty = 0
        del self.held[: end + 4]
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
        self._chunks = None
        self._left = default
        self._chunk = 0
        self.got = 0
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
            if self._chunk > 2:
                most = min(self._chunk - 2, len(self.held))
                body += self.held[:most] if most < len(self.held) else self.held
                del self.held[:most]
                self._chunk -= most
                self.got += most
            if self._chunk > 2 or (self._chunk and len(self.held) < 2):
                return False
            if self._chunk:
                if self.held[:2] != b"\r\n":
                    raise BadMessageError(400, "malformed chunk")
                del self.held[:2]
                self._chunk = 0
            end = self.held.find(b"\r\n", 0, 130)
            if end < 0:
                if len(self.held) >= 130:
                    raise BadMessageError(400, "malformed chunk")
                return False
            match = _CHUNK.fullmatch(bytes(self.held[:end]))
            if not match:
                raise BadMessageError(400, "malformed chunk")
            size = int(match[1], 16)
            if self.got + size > self.most_body:
                raise BadMessageError(413, "body too large")
            if size == 0:
                stop = self.held.find(b"\r\n\r\n", end, end + MAX_HEAD)
                if stop < 0:
                    if len(self.held) > end + MAX_HEAD:
                        raise BadMessageError(431, "trailers too large")
                    return False
                if stop > end:
                    # Guards against smuggling: what others refuse must not pass, though it is thrown away.
                    trailers = bytes(self.held[end + 2 : stop]).split(b"\r\n")
                    if len(trailers) > MAX_HEADERS:
                        raise BadMessageError(431, "too many trailers")
                    _read_fields(trailers, "trailer")
                del self.held[: stop + 4]
                return True
            del self.held[: end + 2]
            self._chunk = size + 2


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
    options = {
        part.strip(" \t").lower() for line in headers.get("connection", ()) for part in line.split(",")
    }
    # HTTP/1.0 knows no chunks: what of it says so may be framed otherwise for others (RFC 9112, 6.1).
    return "close" not in options and (
        version == b"HTTP/1.1" or ("keep-alive" in options and "transfer-encoding" not in headers)
    )


class RequestParser(_Parser):
    """Reads what clients send."""

    _keeps = False
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
            # As proxies are asked (RFC 9112, 3.2.2): what it says of the host is passed over, as Host is.
            whole = _ABSOLUTE.fullmatch(target)
            if not whole:
                raise BadMessageError(400, "target is not a path")
            target = (b"" if whole[1].startswith(b"/") else b"/") + whole[1]
        hosts = len(headers.get("host", ()))
        if hosts > 1 or (not hosts and version == b"HTTP/1.1"):
            raise BadMessageError(400, "one Host header is wanted")
        self._old = version == b"HTTP/1.0"
        self._frame(headers, 0)
        self._keeps = _keeps(version, headers)
        return Request(headers, self._keeps, b"", method.decode("ascii"), target.decode("ascii"))

    def next_request(self) -> Request | None:
        """The next whole request."""
        message = self.next()
        assert message is None or isinstance(message, Request)
        return message

    @property
    def old(self) -> bool:
        """Whether the present message is of HTTP/1.0, which knows no chunks."""
        return self._old

    @property
    def keeps(self) -> bool:
        """Whether the message whose long body has just ended leaves the connection usable."""
        return self._keeps

    @property
    def wants_continue(self) -> bool:
        """Whether the client waits for our word before it sends the body."""
        return (
            self._message is not None
            and not self.held
            and not self.got
            and not self._old
            and [v.lower() for v in self._message.headers.get("expect", ())] == ["100-continue"]
        )


class ResponseParser(_Parser):
    """Reads what ledger nodes and discovery answer.

    An answer that tells no length may be a long one that comes slowly, whose client would wait for its first
    bytes until as many had come as a whole one may have: it is taken for long from UNSURE bytes on.
    """

    unsure = UNSURE
    opening = re.compile(rb"\r?\Z|(?:HTTP/1?|HTTP?|HT?)\Z|HTTP/1\.(?:\Z|[01](?:\Z| (?:\Z|[1-5])))")

    def _start(self, line: bytes, headers: dict[str, list[str]]) -> Response:
        match = re.fullmatch(rb"(HTTP/1\.[01]) ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?", line)
        if not match:
            raise BadMessageError(400, "malformed status line")
        version, status = match[1], int(match[2])
        if status < 200 or status in (204, 304):
            # Guards against what its headers say of a body: it has none (RFC 9112, 6.3), and what follows
            # would be taken for it.
            self._chunks = None
            self._left = 0
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
        if (
            not isinstance(message, Response)
            or self._left is not None
            or self._chunks is not None
            or self._wrong
        ):
            return None
        message.body, self._message = bytes(self.held), None
        self.held = bytearray()
        self.long = False
        return message


CHUNKED = ("Transfer-Encoding", "chunked")
LAST_CHUNK = b"0\r\n\r\n"


def write_chunk(data: bytes) -> bytes:
    """A piece of a body as a chunk; empty where there is nothing, as an empty chunk would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def write_head(start: str, headers: Iterable[tuple[str, str]]) -> bytes:
    """A head as bytes: what frames the body is among the headers."""
    lines = [start, *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def write_request(method: str, target: str, headers: Iterable[tuple[str, str]], body: bytes = b"") -> bytes:
    """A request as bytes."""
    return _write(f"{method} {target} HTTP/1.1", headers, body, bool(body) or method != "GET")


def write_response(status: int, headers: Iterable[tuple[str, str]] = (), body: bytes = b"") -> bytes:
    """A response as bytes."""
    return _write(f"HTTP/1.1 {status} {_REASONS.get(status, 'Unknown')}", headers, body, status >= 200)


def _write(start: str, headers: Iterable[tuple[str, str]], body: bytes, framed: bool) -> bytes:
    return write_head(start, [*headers, *([("Content-Length", str(len(body)))] if framed else ())]) + body
