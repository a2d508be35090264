"""Parsers: messages do not depend on how the bytes were split, and arbitrary bytes are at most rejected."""

from __future__ import annotations

import tracemalloc
from collections.abc import Iterable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveport import http1
from coveport.sidecar.upstream.http1_messages import load_report

CUTS = st.lists(st.integers(1, 40), max_size=30)


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    parts, offset = [], 0
    for cut in cuts:
        parts.append(data[offset : offset + cut])
        offset += cut
    return [*parts, data[offset:]]


@given(st.lists(st.tuples(st.binary(max_size=80), st.booleans()), max_size=5), CUTS)
def test_requests_do_not_depend_on_how_bytes_were_split(
    bodies: list[tuple[bytes, bool]], cuts: list[int]
) -> None:
    data = b""
    for body, chunked in bodies:
        if chunked:
            chunks = b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:9], body[9:]) if part)
            data += (
                b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n"
                + chunks
                + b"0\r\nTrailer: t\r\n\r\n"
            )
        else:
            data += http1.write_request("POST", "/a", [("Host", "x")], body) + b"\r\n" * (len(body) % 2)
    parser, parsed_bodies = http1.RequestParser(), list[bytes]()
    for piece in pieces(data, cuts):
        parser.feed(piece)
        while (request := parser.next_request()) is not None:
            assert (request.method, request.target, request.keep_alive) == ("POST", "/a", True)
            parsed_bodies.append(request.body)
    assert parsed_bodies == [body for body, _ in bodies]


@given(
    st.sampled_from(
        [
            b"Content-Length: 4\r\n\r\nbody",
            b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            b"Connection: close\r\n\r\nbody",
        ]
    ),
    CUTS,
)
def test_responses_do_not_depend_on_their_framing(rest: bytes, cuts: list[int]) -> None:
    data = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Load: a=1\r\n" + rest
    parser, response = http1.ResponseParser(), None
    for piece in pieces(data, cuts):
        parser.feed(piece)
        response = response or parser.next_response()
    response = response or parser.receive_eof()
    assert response is not None and (response.status, response.body) == (200, b"body")
    assert response.headers["x-load"] == ["a=1"]
    assert response.keep_alive is (b"close" not in rest) and not parser.is_mid_message


@given(st.binary(max_size=300), st.sampled_from([b"", b"GET / HTTP/1.1\r\n", b"HTTP/1.1 200 OK\r\n"]))
def test_arbitrary_bytes_are_at_most_rejected(data: bytes, start: bytes) -> None:
    for parser in (http1.RequestParser(), http1.ResponseParser()):
        status = None
        parser.feed(start + data + b"\r\n\r\n")
        try:
            while parser.next_message() is not None:
                pass
        except http1.RemoteProtocolError as error:
            status = error.status
        assert status in (None, 400, 413, 431, 501, 505)


@pytest.mark.parametrize(
    "end",
    [
        b"Content-Length: 5\r\n\r\nbody",
        b"Content-Length: 4\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n4\r\nbo",
    ],
)
def test_incomplete_response_is_not_returned(end: bytes) -> None:
    parser = http1.ResponseParser()
    parser.feed(b"HTTP/1.1 200 OK\r\n" + end)
    assert parser.next_response() is None and parser.receive_eof() is None


