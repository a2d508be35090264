"""The common part of both parsers: finds a head, frames its body (RFC 9112, 6) and reads the body.

A parser is between two messages, inside a head, inside a buffered body, inside a streamed body, or failed.
The failed state is final: after an error the start of the next message is unknown.

`next_message`, `next_data` and `_read_chunks` run for each received piece. Each stays a single function, as
an additional call for each piece costs processor time.
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
MAX_HEADERS = 100  # limit for fields of a head or a trailer section, and for empty lines before a message
_START_BYTES = 20  # the first bytes of a message that `start_pattern` is matched against
_MAX_CHUNK_LINE_BYTES = 130  # chunk size with extensions and line end
_LINE_END_BYTES = 2  # the line end after a chunk's data

_CHUNK_LINE = re.compile(  # RFC 9112, 7.1.1; some peers send trailing white space, which is harmless
    rb"([0-9A-Fa-f]{1,8})(?:[ \t]*;[ \t]*%(token)s(?:[ \t]*=[ \t]*(?:%(token)s|%(quoted)s))?)*[ \t]*"
    % {
        b"token": TOKEN.pattern,
        b"quoted": rb'"(?:[\t\x20\x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\[\t\x20-\x7e\x80-\xff])*"',
    }
)


@dataclass(slots=True)
class MessageParser:
    """Parses bytes into messages; buffers at most one head, one complete body and the bytes that `feed` adds.

    `max_body_bytes`: the largest body that is accepted. `stream_above_bytes`: a longer body is streamed, and
    its message is returned as soon as the body is known to be longer; None: no body is streamed.
    """

    max_body_bytes: int = MAX_BODY_BYTES
    stream_above_bytes: int | None = None
    max_buffered_unsized_bytes: ClassVar[int] = (
        MAX_BODY_BYTES  # a longer body of undeclared length is streamed
    )
    start_pattern: ClassVar[re.Pattern[bytes]]  # matches the start of a message, also a partial one
    max_head_bytes: int = field(default_factory=lambda: MAX_HEAD_BYTES, kw_only=True)
    buffer: bytearray = field(default_factory=bytearray)
    _message: Message | None = None  # a message whose head has been read and whose body has not
    _remaining_bytes: int | None = 0  # unread bytes of the body; None: the body ends with the connection
    # The data of a chunked body read so far, or since the last `next_data` if streamed; None: not chunked.
    _chunked_body: bytearray | None = None
    _chunk_remaining_bytes: int = 0  # unread bytes of the present chunk's data and line end
    body_bytes_read: int = 0  # bytes read of the present body
    is_streaming: bool = False  # whether the present body is streamed
    _is_body_complete: bool = False  # whether a chunked streamed body is read to its end but not yet returned
    _empty_lines: int = 0  # number of empty lines before the next message
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
        """Bytes of the present body that have been received, read or still buffered."""
        if self._message is None:
            return 0
        return self.body_bytes_read + (len(self.buffer) if self._chunked_body is None else 0)

    @property
    def expected_bytes(self) -> int:
        """Bytes that the present message needs: those buffered, and those that it has declared."""
        if self._message is None or self._chunked_body is not None:
            return len(self.buffer) + len(self._chunked_body or b"")
        return max(len(self.buffer), self._remaining_bytes or 0)

    def discard(self) -> None:
        """Drop all bytes and read no further message."""
        self._has_failed = True
        self._message = None
        self._chunked_body = None
        self.buffer = bytearray()

    def next_message(self) -> Message | None:
        """Return the next message, or None if more bytes are needed.

        Raises RemoteProtocolError once; every later call returns None.
        """
        if self._has_failed:
            return None
        if self.is_streaming:
            return None  # `next_data` must return the rest of the streamed body first
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
            # From here on `next_data` reads the body; a body already read to its end is only returned by it.
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
        self._chunked_body = None
        message.body = body
        return message

    def next_data(self) -> tuple[bytes, bool]:
        """Return the data of a streamed body received since the last call, and whether the body ends there.

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
            # The chunk line declares the length of the chunk's data, which counts before it arrives.
            size = len(self._chunked_body) + max(0, self._chunk_remaining_bytes - _LINE_END_BYTES)
        else:
            size = len(self.buffer)
        return size > min(limit, self.max_buffered_unsized_bytes)

    def _read_head(self) -> Message | None:
        # Skips empty lines sent after an earlier body, as the standard recommends (RFC 9112, 2.2). The limit
        # guards against a peer that sends only empty lines: its connection would never be idle.
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
        # Guards against an endless stream that is not HTTP: its first bytes already can't begin a message.
        # Input that is also too large is reported as malformed, however the bytes were split.
        if not self.start_pattern.match(bytes(self.buffer[:_START_BYTES])):
            raise RemoteProtocolError(400, "malformed start")

    def _read_start_line(self, line: bytes, headers: dict[str, list[str]]) -> Message:
        """Return the message that the start line begins, with its body framed."""
        raise NotImplementedError

    def _frame_body(self, headers: dict[str, list[str]], default: int | None) -> None:
        """Determine where the body ends (RFC 9112, 6.3).

        `default`: the body's length in bytes if no header declares it; None: it ends with the connection.
        """
        lengths = headers.get("content-length")
        codings = headers.get("transfer-encoding")
        self._chunked_body = None
        self._remaining_bytes = default
        self._chunk_remaining_bytes = 0
        self.body_bytes_read = 0
        if codings is not None:
            # Guards against request smuggling: peers differ in reading a message that is framed in two ways.
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
        """Return the body if it is complete, else None."""
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
        """Discard the trailer section after the line end at `begin`; return whether it is complete."""
        end = self.buffer.find(b"\r\n\r\n", begin, begin + MAX_HEAD_BYTES)
        if end < 0:
            if len(self.buffer) > begin + MAX_HEAD_BYTES:
                raise RemoteProtocolError(431, "trailers too large")
            return False
        if end > begin:
            # Guards against request smuggling: rejects trailers that other peers reject, though unused.
            trailers = bytes(self.buffer[begin + 2 : end]).split(b"\r\n")
            if len(trailers) > MAX_HEADERS:
                raise RemoteProtocolError(431, "too many trailers")
            read_fields(trailers, "trailer")
        del self.buffer[: end + 4]
        return True
