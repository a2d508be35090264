"""What both directions share: finding a head, framing its body (RFC 9112, 6), reading the body.

A parser is between two messages, inside a head, inside a body that it collects, inside a body that it
streams, or failed. Nothing leads out of failed: where the next message would begin is unknown after an error.

`next_message`, `next_data` and `_read_chunks` run for each piece that comes and stay in one function each, as
a call more for each piece costs processor time.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from typing import ClassVar

from coveport.http1.errors import RemoteProtocolError
from coveport.http1.fields import TOKEN, read_fields
from coveport.http1.messages import Message

MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_HEADERS = 100  # fields of a head or a trailer section, and empty lines before a message
_START_BYTES = 20  # of a message, as many as tell whether it can become one
_MAX_CHUNK_LINE_BYTES = 130  # a chunk's size with its extensions and line end
_LINE_END_BYTES = 2  # after a chunk's data

_CHUNK_LINE = re.compile(  # RFC 9112, 7.1.1; white space at the end is sent by some, and harmless
    rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[ \t]*%(token)s(?:[ \t]*=[ \t]*(?:%(token)s|%(quoted)s))?)*[ \t]*"
    % {
        b"token": TOKEN.pattern,
        b"quoted": rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"',
    }
)


@dataclass(slots=True)
class MessageParser:
    """Turns bytes into messages; buffers one head and one complete body at most, and what `feed` adds.

    `max_body_bytes`: the largest body. `stream_above_bytes`: a body that is longer is streamed, and its
    message is returned as soon as that is known; None: no body is streamed.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    stream_above_bytes: int | None = None
    max_buffered_unsized_bytes: ClassVar[int] = MAX_BODY_BYTES  # of a body without a length: more is streamed
    start_pattern: ClassVar[re.Pattern[bytes]]  # matches the first bytes of a message, however few there are
    max_head_bytes: int = field(default_factory=lambda: MAX_HEAD_BYTES, kw_only=True)
    buffer: bytearray = field(default_factory=bytearray)
    _message: Message | None = None  # its head is read, its body is not
    _remaining_bytes: int | None = 0  # of the body; None: until the connection ends
    _chunked_body: bytearray | None = (
        None  # the body so far if it comes in chunks; of a streamed one what is new
    )
    _chunk_remaining_bytes: int = 0  # of the present chunk's data and its line end
    body_bytes_read: int = 0  # of the present body
    is_streaming: bool = False  # the present body is streamed
    _is_body_complete: bool = False  # the streamed body has been read to its end, if not returned
    _empty_lines: int = 0  # before the next message
    _has_failed: bool = False

    def feed(self, data: bytes | memoryview) -> None:
        """Add bytes from the connection."""
        self.buffer += data

    @property
    def is_mid_message(self) -> bool:
        """Whether a message has begun and is not complete."""
        return bool(self.buffer) or self._message is not None

    @property
    def received_body_bytes(self) -> int:
        """Bytes of the present body that have come, read or buffered."""
        if self._message is None:
            return 0
        return self.body_bytes_read + (len(self.buffer) if self._chunked_body is None else 0)

    def next_message(self) -> Message | None:
        """Return the next message, or None until more has come.

        Raises RemoteProtocolError once; after that there is no message any more.
        """
        if self._has_failed:
            return None
        if self.is_streaming:
            return None  # `next_data` comes first
        try:
            message = self._message or self._read_head()
            body = self._read_body() if message is not None else None
        except RemoteProtocolError:
            self._has_failed = True
            raise
        self._message = message
        if message is None:
            return None
        if self.stream_above_bytes is not None and self._is_longer(body, self.stream_above_bytes):
            # From here on `next_data` reads; where all has come already it only returns that.
            self.is_streaming = True
            message.is_streamed = True
            message.content_length = self._remaining_bytes
            if self._chunked_body is not None:
                message.content_length = None
                self._is_body_complete = body is not None
            return message
        if body is None:
            return None
        self._message = None
        message.body = body
        return message

    def next_data(self) -> tuple[bytes, bool]:
        """Return what has come of a streamed body since the last call, and whether the body ends there.

        Raises RemoteProtocolError as `next_message` does.
        """
        if self._has_failed or not self.is_streaming:
            return b"", False
        if self._chunked_body is not None:
            try:
                is_last = self._is_body_complete or self._read_chunks(self._chunked_body)
            except RemoteProtocolError:
                self._has_failed = True
                raise
            data = bytes(self._chunked_body)
            self._chunked_body.clear()
        else:
            remaining = self._remaining_bytes
            size = len(self.buffer) if remaining is None else min(remaining, len(self.buffer))
            if size == len(self.buffer):
                data = bytes(self.buffer)
                self.buffer = bytearray()
            else:
                data = bytes(self.buffer[:size])
                del self.buffer[:size]
            self.body_bytes_read += size
            if remaining is None:
                if self.body_bytes_read > self.max_body_bytes:
                    self._has_failed = True
                    raise RemoteProtocolError(413, "body too large")
                is_last = False
            else:
                self._remaining_bytes = remaining - size
                is_last = not self._remaining_bytes
        if is_last:
            self.is_streaming = False
            self._message = None
            self._is_body_complete = False
        return data, is_last

    def _is_longer(self, body: bytes | None, limit: int) -> bool:
        """Return whether the present body, which is `body` if complete, is known to exceed `limit` bytes."""
        if self._chunked_body is None and self._remaining_bytes is not None:
            return self._remaining_bytes > limit
        if body is not None:
            size = len(body)
        elif self._chunked_body is not None:
            # A chunk's line declares its data.
            size = len(self._chunked_body) + max(0, self._chunk_remaining_bytes - _LINE_END_BYTES)
        else:
            size = len(self.buffer)
        return size > min(limit, self.max_buffered_unsized_bytes)

    def _read_head(self) -> Message | None:
        # Guards against an empty line sent after an earlier body, as the standard asks (RFC 9112, 2.2), and
        # against a peer that sends nothing else: its connection would never be idle.
        while self.buffer.startswith(b"\r\n"):
            del self.buffer[:2]
            self._empty_lines += 1
            if self._empty_lines > MAX_HEADERS:
                raise RemoteProtocolError(400, "too many empty lines")
        end = self.buffer.find(b"\r\n\r\n", 0, self.max_head_bytes + 4)
        if end < 0:
            self._check_start()
            if len(self.buffer) >= self.max_head_bytes + 4:
                raise RemoteProtocolError(431, "head too large")
            return None
        lines = bytes(self.buffer[:end]).split(b"\r\n")
        if len(lines) > MAX_HEADERS:
            self._check_start()
            raise RemoteProtocolError(431, "too many headers")
        self._empty_lines = 0
        del self.buffer[: end + 4]
        return self._read_start_line(lines[0], read_fields(lines[1:], "header"))

    def _check_start(self) -> None:
        # Guards against endless noise: the first bytes tell what can't become a message. Where it is too
        # large as well, it is still malformed, however it was cut.
        if not self.start_pattern.match(bytes(self.buffer[:_START_BYTES])):
            raise RemoteProtocolError(400, "malformed start")

    def _read_start_line(self, line: bytes, headers: dict[str, list[str]]) -> Message:
        """Return the message that the start line begins, with its body framed."""
        raise NotImplementedError

    def _frame_body(self, headers: dict[str, list[str]], default: int | None) -> None:
        """Find where the body ends (RFC 9112, 6.3).

        `default`: its bytes where no header says; None: it ends with the connection.
        """
        lengths = headers.get("content-length")
        codings = headers.get("transfer-encoding")
        self._chunked_body = None
        self._remaining_bytes = default
        self._chunk_remaining_bytes = 0
        self.body_bytes_read = 0
        if codings is not None:
            # Guards against request smuggling: not all peers read a message alike that is framed in two ways.
            if lengths is not None:
                raise RemoteProtocolError(400, "both Content-Length and Transfer-Encoding")
            if [coding.lower() for coding in codings] != ["chunked"]:
                raise RemoteProtocolError(501, "transfer coding not known")
            self._chunked_body = bytearray()
        elif lengths is not None:
            # Guards against request smuggling: `5, 5`, `+5` and repeated lengths are malformed here.
            if len(lengths) > 1 or not re.fullmatch(r"[0-9]{1,18}", lengths[0]):
                raise RemoteProtocolError(400, "malformed Content-Length")
            self._remaining_bytes = int(lengths[0])
            if self._remaining_bytes > self.max_body_bytes:
                raise RemoteProtocolError(413, "body too large")

    def _read_body(self) -> bytes | None:
        """Return the body once it is complete."""
        if self._chunked_body is not None:
            return bytes(self._chunked_body) if self._read_chunks(self._chunked_body) else None
        size = self._remaining_bytes
        if size is None:
            if len(self.buffer) > self.max_body_bytes:
                raise RemoteProtocolError(413, "body too large")
            return None
        if len(self.buffer) < size or (
            self.stream_above_bytes is not None and size > self.stream_above_bytes
        ):
            return None
        with memoryview(self.buffer) as view:
            body = bytes(view[:size])
        del self.buffer[:size]
        return body

    def _read_chunks(self, body: bytearray) -> bool:
        """Move the data of chunks to `body`; return whether the body is complete (RFC 9112, 7.1)."""
        while True:
            if self._chunk_remaining_bytes > _LINE_END_BYTES:
                size = min(self._chunk_remaining_bytes - _LINE_END_BYTES, len(self.buffer))
                body += self.buffer[:size] if size < len(self.buffer) else self.buffer
                del self.buffer[:size]
                self._chunk_remaining_bytes -= size
                self.body_bytes_read += size
            if self._chunk_remaining_bytes > _LINE_END_BYTES or (
                self._chunk_remaining_bytes and len(self.buffer) < _LINE_END_BYTES
            ):
                return False
            if self._chunk_remaining_bytes:
                if self.buffer[:_LINE_END_BYTES] != b"\r\n":
                    raise RemoteProtocolError(400, "malformed chunk")
                del self.buffer[:_LINE_END_BYTES]
                self._chunk_remaining_bytes = 0
            end = self.buffer.find(b"\r\n", 0, _MAX_CHUNK_LINE_BYTES)
            if end < 0:
                self._check_partial_chunk_line()
                return False
            match = _CHUNK_LINE.fullmatch(bytes(self.buffer[:end]))
            if not match:
                raise RemoteProtocolError(400, "malformed chunk")
            size = int(match[1], 16)
            if self.body_bytes_read + size > self.max_body_bytes:
                raise RemoteProtocolError(413, "body too large")
            if size == 0:
                return self._read_trailers(end)
            del self.buffer[: end + _LINE_END_BYTES]
            self._chunk_remaining_bytes = size + _LINE_END_BYTES

    def _check_partial_chunk_line(self) -> None:
        if len(self.buffer) >= _MAX_CHUNK_LINE_BYTES:
            raise RemoteProtocolError(400, "malformed chunk")

    def _read_trailers(self, begin: int) -> bool:
        """Drop the trailer section that the line end at `begin` opens; return whether it is complete."""
        end = self.buffer.find(b"\r\n\r\n", begin, begin + MAX_HEAD_BYTES)
        if end < 0:
            if len(self.buffer) > begin + MAX_HEAD_BYTES:
                raise RemoteProtocolError(431, "trailers too large")
            return False
        if end > begin:
            # Guards against request smuggling: what other peers refuse must not pass, though it is dropped.
            trailers = bytes(self.buffer[begin + 2 : end]).split(b"\r\n")
            if len(trailers) > MAX_HEADERS:
                raise RemoteProtocolError(431, "too many trailers")
            read_fields(trailers, "trailer")
        del self.buffer[: end + 4]
        return True
