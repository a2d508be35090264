"""What discovery has counts as told 6 s later, whatever calls failed: dials that hang, calls, both."""

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

TOLD_S = 6.0


def told(one: Discovery) -> bytes:
    return reply(200, json.dumps(one.text(), indent=2).encode())  # lists may come indented


def test_a_call_right_after_a_failure_takes_no_longer_than_one_that_need_not_wait() -> None:
    assert (
        discovery_client.WATCH_AFTER_FAILURE_MS / 1000 + discovery_client.WATCH_GRACE_S
        <= discovery_client.CALL_TIMEOUT_S
    )


def worst(watch_s: float, dial_s: float, call_s: float, pause_s: float) -> float:
    """A watch that falls silent, a connect that hangs, a call that hangs, the longest pause behind each."""
    return watch_s + dial_s + call_s + 3 * pause_s


def test_the_bounds_of_all_that_may_hang_add_up_to_less() -> None:
    pause = discovery_client.BACKOFFS_S[-1] * (1 + discovery_client.BACKOFF_JITTER)
    assert max(discovery_client.BACKOFFS_S) == discovery_client.BACKOFFS_S[-1]
    assert (
        worst(
            discovery_client.WATCH_MS / 1000 + discovery_client.WATCH_GRACE_S,
            discovery_client.CONNECT_TIMEOUT_S,
            discovery_client.CALL_TIMEOUT_S,
            pause,
        )
        < TOLD_S
    )
    assert worst(3.7, 3.0, 3.0, pause) > TOLD_S, "as they were"
    # After SIGHUP it is 4 s: the new one's dial hangs, then its call.
    assert (
        discovery_client.CONNECT_TIMEOUT_S
        + discovery_client.CALL_TIMEOUT_S
        + sum(discovery_client.BACKOFFS_S[:2]) * (1 + discovery_client.BACKOFF_JITTER)
        < 4.0
    )


@pytest.fixture
def list_() -> Discovery:
    """A list of one node that lives, as discovery would tell it."""
    one = Discovery()
    one.put("s-0", "127.0.0.1:1")
    return one


def test_a_connect_that_hangs_and_then_a_call_that_hangs(tmp_path: Path, list_: Discovery) -> None:
    discovery, node = Clogged(), Node(served)
    config = tmp_path / "config.json"
    config.write_text(configuration(list_, discovery.address))  # the list it had: a node that is gone
    with program(config) as (_, log):
        wait_for(discovery.knocking)
        began = time.monotonic()
        list_.hosts.clear()
        list_.put("s-1", node.address)
        discovery.open()
        hung = discovery.called(TOLD_S)  # its call comes, and is never answered
        again = discovery.called(TOLD_S)
        again.sendall(told(list_))
        assert time.monotonic() - began < TOLD_S, "the next drain would have been broken"
        wait_for(lambda: "serving" in log.read_text())
        hung.close()
    discovery.close()


def test_connects_that_hang_leave_nothing_behind(tmp_path: Path, list_: Discovery) -> None:
    # Each one that was given up held a descriptor for two minutes more: few are left for discovery and nodes.
    discovery, config = Clogged(), tmp_path / "config.json"
    config.write_text(configuration(list_, discovery.address))
    with program(config) as (_, log):
        wait_for(lambda: "serving" in log.read_text())
        tried, end = set[str](), time.monotonic() + 60
        while len(tried) < 3:
            assert time.monotonic() < end and len(discovery.knocking()) <= 1
            tried |= discovery.knocking()
            time.sleep(0.02)
    discovery.close()


class Watched:
    """A discovery of our own: each call is answered when the test says so."""

    def __init__(self) -> None:
        self.peer = Peer()
        self.list = Discovery()

    def watch(self) -> Got:
        """Answer until it waits for news."""
        while "wait_ms=0" in (got := self.peer.next()).seen.target or "after" not in got.seen.target:
            got.send(told(self.list))
        return got


