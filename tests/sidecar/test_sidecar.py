"""The real program in simulated time, with simulated clients, ledger nodes and discovery."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from pathlib import Path

import pytest
from simulated import Discovery, Server, free_port, now, program, reset, sleep, wait_for, world
from world import SILENT, Seen, configuration, receive, reply, request, served

from coveport.sidecar.upstream.connection_pool import REUSE_DELAY_S

HOST = b"Host: a\r\nX-Request-Id: 1\r\nX-Deadline: 900m\r\n"


@pytest.mark.parametrize(
    ("data", "status", "closed"),
    [
        (b"garbage\r\n\r\n", 400, True),
        (b"GET /balance HTTP/1.1\r\nX-Request-Id: 1\r\nX-Deadline: 900m\r\n\r\n", 400, True),
        (b"GET /balance HTTP/1.1\r\nHost: a\r\nX-Deadline: 900m\r\n\r\n", 400, True),
        (b"GET /balance HTTP/1.1\r\nHost: a\r\nX-Request-Id: a b\r\nX-Deadline: 900m\r\n\r\n", 400, True),
        (b"GET /balance HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\nX-Deadline: 900s\r\n\r\n", 400, True),
        (b"GET /balance HTTP/1.1\r\nHost: a\r\nX-Request-Id: 1\r\nX-Deadline: 0m\r\n\r\n", 400, True),
        (b"GET /balance HTTP/1.1\r\n" + HOST + b"X-Deadline: 800m\r\n\r\n", 400, True),
        (
            b"POST /redeem HTTP/1.1\r\n" + HOST + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
            400,
            True,
        ),
        (b"POST /redeem HTTP/1.1\r\n" + HOST + b"Content-Length: +2\r\n\r\nab", 400, True),
        (
            b"POST /redeem HTTP/1.1\r\n"
            + HOST
            + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
            True,
        ),
        (b"POST /earn HTTP/1.1\r\n" + HOST + b"Content-Length: 0\r\n\r\n", 400, True),
        (b"POST /redeem HTTP/1.1\r\n" + HOST + b"Content-Length: 41943041\r\n\r\n", 413, True),
        (b"GET /balance HTTP/1.1\r\n" + HOST + b"X: " + b"x" * 20_000, 431, True),
        (b"GET /nothing HTTP/1.1\r\n" + HOST + b"\r\n", 404, False),
        (b"POST /balance HTTP/1.1\r\n" + HOST + b"Content-Length: 0\r\n\r\n", 405, False),
        (b"GET /redeem HTTP/1.1\r\n" + HOST + b"\r\n", 405, False),
        (b"GET /balance HTTP/1.1\r\n" + HOST + b"\r\n", 200, False),
        (b"GET /balance HTTP/1.1\r\n" + HOST.replace(b"900m", b"900000.5u") + b"\r\n", 200, False),
        (
            b"POST /redeem HTTP/1.1\r\n" + HOST + b"Transfer-Encoding: chunked\r\n\r\n2;x\r\nab\r\n0\r\n\r\n",
            200,
            False,
        ),
    ],
)
def test_bad_input_is_rejected_and_good_input_served(
    tmp_path: Path, data: bytes, status: int, closed: bool
) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar:
        assert sidecar.raw(data, closed) == (status, closed)
    assert len(node.seen) == (status == 200)


@pytest.mark.parametrize(
    ("answer", "balance", "redeem"),
    [
        (reply(500), True, False),  # may have run
        (reply(503), True, False),  # may have run, as it is not marked otherwise
        (reply(504), True, False),
        (reply(503, X_Not_Run="1"), True, True),  # never ran
        (None, True, False),  # reset after the last byte
        (b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", True, False),  # garbled
        (b"\x16\x03 noise that ends nowhere", True, False),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc", True, False),
        # incomplete
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhalf", True, False),
    ],
)
def test_an_attempt_that_may_have_run_is_retried_only_as_its_class_allows(
    tmp_path: Path, answer: bytes | None, balance: bool, redeem: bool
) -> None:
    def first_fails(seen: Seen) -> bytes | None:
        count = sum(earlier.headers["x-request-id"] == seen.headers["x-request-id"] for earlier in all_seen())
        return answer if count == 1 else served(seen)

    nodes = [Server(first_fails), Server(first_fails)]

    def all_seen() -> list[Seen]:
        return [seen for node in nodes for seen in node.seen]

    with world(tmp_path, *(node.address for node in nodes)) as sidecar:
        status, _, _ = sidecar.ask("GET /balance")
        assert (status == 200) is balance and len(all_seen()) == 2
        for node in nodes:
            node.seen.clear()
        sleep(1.0)  # until the nodes are tried again
        status, _, _ = sidecar.ask("POST /redeem")
        assert (status == 200) is redeem and len(all_seen()) == 1 + redeem


def test_a_refused_connection_costs_nothing(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, f"127.0.0.1:{free_port()}", node.address) as sidecar:
        assert [sidecar.ask("POST /redeem")[0] for _ in range(4)] == [200] * 4
    assert len(node.seen) == 4


def test_a_busy_reply_has_a_retry_after(tmp_path: Path) -> None:
    node = Server(lambda seen: reply(503, X_Not_Run="1"))
    with world(tmp_path, node.address) as sidecar:
        status, headers, _ = sidecar.ask("POST /redeem", X_Deadline="600m")
        # 2 s is the largest value that a client honours.
        assert (status, float(headers["retry-after"])) == (503, 2.0)
        node.handler = lambda seen: reply(500)
        status, headers, _ = sidecar.ask("POST /redeem", X_Deadline="2000m")
        assert status == 500 and "retry-after" not in headers


def test_a_connection_is_reused_until_its_end(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar:
        for _ in range(3):
            assert sidecar.ask("POST /redeem")[0] == 200
            sleep(REUSE_DELAY_S)  # a connection isn't reused right after its answer
        assert node.connections == 1
        node.open[0].shutdown(socket.SHUT_WR)
        wait_for(lambda: node.ended == 1, 1)
        assert sidecar.ask("POST /redeem")[0] == 200
        node.open[1].sendall(b"HTTP/1.1 200 OK\r\n")  # stray bytes
        wait_for(lambda: node.ended == 2, 1)
        assert sidecar.ask("POST /redeem")[0] == 200 and node.connections == 3
        wait_for(lambda: node.ended == 3, 4.5)  # closed as idle, well before the 5 s of the settings


def test_a_good_answer_is_forwarded_without_stray_bytes(tmp_path: Path) -> None:
    def odd(seen: Seen) -> bytes:
        good = served(seen).replace(b"\r\n", b"\r\nX-Load: \xff=1e999,,busy=?\r\n", 1)
        return b"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + good + extra

    node = Server(odd)
    with world(tmp_path, node.address, told={"telemetry": {"how": "inline", "fields": ["busy"]}}) as sidecar:
        for extra in (b"", b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold", b"\x00\xff noise"):
            before = node.ended
            assert sidecar.ask("POST /redeem", b"-a", X_Request_Id="7")[::2] == (200, b"served 7-a")
            if extra:
                wait_for(lambda: node.ended > before, 1)  # noqa: B023


def test_a_new_destination_at_an_old_address_gets_a_connection_of_its_own(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar:
        assert sidecar.ask("POST /redeem")[0] == 200
        sleep(REUSE_DELAY_S)
        assert sidecar.ask("POST /redeem")[0] == 200 and node.connections == 1
        del sidecar.discovery.hosts["s-0"]
        sidecar.discovery.put("s-1", node.address)
        wait_for(lambda: node.ended == 1, 1)  # the idle connection is closed with its destination
        assert sidecar.ask("POST /redeem")[0] == 200 and node.connections == 2


def test_a_silent_node_is_answered_for_in_time_and_its_connection_closed(tmp_path: Path) -> None:
    node = Server(lambda seen: SILENT)
    with world(tmp_path, node.address) as sidecar:
        start = now()
        status, _, _ = sidecar.ask("POST /redeem", X_Deadline="400m")
        assert status == 500 and 0.3 < now() - start < 5
        wait_for(lambda: node.ended == 1, 1)
        assert sidecar.figures()["outcome_timeout"] == 1


def test_a_disconnected_client_cancels_its_attempt(tmp_path: Path) -> None:
    node = Server(lambda seen: SILENT)
    with world(tmp_path, node.address) as sidecar:
        conn = sidecar.connect()
        conn.sendall(request("POST /redeem", X_Deadline="5000m"))
        wait_for(lambda: len(node.seen) == 1)
        reset(conn)
        wait_for(lambda: node.ended == 1, 1)
        figures = sidecar.figures()
        assert (figures["owed"], figures["outcome_cancelled"]) == (0, 1)


def test_operations_follow_each_other_on_a_connection(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        buffer = bytearray()
        conn.sendall(b"".join(request("GET /balance", X_Request_Id=str(n)) for n in range(20)))
        assert [receive(conn, buffer)[2] for _ in range(20)] == [b"served %d" % n for n in range(20)]
        data = request("POST /redeem", b"body")
        for offset in range(len(data)):  # a byte at a time
            conn.sendall(data[offset : offset + 1])
        assert receive(conn, buffer)[2].endswith(b"body")
        conn.sendall(request("POST /redeem", b"", Content_Length="4", Expect="100-continue"))
        assert receive(conn, buffer)[0] == 100
        conn.sendall(b"last")
        assert receive(conn, buffer)[2].endswith(b"last")


def test_a_half_sent_request_times_out(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar:
        assert sidecar.raw(request("POST /redeem", b"body")[:-1], closes=True) == (408, True)


def test_a_draining_destination_gets_no_new_requests(tmp_path: Path) -> None:
    nodes = [Server(served), Server(served)]
    with world(tmp_path, *(node.address for node in nodes)) as sidecar:
        calls = len(sidecar.discovery.server.seen)
        sidecar.discovery.put("s-0", nodes[0].address, "leaving")
        wait_for(lambda: len(sidecar.discovery.server.seen) > calls)
        before = len(nodes[0].seen)
        assert {sidecar.ask("GET /balance")[0] for _ in range(20)} == {200}
        assert len(nodes[0].seen) == before


def test_a_garbled_list_keeps_the_last_good_one(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar:
        for garbled in (b'{"seq":9,"whole":true,"hosts":[{}]}', b"[", b'{"seq":9}', b"null"):
            sidecar.discovery.answer = reply(200, garbled)
            sidecar.discovery.put("s-9", "127.0.0.1:1")
            calls = len(sidecar.discovery.server.seen)
            wait_for(lambda: len(sidecar.discovery.server.seen) > calls + 1)  # noqa: B023
            assert "after" not in sidecar.discovery.server.seen[-1].target  # the full list is requested
            assert sidecar.ask("GET /balance")[0] == 200
        sidecar.discovery.answer = None
        del sidecar.discovery.hosts["s-9"]
        sidecar.discovery.put("s-0", node.address)
        wait_for(lambda: sidecar.figures().get("pool_updates", 0) >= 1)
        assert "garbled" in sidecar.log.read_text() and sidecar.ask("GET /balance")[0] == 200


def test_a_silent_discovery_is_dialled_again(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address, answer=SILENT) as sidecar:  # the known list is used
        assert sidecar.ask("GET /balance")[0] == 200
        wait_for(lambda: sidecar.discovery.server.connections > 1)
        replacement = Server(served)
        sidecar.discovery.put("s-0", replacement.address)
        sidecar.discovery.answer = None
        wait_for(lambda: sidecar.ask("GET /balance")[0] == 200 and len(replacement.seen) > 0)


def test_ready_only_with_a_list(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address, known=False, ready=False, answer=SILENT) as sidecar:
        sleep(0.8)
        assert sidecar.ask("GET /_health")[0] == 503
        sidecar.discovery.answer = None
        wait_for(lambda: sidecar.ask("GET /_health")[0] == 200)


def test_a_list_in_subscribe_mode(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address, told={"registry_mode": "subscribe"}, answer=reply(500)) as sidecar:
        wait_for(lambda: sidecar.ask("GET /balance")[0] == 200 and len(sidecar.discovery.server.seen) > 1)
        assert len(sidecar.discovery.server.seen) < 10  # a failed request is repeated with a backoff
        sidecar.discovery.answer = None
        replacement = Server(served)
        sidecar.discovery.put("s-0", replacement.address)
        wait_for(lambda: sidecar.ask("GET /balance")[0] == 200 and len(replacement.seen) > 0)


def test_an_address_that_stays_bound_ends_the_process(tmp_path: Path) -> None:
    discovery, path, start = Discovery(), tmp_path / "config.json", now()
    discovery.put("s-0", discovery.server.address)  # it has a list, so it would be ready otherwise
    path.write_text(configuration(discovery, "127.0.0.1:1", listen=discovery.server.address))
    with program(path) as (process, log):
        assert process.wait(10) == 1 and now() - start > 5
        assert "cannot listen on" in log.read_text()


def test_a_shutdown_loses_nothing(tmp_path: Path) -> None:
    async def slow(seen: Seen) -> bytes:
        await asyncio.sleep(1.2)
        return served(seen)

    node = Server(slow)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as busy, sidecar.connect() as idle:
        busy.sendall(request("POST /redeem", X_Deadline="5000m"))
        wait_for(lambda: len(node.seen) == 1)
        sidecar.process.send_signal(signal.SIGTERM)
        sleep(0.2)
        with sidecar.connect() as late:  # new connections are still accepted
            late.sendall(request("POST /redeem", X_Deadline="5000m"))
            assert idle.recv(1) == b""  # idle connections are closed after a delay
            assert receive(busy)[0] == receive(late)[0] == 200
        assert sidecar.process.wait(5) == 0
        figures = json.loads(sidecar.log.read_text().split("counters ")[-1].splitlines()[0])
        assert (figures["answers_served"], figures["owed"], figures["phase"]) == (2, 0, "stopped")


def test_connections_not_yet_accepted_are_served_at_shutdown(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar:
        sidecar.process.send_signal(signal.SIGTERM)
        sleep(0.3)
        with sidecar.stopped():  # until no new connection would be accepted
            late = [sidecar.connect() for _ in range(30)]
            for conn in late:
                conn.sendall(request("GET /balance", X_Deadline="4000m"))
        assert [receive(conn)[0] for conn in late] == [200] * 30
        assert sidecar.process.wait(5) == 0


def test_pipelined_operations_are_answered_at_shutdown(tmp_path: Path) -> None:
    async def slow(seen: Seen) -> bytes:
        await asyncio.sleep(0.5)
        return served(seen)

    node = Server(slow)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        buffer = bytearray()
        sidecar.process.send_signal(signal.SIGTERM)
        conn.sendall(b"".join(request("POST /redeem", X_Deadline="5000m") for _ in range(4)))
        assert [receive(conn, buffer)[0] for _ in range(4)] == [200] * 4
        assert conn.recv(1) == b"" and sidecar.process.wait(5) == 0


def test_a_health_check_readmits_a_destination(tmp_path: Path) -> None:
    def handler(seen: Seen) -> bytes | None:
        return reply(200) if seen.target == "/ping" else served(seen) if healthy else None

    healthy = False
    node = Server(handler)
    with world(tmp_path, node.address, Server(served).address, probes=True) as sidecar:
        wait_for(lambda: sidecar.ask("GET /balance")[0] == 200 and len(node.seen) > 1)  # two in a row
        healthy = True
        node.seen.clear()
        wait_for(
            lambda: (
                sidecar.ask("GET /balance")[0] == 200 and any(seen.target != "/ping" for seen in node.seen)
            ),
            20,
        )
        assert node.seen[0].target == "/ping" and "x-request-id" not in node.seen[0].headers
