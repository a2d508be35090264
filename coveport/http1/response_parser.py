"""The parser of responses, for a client."""

from __future__ import annotations

import re

from coveport.http1.errors import RemoteProtocolError
from coveport.http1.fields import is_persistent
from coveport.http1.message_parser import MessageParser
from coveport.http1.messages import Response

MAX_BUFFERED_UNSIZED_BYTES = 8 * 1024

_STATUS_LINE = re.compile(rb"(HTTP/1\.[01]) ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?")


class ResponseParser(MessageParser):
    """Parses responses from a server.

    A response without a declared length may be long and arrive slowly: it is streamed above
    MAX_BUFFERED_UNSIZED_BYTES, so that its reader doesn't wait until the limit for buffered bodies.
    """

    max_buffered_unsized_bytes = MAX_BUFFERED_UNSIZED_BYTES
    start_pattern = re.compile(rb"\r?\Z|(?:HTTP/1?|HTTP?|HT?)\Z|HTTP/1\.(?:\Z|[01](?:\Z| (?:\Z|[1-5])))")

    def next_response(self) -> Response | None:
        """Return the next final response, or None if more bytes are needed; skip interim responses (1xx)."""
        while (message := self.next_message()) is not None:
            assert isinstance(message, Response)
            if message.status >= 200:
                return message
        return None

    def receive_eof(self) -> Response | None:
        """Return the response that the end of the connection completes, if any."""
        message = self._message
        if (
            not isinstance(message, Response)
            or self._remaining_bytes is not None
            or self._chunked_body is not None
            or self._has_failed
        ):
            return None
        message.body = bytes(self.buffer)
        self._message = None
        self.buffer = bytearray()
        self.is_streaming = False
        return message

    def _read_start_line(self, line: bytes, headers: dict[str, list[str]]) -> Response:
        match = _STATUS_LINE.fullmatch(line)
        if not match:
            raise RemoteProtocolError(400, "malformed status line")
        version = match[1]
        status = int(match[2])
        if status < 200 or status in (204, 304):
            # Ignores headers that declare a body: these responses have none (RFC 9112, 6.3), and the next
            # message would be read as the body.
            self._chunked_body = None
            self._remaining_bytes = 0
        else:
            self._frame_body(headers, None)
        has_known_end = self._remaining_bytes is not None or self._chunked_body is not None
        return Response(headers, is_persistent(version, headers) and has_known_end, b"", status)
