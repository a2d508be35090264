"""Our parsers beside h11: each row of allowed differences is needed, and a fault of ours would show."""

from __future__ import annotations

import re
from collections.abc import Callable

import h11
import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveport import http1
from coveport.testbed.fuzz import differ

HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OK = b"HTTP/1.1 200 OK\r\n"
LAST = b"0\r\n\r\n"
EXAMPLES = {  # by row: bytes on which the two differ for its reason alone
    "absolute-form": b"GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n",
    "absolute-form of others": b"GET ftp://a/ HTTP/1.1\r\nHost: a\r\n\r\n",
    "other forms": b"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
    "bare LF": b"GET / HTTP/1.1\nHost: a\n\n",
    "bare LF in trailers": CHUNKED + b"0\r\nX: y\n\n",
    "folded lines": HEAD + b"X: y\r\n z\r\n\r\n",
    "folded lines in trailers": CHUNKED + b"0\r\nX: y\r\n z\r\n\r\n",
    "control characters": HEAD + b"X: \x01\r\n\r\n",
    "control characters in trailers": CHUNKED + b"0\r\nX: \x01\r\n\r\n",
    "version": b"GET / HTTP/1.2\r\nHost: a\r\n\r\n",
    "status over 599": b"HTTP/1.1 600 x\r\nContent-Length: 0\r\n\r\n",
    "framed twice": HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n" + LAST,
    "repeated length": HEAD + b"Content-Length: 1, 1\r\n\r\nx",
    "long length": HEAD + b"Content-Length: 0000000000000000001\r\n\r\nx",
    "body's size": HEAD + b"Content-Length: 600\r\n\r\n" + b"x" * 600,
    "head's size": HEAD + b"X: " + b"y" * 16384 + b"\r\n\r\n",
    "head's lines": HEAD + b"X: y\r\n" * 99 + b"\r\n",
    "trailers' size": CHUNKED + b"0\r\nX: " + b"y" * 16384 + b"\r\n\r\n",
    "trailers' lines": CHUNKED + b"0\r\n" + b"X: y\r\n" * 101 + b"\r\n",
    "chunk extensions": CHUNKED + b"1;\r\nx\r\n" + LAST,
    "long chunk lines": CHUNKED + b"1" + b" " * 130 + b"\r\nx\r\n" + LAST,
    "long chunk sizes": CHUNKED + b"000000001\r\nx\r\n" + LAST,
    "empty lines in front": b"\r\n" + HEAD + b"\r\n",
    "space before a chunk extension": CHUNKED + b"1 ;a\r\nx\r\n" + LAST,
    "framing fields in trailers": CHUNKED + b"0\r\nContent-Length: x\r\n\r\n",
    "1xx, 204 and 304 with framing fields": b"HTTP/1.1 304 x\r\nContent-Length: x\r\n\r\n",
    "101 unasked for": b"HTTP/1.1 101 x\r\n\r\n" + OK + b"Content-Length: 0\r\n\r\n",
    "HTTP/1.0 keep-alive": b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    "204 and 304 with framing fields": b"HTTP/1.1 204 x\r\nContent-Length: 1, 1\r\n\r\n",
    "part of the body is there": HEAD + b"Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n1",
    "bare LF, and a body to come": HEAD.replace(b"\r", b"") + b"Expect: 100-continue\nContent-Length: 1\n\n",
    "several expectations": HEAD + b"Expect: 100-continue, x\r\nContent-Length: 1\r\n\r\n",
}
ROWS = [(table, row) for table in ("STRICTER", "LAXER", "OTHERWISE") for row in getattr(differ, table)]


def compared(data: bytes) -> tuple[str, str] | None:
    return differ.responses(data) if data.startswith(b"HTTP/") else differ.requests(data)


@pytest.mark.parametrize(("table", "row"), ROWS, ids=[row.name for _, row in ROWS])
def test_every_row_is_needed(table: str, row: differ.Allowed, monkeypatch: pytest.MonkeyPatch) -> None:
    assert compared(EXAMPLES[row.name]) is None
    monkeypatch.setattr(differ, table, tuple(one for one in getattr(differ, table) if one is not row))
    assert compared(EXAMPLES[row.name]) is not None
    assert row.section.startswith("RFC ") and row.why


def keeps_by_any_white_space(version: bytes, headers: dict[str, list[str]]) -> bool:
    options = {one.strip().lower() for line in headers.get("connection", ()) for one in line.split(",")}
    return "close" not in options and (version == b"HTTP/1.1" or "keep-alive" in options)


