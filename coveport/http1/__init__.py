"""HTTP/1.1 (RFC 9112) without I/O: incremental parsers and writers for both directions.

`feed` adds received bytes to a parser. `next_request` and `next_response` return a message once it is
complete, or only its head if its body is streamed; then `next_data` returns the body piece by piece. A
message that breaks the protocol raises `RemoteProtocolError`, and the parser reads nothing after it. Writers
return bytes.
"""

from coveport.http1.errors import RemoteProtocolError
from coveport.http1.message_parser import MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS
from coveport.http1.messages import Message, Request, Response
from coveport.http1.request_parser import RequestParser
from coveport.http1.response_parser import MAX_BUFFERED_UNSIZED_BYTES, ResponseParser
from coveport.http1.writers import (
    CHUNKED,
    LAST_CHUNK,
    write_chunk,
    write_head,
    write_request,
    write_request_head,
    write_response,
)

__all__ = [
    "CHUNKED",
    "LAST_CHUNK",
    "MAX_BODY_BYTES",
    "MAX_BUFFERED_UNSIZED_BYTES",
    "MAX_HEADERS",
    "MAX_HEAD_BYTES",
    "Message",
    "RemoteProtocolError",
    "Request",
    "RequestParser",
    "Response",
    "ResponseParser",
    "write_chunk",
    "write_head",
    "write_request",
    "write_request_head",
    "write_response",
]