@pytest.mark.parametrize("how", ["silent", "reset", "cut", "garbage", "old", "empty"])
def test_a_watch_that_tells_nothing_any_more_is_opened_anew(tmp_path: Path, how: str) -> None:
    nodes, here = [Node(served), Node(served)], Watched()
    here.list.put("s-0", nodes[0].address)
    config = tmp_path / "config.json"
    config.write_text(configuration(here.list, here.peer.address))
    with program(config) as (_, log):
        got = here.watch()
        old = told(here.list)
        began = time.monotonic()
        here.list.put("s-0", nodes[0].address, "leaving")
        here.list.put("s-1", nodes[1].address)
        if how == "reset":
            got.reset()
        elif how == "cut":
            got.conn.sendall(told(here.list)[:-20])
            got.cut()
        elif how != "silent":
            got.send(
                {
                    "garbage": b"\x00\xff noise\r\n\r\n",
                    "empty": reply(200, b""),
                    "old": old.replace(b'"seq": 2', b'"seq": 1'),
                }[how]
            )
        here.peer.next().send(told(here.list))
        took = time.monotonic() - began
        assert took < TOLD_S, took
        here.peer.next()  # the next watch: what was told before it is taken in
        address = listening(log)
        for _ in range(5):
            with socket.create_connection(address, timeout=10) as conn:
                conn.sendall(request("GET /balance"))
                assert conn.recv(65536).startswith(b"HTTP/1.1 200")
    assert not nodes[0].seen and len(nodes[1].seen) == 5


# Where the list comes to those who ask, at a site that lets one be silent for minutes: the module's own waits
# would be of ten seconds and more.
ASKED = {"registry_mode": "subscribe", "invariants": {"ask_within_ms": 80_000}}


def test_where_the_list_is_asked_for_refused_calls_are_followed_by_others_in_time(tmp_path: Path) -> None:
    here = Watched()
    here.list.put("s-0", "127.0.0.1:1")
    config = tmp_path / "config.json"
    config.write_text(configuration(here.list, here.peer.address, told=ASKED))
    with program(config):
        for _ in range(3):
            here.peer.next().send(reply(503))
            refused = time.monotonic()
            here.peer.next().send(told(here.list))
            assert time.monotonic() - refused < TOLD_S
            here.watch().reset()


@pytest.mark.parametrize("how", ["silent", "reset"])
def test_where_the_list_is_asked_for_a_broken_watch_is_opened_anew_at_once(tmp_path: Path, how: str) -> None:
    # The module's wait behind it, and that behind a call refused then, would be more than there is.
    here = Watched()
    here.list.put("s-0", "127.0.0.1:1")
    config = tmp_path / "config.json"
    config.write_text(configuration(here.list, here.peer.address, told=ASKED))
    with program(config):
        got = here.watch()
        broken = time.monotonic() + (
            discovery_client.WATCH_MS / 1000 + discovery_client.WATCH_GRACE_S if how == "silent" else 0.0
        )
        if how == "reset":
            got.reset()
        here.peer.next().send(reply(503))
        here.peer.next().send(told(here.list))
        assert time.monotonic() - broken < 4.0 + 1.0  # one of the module's waits, and not two


# Attempts of seconds, so that a stall of one ends nothing by itself.
PATIENT = {"classes": [one | {"aim_ms": 20_000, "deadline_ms": 30_000} for one in CLASSES]}


@pytest.mark.parametrize("rests", [True, False])
def test_a_list_that_waits_beside_a_request_goes_first(tmp_path: Path, rests: bool) -> None:
    # Behind a stall of ours both wait, the request in front: it went to a node that had begun to drain long
    # before. `rests`: the request's client was connected before the stall; else nobody was.
    nodes, here = [Node(served), Node(served)], Watched()
    here.list.put("s-0", nodes[0].address)
    config = tmp_path / "config.json"
    config.write_text(configuration(here.list, here.peer.address, told=PATIENT))
    with program(config) as (process, log):
        one = World(process, here.list, listening(log), log)
        got = here.watch()
        conn = ask(one, "GET /balance", X_Deadline="30000m")
        assert receive(conn)[0] == 200
        if not rests:
            conn.close()
            wait_for(lambda: figures(one)["clients"] == 0)
        with halted(one):
            if not rests:
                conn = one.connect()
            conn.sendall(request("GET /balance", X_Deadline="30000m"))
            time.sleep(0.05)
            here.list.put("s-0", nodes[0].address, "leaving")
            here.list.put("s-1", nodes[1].address)
            got.send(told(here.list))
            time.sleep(0.8)  # it has long been told
        assert receive(conn)[0] == 200
    assert (len(nodes[0].seen), len(nodes[1].seen)) == (1, 1)