@pytest.mark.parametrize(
    ("name", "fault", "data", "rule"),
    [
        (
            "message_parser.read_fields",
            lambda _lines, _what: {"host": ["a"], "transfer-encoding": ["chunked"]},
            CHUNKED + b"0\r\nhello\r\n\r\n",
            "h11 refuses",
        ),
        (
            "message_parser._CHUNK_LINE",
            re.compile(rb"[ \t]*([0-9]+)"),
            CHUNKED + b" 1\r\nx\r\n" + LAST,
            "h11 refuses",
        ),
        ("message_parser._CHUNK_LINE", re.compile(rb"([1-9]+)"), CHUNKED + LAST, "ours refuses"),
        ("fields._VALUE", re.compile(rb"[\x00-\xff]*"), HEAD + b"X: \x00\r\n\r\n", "h11 refuses"),
        ("fields._VALUE", re.compile(rb"[a-z]*"), HEAD + b"X: Y\r\n\r\n", "ours refuses"),
        (
            "request_parser.is_persistent",
            keeps_by_any_white_space,
            HEAD + b"Connection: \xa0close\r\n\r\n",
            "reads otherwise: keep",
        ),
        (
            "response_parser.is_persistent",
            keeps_by_any_white_space,
            b"HTTP/1.0 200 x\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n" + LAST,
            "reads otherwise: keep",
        ),
        ("message_parser.MAX_HEAD_BYTES", 40, HEAD + b"X: y\r\nZ: yyyyyyy\r\n\r\n", "ours refuses"),
    ],
)
def test_a_fault_of_ours_shows(
    name: str, fault: object, data: bytes, rule: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert compared(data) is None
    monkeypatch.setattr(f"coveport.http1.{name}", fault)
    difference = compared(data)
    assert difference is not None and difference[0] == rule


TOKEN = st.text("abcXYZ-!~09", min_size=1, max_size=8)
VALUE = st.text('ab,;="\\ \t09\xe9\xa0', max_size=12).map(lambda one: one.strip(" \t"))
FIELDS = st.lists(st.tuples(TOKEN.map("X-{}".format), VALUE), max_size=4)
BODIES = st.lists(st.binary(max_size=90), max_size=4)


Lines = list[tuple[bytes, bytes]]


def written(
    start: h11.Request | h11.Response,
    role: type[h11.CLIENT] | type[h11.SERVER],
    parts: list[bytes],
    trailers: Lines,
) -> bytes:
    conn = h11.Connection(role)
    if role is h11.SERVER:
        conn.receive_data(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        conn.next_event()
    events = [start, *(h11.Data(data=part) for part in parts), h11.EndOfMessage(headers=trailers)]
    return b"".join(conn.send(event) or b"" for event in events)


def framed(parts: list[bytes], chunked: bool) -> tuple[bytes, bytes]:
    length = len(b"".join(parts))
    return (b"Transfer-Encoding", b"chunked") if chunked else (b"Content-Length", b"%d" % length)


def encoded(fields: list[tuple[str, str]]) -> Lines:
    return [(name.encode(), value.encode("latin-1")) for name, value in fields]


@given(FIELDS, BODIES, FIELDS, st.booleans())
def test_what_h11_writes_is_read(
    fields: list[tuple[str, str]], parts: list[bytes], trailers: list[tuple[str, str]], chunked: bool
) -> None:
    lines = [(b"Host", b"a"), *encoded(fields), framed(parts, chunked)]
    behind = encoded(trailers) if chunked else []
    request = h11.Request(method="PUT", target="/x?y", headers=lines)
    response = h11.Response(status_code=201, headers=lines)
    parsers: list[tuple[http1.RequestParser | http1.ResponseParser, bytes, Callable[[bytes], object]]] = [
        (http1.RequestParser(), written(request, h11.CLIENT, parts, behind), differ.requests),
        (http1.ResponseParser(), written(response, h11.SERVER, parts, behind), differ.responses),
    ]
    for parser, data, compare in parsers:
        parser.feed(data)
        message = parser.next_message()
        assert message is not None and message.body == b"".join(parts) and not parser.is_mid_message
        wanted: dict[str, list[str]] = {}
        for name, value in lines:
            wanted.setdefault(name.decode().lower(), []).append(value.decode("latin-1"))
        assert {name: message.headers[name] for name in wanted} == wanted
        assert compare(data) is None
