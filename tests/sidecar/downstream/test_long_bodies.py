"""Bodies over 64 KiB: forwarded as they arrive, within one byte budget, and never cut off at a deadline."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from simulated import Conn, Server, World, now, sleep, wait_for, world
from world import Seen, receive, reply, request, served

from coveport import http1
from coveport.sidecar.reducer.streams import READ_LEAST, READ_MOST, Budget, Upload

MIB = 1024 * 1024
LONG = bytes(range(256)) * (MIB // 256)


class UploadReader:
    """Reads the available chunks of an upload in `more`."""

    def __init__(self, upload: Upload) -> None:
        self.upload = upload
        self.received = bytearray()

    def more(self) -> None:
        while (piece := self.upload.next(self)) is not None:
            self.received += piece
            self.upload.took()


def test_the_budget_gives_small_reads_where_it_is_used_up() -> None:
    budget = Budget(MIB)
    assert budget.read_most() == READ_MOST and budget.may_keep
    budget.take(MIB)
    assert budget.read_most() == READ_LEAST and not budget.may_keep and budget.peak == MIB


def test_an_upload_is_read_again_only_while_its_bytes_are_kept() -> None:
    budget, resumed = Budget(1000), list[int]()
    upload = Upload(budget, None, lambda: resumed.append(1))
    upload.push(b"a" * 400)
    first, second = UploadReader(upload), UploadReader(upload)
    assert upload.join(first)
    first.more()
    upload.leave(first)
    assert upload.join(second)  # the first bytes are still kept
    second.more()
    upload.push(b"b" * 400)  # over half of the budget, so the bytes that were read are released
    assert bytes(second.received) == b"a" * 400 + b"b" * 400 and not upload.join(first) and budget.held == 0
    upload.finish()
    assert upload.ended(second) and not upload.full
    upload.push(b"c" * (70 * 1024))
    assert not upload.full
    upload.leave(second)
    assert upload.full  # there is no reader
    upload.close()
    assert budget.held == 0


def parse_pieces(parser: http1.RequestParser, pieces: Iterator[bytes]) -> tuple[bool, bytes, bool]:
    """Return whether the first message is streamed, its data, and whether it is complete."""
    message, data, is_complete = None, b"", False
    for piece in pieces:
        parser.feed(piece)
        if message is None:
            message = parser.next_request()
            data += message.body if message else b""
        while not is_complete:
            chunk, is_complete = parser.next_data()
            data += chunk
            if not chunk:
                break
    assert message is not None
    return message.is_streamed, data, is_complete


@pytest.mark.parametrize("size", [1, 1000, 65536, 1 << 20])
@pytest.mark.parametrize("chunk", [0, 10, 100_000])
def test_long_bodies_are_read_the_same_however_cut(size: int, chunk: int) -> None:
    body = LONG[:200_000]
    framed = b"Transfer-Encoding: chunked" if chunk else b"Content-Length: %d" % len(body)
    coded = (
        body
        if not chunk
        else b"".join(
            http1.write_chunk(body[offset : offset + chunk]) for offset in range(0, len(body), chunk)
        )
        + b"0\r\nT: x\r\n\r\n"
    )
    data = (
        b"POST /a HTTP/1.1\r\nHost: a\r\n"
        + framed
        + b"\r\n\r\n"
        + coded
        + b"GET /b HTTP/1.1\r\nHost: a\r\n\r\n"
    )
    parser = http1.RequestParser(MIB, http1.MAX_BODY_BYTES)
    pieces = (data[offset : offset + size] for offset in range(0, len(data), size))
    assert parse_pieces(parser, pieces) == (True, body, True)
    following = parser.next_request()
    assert following is not None and following.target == "/b" and not following.is_streamed


def read_streamed(parser: http1.RequestParser) -> None:
    assert parser.next_request() is not None
    for _ in range(9):
        parser.next_data()


def test_a_long_body_that_grows_too_large_or_is_malformed_is_rejected() -> None:
    for bad in (b"fffff\r\n" + bytes(70_000), b"10000\r\n" + bytes(65_536) + b"\r\n9\r\n123456789xx"):
        parser = http1.RequestParser(100_000, 1000)
        parser.feed(b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + bad)
        with pytest.raises(http1.RemoteProtocolError):
            read_streamed(parser)
        assert parser.next_data() == (b"", False) and parser.next_request() is None


def test_an_answer_without_a_length_is_long_from_eight_kib_on() -> None:
    head = b"HTTP/1.1 200 OK\r\n"
    for size, is_long in (
        (http1.MAX_BUFFERED_UNSIZED_BYTES, False),
        (http1.MAX_BUFFERED_UNSIZED_BYTES + 1, True),
    ):
        body = LONG[:size]
        chunked = head + b"Transfer-Encoding: chunked\r\n\r\n" + http1.write_chunk(body) + http1.LAST_CHUNK
        for data, has_length in (
            (chunked, False),
            (head + b"Content-Length: %d\r\n\r\n" % size + body, True),
        ):
            parser = http1.ResponseParser(MIB, http1.MAX_BODY_BYTES)
            parser.feed(data)
            response = parser.next_response()
            assert response is not None and response.is_streamed == (is_long and not has_length)
            assert (response.body or parser.next_data()[0]) == body


# Tests on the simulated network.


def test_a_slow_answer_in_chunks_is_not_cut_off_at_its_aim(tmp_path: Path) -> None:
    node = Server(lambda seen: None)

    async def slowly(seen: Seen) -> bytes:
        node.open[-1].send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(15):
            node.open[-1].send(http1.write_chunk(LONG[:4000]))
            await asyncio.sleep(0.1)
        return http1.LAST_CHUNK

    node.handler = slowly
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        start, parser, response = now(), http1.ResponseParser(MIB), None
        conn.sendall(request("GET /balance"))  # the class has an aim of 1 s
        data = conn.recv(65536)
        assert now() - start < 0.5
        while response is None:
            parser.feed(data)
            response = parser.next_response()
            data = b"" if response else conn.recv(65536)
        assert response.body == LONG[:4000] * 15
        assert sidecar.figures()["outcome_ok"] == 1


def read_some(conn: Conn, size: int) -> bytes:
    received = b""
    while len(received) < size:
        data = conn.recv(65536)
        assert data, "the connection has ended"
        received += data
    return received


def test_a_long_answer_is_passed_on_from_its_first_bytes_and_not_cut_at_a_deadline(tmp_path: Path) -> None:
    node = Server(lambda seen: None)

    async def slowly(seen: Seen) -> bytes:
        conn = node.open[-1]
        response = reply(200, LONG)
        for offset in range(0, 8):
            conn.send(response[offset * 100_000 : (offset + 1) * 100_000])
            await asyncio.sleep(0.7)
        return response[800_000:]

    node.handler = slowly
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        start = now()
        conn.sendall(request("POST /redeem", X_Deadline="1000m"))
        first = read_some(conn, 1000)
        assert now() - start < 0.1
        buffer = bytearray(first)
        status, _, body = receive(conn, buffer)
        assert (status, body == LONG) == (200, True) and now() - start > 5
        assert sidecar.figures()["downstream_requests.redeem.completed"] == 1
        conn.sendall(request("POST /redeem"))  # the connection can be reused
        assert read_some(conn, 10)


def test_a_broken_long_answer_is_reported_to_the_client(tmp_path: Path) -> None:
    def breaks(seen: Seen) -> bytes:
        return reply(200, LONG, Connection="close")[:-1]

    with world(tmp_path, Server(breaks).address) as sidecar, sidecar.connect() as conn:
        conn.sendall(request("GET /balance"))
        with pytest.raises((AssertionError, OSError)):
            receive(conn)
        figures = sidecar.figures()
        assert figures["downstream_requests.balance.failed"] == 1 and figures["pending"] == 0
        assert figures["route_steps"] == 1  # an answer that has begun is not retried


def test_an_answer_without_a_length_is_passed_on_in_chunks_or_until_the_end(tmp_path: Path) -> None:
    def until_end(seen: Seen) -> bytes:
        return b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LONG

    with world(tmp_path, Server(until_end).address) as sidecar:
        for is_http10 in (False, True):
            with sidecar.connect() as conn:
                message = request("GET /balance")
                conn.sendall(message.replace(b"HTTP/1.1", b"HTTP/1.0") if is_http10 else message)
                parser, response, received = http1.ResponseParser(2 * MIB), None, b""
                while response is None:
                    data = conn.recv(65536)
                    received += data
                    parser.feed(data)
                    response = parser.next_response() if data else parser.receive_eof()
                assert response.body == LONG and (b"chunked" in received[:200]) != is_http10


def test_a_reader_that_pauses_holds_up_its_node_and_nothing_else(tmp_path: Path) -> None:
    node = Server(lambda seen: reply(200, LONG * 8))
    with world(tmp_path, node.address) as sidecar:
        conns = [sidecar.connect() for _ in range(12)]
        for conn in conns:
            conn.sendall(request("GET /balance", X_Deadline="1000m"))
        sleep(8)
        figures = sidecar.figures()
        assert 0 < figures["long_bytes"] <= figures["long_bytes_peak"] < 12 * 2 * READ_MOST
        for conn in conns:
            assert receive(conn)[2] == LONG * 8
            conn.close()
        assert sidecar.figures()["long_bytes"] == 0


def upload(conn: Conn, body: bytes, pieces: int = 10, pause: float = 0.0, **headers: str) -> None:
    message = request("POST /redeem", body, **headers)
    size = len(message) // pieces + 1
    for offset in range(0, len(message), size):
        conn.sendall(message[offset : offset + size])
        sleep(pause)


def test_a_long_request_is_sent_while_it_comes_and_its_time_counts_from_its_last_byte(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        upload(conn, LONG[:400_000], pause=0.7, X_Deadline="500m")  # 64 kB a second
        assert node.connections == 1
        status, _, body = receive(conn)
        assert status == 200 and body.endswith(LONG[:400_000]) and node.seen[0].body == LONG[:400_000]
        figures = sidecar.figures()
        assert figures["upstream_requests"] == 1 and figures["pending"] == figures["long_bytes"] == 0


def test_a_long_request_goes_elsewhere_while_its_bytes_are_kept_redeem_never_twice(tmp_path: Path) -> None:
    dead, good = Server(served), Server(served)
    with world(tmp_path, dead.address, good.address) as sidecar, sidecar.connect() as conn:
        dead.close()
        for _ in range(4):
            upload(conn, LONG)
            assert receive(conn)[0] == 200
        assert len(good.seen) == 4 and sidecar.figures()["connects_failed"] >= 1
    breaks, other = Server(lambda seen: None), Server(served)
    with world(tmp_path, breaks.address, other.address) as sidecar:
        for _ in range(6):
            with sidecar.connect() as conn:
                upload(conn, LONG)
                receive(conn)
        assert len(breaks.seen) >= 1 and len(breaks.seen) + len(other.seen) == 6


def test_a_stalled_long_request_is_rejected_and_runs_nowhere(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        start = now()
        conn.settimeout(60)
        conn.sendall(request("POST /redeem", LONG)[:-1000])
        assert receive(conn)[0] == 408 and now() - start < 3
        assert node.seen == [] and sidecar.figures()["pending"] == 0
    with world(tmp_path, Server(served).address) as sidecar, sidecar.connect() as conn:
        start = now()
        conn.sendall(request("POST /redeem", LONG)[:300])
        assert receive(conn)[0] == 408 and now() - start < 3


def leftovers(sidecar: World) -> Iterator[Any]:
    figures = sidecar.figures()
    yield from (figures["pending"], figures["long_bytes"], figures["tables"]["open"])


def test_a_client_that_leaves_in_the_middle_leaves_nothing_behind(tmp_path: Path) -> None:
    node = Server(lambda seen: reply(200, LONG * 8))
    with world(tmp_path, node.address) as sidecar:
        with sidecar.connect() as conn:
            conn.sendall(request("POST /redeem", LONG)[:200_000])
            sleep(0.2)
        with sidecar.connect() as conn:
            conn.sendall(request("GET /balance"))
            read_some(conn, 1000)
        wait_for(lambda: list(leftovers(sidecar)) == [0, 0, 0])
        wait_for(lambda: node.ended == node.connections)


# All forms of HTTP/1.1.


@pytest.mark.parametrize(
    ("target", "read"),
    [
        (b"/a?b", "/a?b"),
        (b"http://h/a/b?c=d", "/a/b?c=d"),
        (b"HTTP://h:80", "/"),
        (b"https://h?x", "/?x"),
        (b"http://h/%C3%B1", "/%C3%B1"),
    ],
)
def test_targets_in_absolute_form_are_read_as_their_path(target: bytes, read: str) -> None:
    parser = http1.RequestParser()
    parser.feed(b"GET " + target + b" HTTP/1.1\r\nHost: a\r\n\r\n")
    parsed = parser.next_request()
    assert parsed is not None and parsed.target == read


@pytest.mark.parametrize("target", [b"http://", b"ftp://h/a", b"http://u@h/a", b"http://h/a#b", b"*"])
def test_other_targets_are_refused(target: bytes) -> None:
    parser = http1.RequestParser()
    parser.feed(b"GET " + target + b" HTTP/1.1\r\nHost: a\r\n\r\n")
    with pytest.raises(http1.RemoteProtocolError):
        parser.next_request()


def test_all_forms_on_one_connection(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        head = b"Host: h\r\nX-Request-Id: %d\r\nX-Deadline: 900m\r\ncOnNeCtIoN: keep-alive, x\r\n"
        chunks = b"3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nX-T: y\r\n\r\n"
        sent = (
            b"HEAD /_health HTTP/1.1\r\nHost: h\r\n\r\n"
            b"GET http://h/balance?x=1 HTTP/1.1\r\n" + head % 1 + b"\r\n"
            b"POST /redeem HTTP/1.1\r\n"
            + head % 2
            + b"transfer-ENCODING: Chunked\r\n\r\n"
            + chunks
            + b"GET /balance HTTP/1.0\r\n"
            + head % 3
            + b"\r\n"
        )
        for offset in range(len(sent)):
            conn.send(sent[offset : offset + 1])
        buffer = bytearray()
        first_bytes = read_some(conn, 10)
        buffer += first_bytes
        while b"\r\n\r\n" not in buffer:
            buffer += conn.recv(65536)
        assert buffer.startswith(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        del buffer[: buffer.index(b"\r\n\r\n") + 4]
        responses = [receive(conn, buffer) for _ in range(3)]
        assert [answer[0] for answer in responses] == [200, 200, 200] and responses[2][1][
            "connection"
        ] == "keep-alive"
        assert [seen.target for seen in node.seen] == ["/balance?x=1", "/redeem", "/balance"]
        assert node.seen[1].body == b"abcde" and "connection" not in node.seen[1].headers


def test_expect_100_continue_is_answered_before_a_long_body(tmp_path: Path) -> None:
    with world(tmp_path, Server(served).address) as sidecar, sidecar.connect() as conn:
        message = request("POST /redeem", LONG, Expect="100-continue")
        conn.sendall(message[: -len(LONG)])
        assert read_some(conn, 25) == b"HTTP/1.1 100 Continue\r\n\r\n"
        conn.sendall(LONG)
        assert receive(conn)[2].endswith(LONG)


def test_a_client_rejected_while_it_sends_gets_the_response(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        node.close()
        for node_conn in node.open:
            node_conn.close()
        message = request("POST /redeem", LONG)
        # The request is rejected long before all of it is sent; the client reads only at the end.
        for offset in range(0, len(message), 100_000):
            conn.sendall(message[offset : offset + 100_000])
            sleep(0.3)
        status, headers, _ = receive(conn)
        assert status == 503 and headers["connection"] == "close" and conn.recv(1) == b""
