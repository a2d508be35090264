"""A change in discovery is known within 6 s, whichever connects and calls hang or fail before."""

from __future__ import annotations

import json
import socket
import time
from pathlib import Path

import pytest
from scripted import Clogged, Got, Peer, ask, figures, halted, listening
from world import CLASSES, Discovery, World, configuration, program, receive, reply, request, served, wait_for
from world import Server as Node

from coveport.sidecar.discovery import discovery_client

UPDATE_BOUND_S = 6.0


def list_reply(discovery: Discovery) -> bytes:
    return reply(200, json.dumps(discovery.text(), indent=2).encode())  # lists may come indented


def test_a_watch_right_after_a_failure_takes_no_longer_than_a_call() -> None:
    assert (
        discovery_client.WATCH_AFTER_FAILURE_MS / 1000 + discovery_client.WATCH_GRACE_S
        <= discovery_client.CALL_TIMEOUT_S
    )


def worst_case_s(watch_s: float, dial_s: float, call_s: float, backoff_s: float) -> float:
    """Return the total time of a watch, a connect and a call that all time out, with the longest backoffs."""
    return watch_s + dial_s + call_s + 3 * backoff_s


def test_the_sum_of_the_time_outs_is_below_the_bound() -> None:
    backoff_s = discovery_client.BACKOFFS_S[-1] * (1 + discovery_client.BACKOFF_JITTER)
    assert max(discovery_client.BACKOFFS_S) == discovery_client.BACKOFFS_S[-1]
    assert (
        worst_case_s(
            discovery_client.WATCH_MS / 1000 + discovery_client.WATCH_GRACE_S,
            discovery_client.CONNECT_TIMEOUT_S,
            discovery_client.CALL_TIMEOUT_S,
            backoff_s,
        )
        < UPDATE_BOUND_S
    )
    assert worst_case_s(3.7, 3.0, 3.0, backoff_s) > UPDATE_BOUND_S, "former time-outs"
    # After SIGHUP the bound is 4 s: the connect to the new discovery hangs, then the call to it.
    assert (
        discovery_client.CONNECT_TIMEOUT_S
        + discovery_client.CALL_TIMEOUT_S
        + sum(discovery_client.BACKOFFS_S[:2]) * (1 + discovery_client.BACKOFF_JITTER)
        < 4.0
    )


@pytest.fixture
def endpoints() -> Discovery:
    """Return a list with one active node."""
    endpoints = Discovery()
    endpoints.put("s-0", "127.0.0.1:1")
    return endpoints


def test_a_connect_that_hangs_and_then_a_call_that_hangs(tmp_path: Path, endpoints: Discovery) -> None:
    discovery, node = Clogged(), Node(served)
    config = tmp_path / "config.json"
    # The known list has only a node that is gone.
    config.write_text(configuration(endpoints, discovery.address))
    with program(config) as (_, log):
        wait_for(discovery.knocking)
        began = time.monotonic()
        endpoints.hosts.clear()
        endpoints.put("s-1", node.address)
        discovery.open()
        first = discovery.called(UPDATE_BOUND_S)  # the call arrives, and is never answered
        second = discovery.called(UPDATE_BOUND_S)
        second.sendall(list_reply(endpoints))
        assert time.monotonic() - began < UPDATE_BOUND_S, "the sidecar would miss the next drain"
        wait_for(lambda: "serving" in log.read_text())
        first.close()
    discovery.close()


def test_connects_that_hang_leave_nothing_behind(tmp_path: Path, endpoints: Discovery) -> None:
    # Guards against connects that timed out and hold a descriptor for two more minutes each.
    discovery, config = Clogged(), tmp_path / "config.json"
    config.write_text(configuration(endpoints, discovery.address))
    with program(config) as (_, log):
        wait_for(lambda: "serving" in log.read_text())
        ports, end = set[str](), time.monotonic() + 60
        while len(ports) < 3:
            assert time.monotonic() < end and len(discovery.knocking()) <= 1
            ports |= discovery.knocking()
            time.sleep(0.02)
    discovery.close()


class ScriptedDiscovery:
    """A discovery whose calls are answered by the test."""

    def __init__(self) -> None:
        self.peer = Peer()
        self.list = Discovery()

    def watch(self) -> Got:
        """Answer calls until a watch arrives; return the watch."""
        while (
            "wait_ms=0" in (received := self.peer.next()).seen.target or "after" not in received.seen.target
        ):
            received.send(list_reply(self.list))
        return received