@given(st.integers(0, 40))
def test_partial_message_is_not_rejected(cut: int) -> None:
    for parser, data in (
        (http1.RequestParser(), b"GET /balance/7 HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1"),
        (http1.RequestParser(), b"\r\nGET /" + b"a" * 40),
        (http1.ResponseParser(), b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX-Load: a=1"),
    ):
        parser.feed(data[:cut])
        assert parser.next_message() is None


@pytest.mark.parametrize("data", [b"\x00", b"HTTP/2", b"\x16\x03\x01\x02", b"HTTP/1.1 9", b"\xff" * 15])
def test_non_http_input_is_rejected_by_its_first_bytes(data: bytes) -> None:
    # If the parser waited for more, endless non-HTTP input would block its route step until the time-out.
    for parser in (http1.RequestParser(), http1.ResponseParser()):
        parser.feed(data)
        if not (isinstance(parser, http1.RequestParser) and data.startswith(b"HTTP")):
            with pytest.raises(http1.RemoteProtocolError):
                parser.next_message()


CHUNKED = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


Parser = http1.RequestParser | http1.ResponseParser


def read(data: bytes, parser: Parser | None = None) -> http1.Message | None:
    parser = parser or http1.RequestParser()
    parser.feed(data)
    return parser.next_message()


def read_no_message(parser: Parser, data: Iterable[bytes]) -> None:
    for piece in data:
        assert read(piece, parser) is None


@pytest.mark.parametrize(
    "trailers",
    [
        b"hello\r\n",
        b"X : y\r\n",
        b" X: y\r\n",
        b"X: y\r\n folded\r\n",
        b"X: \x00\r\n",
        b": y\r\n",
        b"X: y\nZ: w\r\n",
        b"X: y\r\n" * 101,
        b"X: " + b"y" * 17000,
    ],
)
def test_trailers_are_checked_as_headers_are(trailers: bytes) -> None:
    # h11 rejects these trailers: a peer in front of this parser may read them as a second message.
    with pytest.raises(http1.RemoteProtocolError, match="trailer"):
        read(CHUNKED + b"0\r\n" + trailers + b"\r\n")


def test_trailers_are_discarded() -> None:
    message = read(CHUNKED + b"1\r\nx\r\n0\r\nHost: b\r\nContent-Length: 9\r\nX-Request-Id:\r\n\r\n")
    assert message is not None and message.body == b"x"
    assert message.headers == {"host": ["a"], "transfer-encoding": ["chunked"]}


@pytest.mark.parametrize(
    ("line", "is_valid"),
    [
        (b"1", True),
        (b"0001", True),
        (b"1 ", True),
        (b"1;a", True),
        (b"1;a=b;c", True),
        (b"1 ; a = b\t", True),
        (b'1;a="x \\" ; y"', True),
        (b" 1", False),
        (b"1;", False),
        (b"1;a=", False),
        (b'1;a="x', False),
        (b"1 x", False),
        (b"1;a b", False),
        (b"1;a=\x01", False),
        (b"+1", False),
        (b"0x1", False),
        (b"", False),
        (b"000000001", False),
    ],
)
def test_chunk_lines_are_parsed_as_the_standard_defines(line: bytes, is_valid: bool) -> None:
    data = CHUNKED + line + b"\r\nx\r\n0\r\n\r\n"
    if is_valid:
        message = read(data)
        assert message is not None and message.body == b"x"
    else:
        with pytest.raises(http1.RemoteProtocolError, match="malformed chunk"):
            read(data)


HEAD = b"GET / HTTP/1.1\r\nHost: a\r\nX: "


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"y" * (http1.MAX_HEAD_BYTES - len(HEAD)) + b"\r\n\r\n", 0),
        (HEAD + b"y" * (http1.MAX_HEAD_BYTES + 1 - len(HEAD)) + b"\r\n\r\n", 431),
        (b"\x00" + HEAD + b"y" * http1.MAX_HEAD_BYTES, 400),
        (b"\x00" * 30 + HEAD + b"\r\nX: y" * 101 + b"\r\n\r\n", 400),
        (HEAD + b"\r\nX: y" * 97 + b"\r\n\r\n", 0),
        (HEAD + b"\r\nX: y" * 98 + b"\r\n\r\n", 431),
    ],
)
def test_limits_do_not_depend_on_how_bytes_were_split(data: bytes, status: int) -> None:
    for pieces in ([data], [data[:-4], data[-4:]], [data[:25], data[25:]]):
        parser, error_status = http1.RequestParser(), 0
        try:
            message = [read(piece, parser) for piece in pieces][-1]
        except http1.RemoteProtocolError as error:
            error_status = error.status
        assert error_status == status and (error_status or message is not None)


@pytest.mark.parametrize(
    "malformed",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/3.0\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost : a\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 600000\r\n\r\n",
        CHUNKED + b"0\r\nbad\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: x\r\n\r\n",
    ],
)
def test_nothing_is_read_after_an_error(malformed: bytes) -> None:
    data, parser = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", http1.RequestParser()  # type: bytes, Parser
    if malformed.startswith(b"HTTP"):
        data, parser = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", http1.ResponseParser()
    assert read(data, parser) is not None
    with pytest.raises(http1.RemoteProtocolError):
        read(malformed + data, parser)
    assert read(data, parser) is None and parser.next_message() is None


def test_too_large_response_is_not_completed_by_the_end_of_the_connection() -> None:
    parser = http1.ResponseParser(9)
    with pytest.raises(http1.RemoteProtocolError):
        read(b"HTTP/1.1 200 OK\r\n\r\n0123456789", parser)
    assert parser.receive_eof() is None


@pytest.mark.parametrize("status", [b"103", b"199", b"204", b"304"])
@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 3",
        b"Content-Length: 90000000",
        b"Content-Length: ?",
        b"Transfer-Encoding: chunked",
        b"Transfer-Encoding: x",
    ],
)
def test_responses_without_a_body_end_at_the_empty_line(status: bytes, framing: bytes) -> None:
    parser = http1.ResponseParser()
    parser.feed(
        b"HTTP/1.1 " + status + b" x\r\n" + framing + b"\r\n\r\n"
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    )
    responses = []
    while (response := parser.next_response()) is not None:
        responses.append((response.status, response.body))
    assert responses == [(int(status), b"")] * (status >= b"200") + [(200, b"ok")]


@pytest.mark.parametrize(
    ("version", "lines", "keep_alive"),
    [
        (b"1.1", b"", True),
        (b"1.1", b"Connection: close\r\n", False),
        (b"1.1", b"Connection: x , Close\r\n", False),
        (b"1.0", b"", False),
        (b"1.0", b"Connection: Keep-Alive\r\n", True),
        (b"1.1", b"Connection: \xa0close\r\n", True),
        (b"1.0", b"Connection: \x85keep-alive\r\n", False),
        (b"1.1", b"Transfer-Encoding: chunked\r\n", True),
        (b"1.0", b"Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", False),
    ],
)
def test_keep_alive_follows_version_and_headers(version: bytes, lines: bytes, keep_alive: bool) -> None:
    request = read(b"POST / HTTP/" + version + b"\r\nHost: a\r\n" + lines + b"\r\n0\r\n\r\n")
    response = read(
        b"HTTP/"
        + version
        + b" 200 OK\r\n"
        + lines
        + (b"\r\n0\r\n\r\n" if b"Transfer" in lines else b"Content-Length: 0\r\n\r\n"),
        http1.ResponseParser(),
    )
    assert request is not None and response is not None
    assert request.keep_alive is response.keep_alive is keep_alive


@pytest.mark.parametrize(
    ("start", "is_valid"),
    [
        (b"GET / HTTP/1.1\r\n", False),
        (b"GET / HTTP/1.1\r\nHost: a\r\n", True),
        (b"GET / HTTP/1.0\r\n", True),
        (b"GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n", False),
        (b"GET / HTTP/1.0\r\nHost: a\r\nHost: b\r\n", False),
    ],
)
def test_http_1_1_requires_exactly_one_host_header(start: bytes, is_valid: bool) -> None:
    if is_valid:
        assert read(start + b"\r\n") is not None
    else:
        with pytest.raises(http1.RemoteProtocolError, match="Host"):
            read(start + b"\r\n")


@pytest.mark.parametrize(("version", "expects"), [(b"1.1", True), (b"1.0", False)])
def test_http_1_0_request_expects_no_100_continue(version: bytes, expects: bool) -> None:
    parser = http1.RequestParser()
    head = b" HTTP/" + version + b"\r\nHost: a\r\nConnection: keep-alive\r\nExpect: 100-continue\r\n"
    for number in b"12":
        assert read(b"POST /%d" % number + head + b"Content-Length: 1\r\n\r\n", parser) is None
        assert parser.wants_continue is expects
        assert read(b"x", parser) is not None and not parser.wants_continue


@pytest.mark.parametrize(
    ("values", "load"),
    [
        (["queue=2, inflight=7,x=y"], (7.0, 2.0)),
        (["inflight=7"], ()),
        (["inflight=7,queue="], ()),
        ([], ()),
        (["inflight=7,queue=nan"], ()),
        (["inflight=7,queue=inf"], ()),
        (["inflight=1e999,queue=2"], ()),
    ],
)
def test_load_report_is_complete_and_finite_or_empty(values: list[str], load: tuple[float, ...]) -> None:
    response = http1.Response({"x-load": values}, True, b"", 200)
    assert load_report(response, ("inflight", "queue")) == load


@pytest.mark.parametrize("step", [2, 3, 400])
def test_endless_empty_lines_are_rejected(step: int) -> None:
    # The connection of a client that sends only empty lines would never be idle and never be closed.
    request, parser = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n", http1.RequestParser()
    for _ in range(3):
        assert read(b"\r\n" * 100 + request, parser) is not None
    with pytest.raises(http1.RemoteProtocolError, match="empty"):
        read_no_message(parser, pieces(b"\r\n" * 101, [step] * 90))


def test_a_complete_body_in_chunks_is_held_once() -> None:
    length = 4 * 1024 * 1024
    parser = http1.RequestParser(length)
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = b"%x\r\n%b\r\n" % (length // 64, bytes(length // 64))
    tracemalloc.start()
    try:
        parser.feed(head)
        for _ in range(64):
            assert parser.next_request() is None
            parser.feed(chunk)
        parser.feed(b"0\r\n\r\n")
        request = parser.next_request()
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert request is not None and len(request.body) == length
    assert held_bytes < 1.5 * length


def test_expected_bytes_are_those_declared_or_buffered() -> None:
    parser = http1.RequestParser(1000)
    assert parser.expected_bytes == 0
    parser.feed(b"POST / HTTP/1.1\r\n")
    assert parser.next_request() is None and parser.expected_bytes == 17
    parser.feed(b"Host: h\r\nContent-Length: 900\r\n\r\nbody")
    assert parser.next_request() is None and parser.expected_bytes == 900
    parser.feed(bytes(896))
    assert parser.next_request() is not None and parser.expected_bytes == 0
    parser.feed(b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n5\r\nwo")
    assert parser.next_request() is None and parser.expected_bytes == 7
    parser.discard()
    parser.feed(b"rld\r\n0\r\n\r\n")
    assert parser.next_request() is None


def test_the_head_of_a_request_declares_the_length_of_its_body() -> None:
    headers = [("Host", "h")]
    assert (
        http1.write_request("POST", "/", headers, b"body")
        == http1.write_request_head("POST", "/", headers, 4) + b"body"
    )
    assert http1.write_request("GET", "/", headers) == http1.write_request_head("GET", "/", headers)