@pytest.mark.parametrize("how", ["silent", "reset", "cut", "garbage", "old", "empty"])
def test_a_broken_watch_is_opened_again(tmp_path: Path, how: str) -> None:
    nodes, discovery = [Node(served), Node(served)], ScriptedDiscovery()
    discovery.list.put("s-0", nodes[0].address)
    config = tmp_path / "config.json"
    config.write_text(configuration(discovery.list, discovery.peer.address))
    with program(config) as (_, log):
        watch = discovery.watch()
        old = list_reply(discovery.list)
        began = time.monotonic()
        discovery.list.put("s-0", nodes[0].address, "leaving")
        discovery.list.put("s-1", nodes[1].address)
        if how == "reset":
            watch.reset()
        elif how == "cut":
            watch.conn.sendall(list_reply(discovery.list)[:-20])
            watch.cut()
        elif how != "silent":
            watch.send(
                {
                    "garbage": b"\x00\xff noise\r\n\r\n",
                    "empty": reply(200, b""),
                    "old": old.replace(b'"seq": 2', b'"seq": 1'),
                }[how]
            )
        discovery.peer.next().send(list_reply(discovery.list))
        elapsed_s = time.monotonic() - began
        assert elapsed_s < UPDATE_BOUND_S, elapsed_s
        discovery.peer.next()  # the next watch: the list before it has been applied
        address = listening(log)
        for _ in range(5):
            with socket.create_connection(address, timeout=10) as conn:
                conn.sendall(request("GET /balance"))
                assert conn.recv(65536).startswith(b"HTTP/1.1 200")
    assert not nodes[0].seen and len(nodes[1].seen) == 5


# The list is requested on demand, with a long limit between requests: the balancer's own retry delays would
# be ten seconds and more.
ON_DEMAND = {"registry_mode": "subscribe", "invariants": {"ask_within_ms": 80_000}}


def test_on_demand_rejected_calls_are_retried_in_time(tmp_path: Path) -> None:
    discovery = ScriptedDiscovery()
    discovery.list.put("s-0", "127.0.0.1:1")
    config = tmp_path / "config.json"
    config.write_text(configuration(discovery.list, discovery.peer.address, told=ON_DEMAND))
    with program(config):
        for _ in range(3):
            discovery.peer.next().send(reply(503))
            refused = time.monotonic()
            discovery.peer.next().send(list_reply(discovery.list))
            assert time.monotonic() - refused < UPDATE_BOUND_S
            discovery.watch().reset()


@pytest.mark.parametrize("how", ["silent", "reset"])
def test_on_demand_a_broken_watch_is_opened_again_at_once(tmp_path: Path, how: str) -> None:
    # The balancer's delay after it, and that after a rejected call, would together exceed the bound.
    discovery = ScriptedDiscovery()
    discovery.list.put("s-0", "127.0.0.1:1")
    config = tmp_path / "config.json"
    config.write_text(configuration(discovery.list, discovery.peer.address, told=ON_DEMAND))
    with program(config):
        watch = discovery.watch()
        broken = time.monotonic() + (
            discovery_client.WATCH_MS / 1000 + discovery_client.WATCH_GRACE_S if how == "silent" else 0.0
        )
        if how == "reset":
            watch.reset()
        discovery.peer.next().send(reply(503))
        discovery.peer.next().send(list_reply(discovery.list))
        assert time.monotonic() - broken < 4.0 + 1.0  # one of the balancer's delays, not two


# Long time-outs, so that a stall of the process alone ends no attempt.
LONG_TIMEOUTS = {"classes": [cls | {"aim_ms": 20_000, "deadline_ms": 30_000} for cls in CLASSES]}


@pytest.mark.parametrize("is_connected", [True, False])
def test_a_pending_list_is_read_before_a_pending_request(tmp_path: Path, is_connected: bool) -> None:
    # After a stall of the process a request and a list are pending. Guards against handling the request
    # first, and sending it to a node that began to drain long before. `is_connected`: the client connected
    # before the stall; otherwise no client did.
    nodes, discovery = [Node(served), Node(served)], ScriptedDiscovery()
    discovery.list.put("s-0", nodes[0].address)
    config = tmp_path / "config.json"
    config.write_text(configuration(discovery.list, discovery.peer.address, told=LONG_TIMEOUTS))
    with program(config) as (process, log):
        sidecar = World(process, discovery.list, listening(log), log)
        watch = discovery.watch()
        conn = ask(sidecar, "GET /balance", X_Deadline="30000m")
        assert receive(conn)[0] == 200
        if not is_connected:
            conn.close()
            wait_for(lambda: figures(sidecar)["clients"] == 0)
        with halted(sidecar):
            if not is_connected:
                conn = sidecar.connect()
            conn.sendall(request("GET /balance", X_Deadline="30000m"))
            time.sleep(0.05)
            discovery.list.put("s-0", nodes[0].address, "leaving")
            discovery.list.put("s-1", nodes[1].address)
            watch.send(list_reply(discovery.list))
            time.sleep(0.8)  # the list has long arrived
        assert receive(conn)[0] == 200
    assert (len(nodes[0].seen), len(nodes[1].seen)) == (1, 1)
