"""Simulated ground: what TCP shows its users, and processes that are stalled, killed and told."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Coroutine
from itertools import pairwise
from typing import Any

import pytest
from empty_day import empty_day

from coveport.testbed.day import Change
from coveport.testbed.network_model import Ways
from coveport.testbed.schema import Network as Figures
from coveport.testbed.simulated_network.harsh import Harsh
from coveport.testbed.simulated_network.network import Network
from coveport.testbed.simulated_network.side import Side
from coveport.testbed.simulated_network.sockets import WINDOW
from coveport.testbed.simulated_network.wires import VirtualNet
from coveport.testbed.simulated_network.world import Process, World

DAY = empty_day(same_ms=1.0, cross_ms=((1.0, 10.0), (10.0, 1.0)), client_ms=0.05)
SERVER = ("10.0.0.2", 80)


class Peer(asyncio.BufferedProtocol):
    """Notes what it sees, with the time in ms."""

    def __init__(
        self, world: World, on_data: Callable[[Peer, bytes], None] | None = None, keep: bool = False
    ) -> None:
        self.world = world
        self.seen = list[tuple[float, str]]()
        self.on_data = on_data
        self.keep = keep
        self.transport: Side | None = None
        self.buffer = memoryview(bytearray(100))
        self.data = b""

    def note(self, what: str) -> None:
        self.seen.append((round((self.world.now - 1000) * 1000, 3), what))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, Side)
        self.transport = transport
        self.note("up")

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        data = bytes(self.buffer[:nbytes])
        self.data += data
        self.note(f"data {nbytes}")
        if self.on_data is not None:
            self.on_data(self, data)

    def eof_received(self) -> bool:
        self.note("end")
        return self.keep

    def pause_writing(self) -> None:
        self.note("pause")

    def resume_writing(self) -> None:
        self.note("resume")

    def connection_lost(self, exc: Exception | None) -> None:
        self.note(f"lost {type(exc).__name__ if exc else 'clean'}")


class Ground:
    """A client's machine in zone 0 and a server's, each with one process; `figures`: of a harsh network."""

    def __init__(
        self, server_zone: int = 0, descriptors: int = 99, seed: int = 1, far: bool = True, **figures: Any
    ) -> None:
        self.world = World()
        self.ways = Ways(DAY)
        self.network = Network(self.world, self.ways, harsh=Harsh.of(Figures(**figures), seed))
        self.near = self.network.place("10.0.0.1", 0, 7)
        self.far = self.network.place("10.0.0.2", server_zone, far=far)
        self.client, self.server = Process.start(self.world, "client"), Process.start(self.world, "server")
        self.net = VirtualNet(self.client, self.network, self.near, read_chunk=figures.get("read_chunk", 0))
        self.server_net = VirtualNet(self.server, self.network, self.far, descriptors)
        self.peers: list[Peer] = []
        self.called: list[int] = []

    def listen(self, **kind: Any) -> None:
        def accept(number: int) -> Peer:
            self.called.append(number)
            self.peers.append(Peer(self.world, **kind))
            return self.peers[-1]

        self.server_net.accept(accept, SERVER)

    def start(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        tasks: list[asyncio.Task[Any]] = []
        self.client.call_soon(lambda: tasks.append(self.client.create_task(coro)))
        self.world.run(self.world.now)
        return tasks[0]

    def connect(self, **kind: Any) -> Peer:
        peer = Peer(self.world, **kind)
        self.start(self.net.dial(lambda: peer, SERVER))
        return peer

    def run(self, ms: float) -> None:
        self.world.run(self.world.now + ms / 1000)


def test_messages_take_their_way_and_keep_their_order() -> None:
    ground = Ground(server_zone=1)
    ground.listen(on_data=lambda peer, data: peer.transport.write(b"x" * 150))
    peer = ground.connect()
    ground.run(25)
    assert peer.seen == [(20.0, "up")] and peer.transport is not None
    peer.transport.write(b"ab")
    peer.transport.write(b"cd")
    ground.run(40)
    (server,) = ground.peers
    assert server.seen == [(30.0, "up"), (35.0, "data 2"), (35.0, "data 2")] and server.data == b"abcd"
    assert peer.seen[1:] == [(45.0, "data 100"), (45.0, "data 50")] * 2, "read by as much as the buffer holds"
    assert ground.called == [7]


def test_who_is_not_there_refuses_and_who_is_silent_says_nothing_until_it_is_back() -> None:
    ground = Ground()
    refused = ground.start(ground.net.dial(lambda: Peer(ground.world), SERVER))
    ground.run(1.5)
    assert not refused.done()
    ground.run(1)
    assert isinstance(refused.exception(), ConnectionRefusedError)
    ground.listen()
    peer = ground.connect()
    ground.run(5)
    ground.far.silent = True
    waits = ground.start(ground.net.dial(lambda: Peer(ground.world), SERVER))
    assert peer.transport is not None
    peer.transport.write(b"lost for now")
    ground.run(5000)
    assert not waits.done() and ground.peers[0].data == b""
    ground.far.silent = False
    ground.network.release()
    ground.run(5)
    assert isinstance(waits.exception(), ConnectionResetError), "what waited to come up is reset"
    assert ground.peers[0].data == b"lost for now", "what was open goes on"


def test_what_was_on_its_way_to_a_machine_that_vanishes_waits_too() -> None:
    ground = Ground(server_zone=1)
    ground.listen()
    peer = ground.connect()
    ground.run(40)
    assert peer.transport is not None
    peer.transport.write(b"on its way")
    ground.run(5)
    ground.far.silent = True
    ground.run(100)
    assert ground.peers[0].data == b""
    ground.far.silent = False
    ground.network.release()
    ground.run(50)
    assert ground.peers[0].data == b"on its way"


def test_a_cut_between_zones_holds_both_ways_and_nothing_within() -> None:
    ground = Ground(server_zone=1)
    ground.listen()
    peer = ground.connect()
    ground.run(40)
    ground.ways.change(Change(0, 0, "cut", True, 1))
    assert peer.transport is not None and not ground.ways.held(0, 0)
    peer.transport.write(b"to")
    server = ground.peers[0].transport
    assert server is not None
    server.write(b"fro")
    ground.run(500)
    assert (peer.data, ground.peers[0].data) == (b"", b"")
    ground.ways.change(Change(0, 0, "cut", False, 1))
    ground.run(50)
    assert (peer.data, ground.peers[0].data) == (b"fro", b"to")


def test_one_direction_ends_alone_and_what_comes_after_a_close_is_answered_with_a_reset() -> None:
    ground = Ground()
    ground.listen(keep=True)
    peer = ground.connect()
    ground.run(5)
    server = ground.peers[0].transport
    assert peer.transport is not None and server is not None
    peer.transport.write_eof()
    ground.run(3)
    assert ground.peers[0].seen[-1][1] == "end" and not server.is_closing()
    server.write(b"still")
    ground.run(3)
    assert peer.data == b"still"
    peer.transport.close()
    ground.run(3)
    server.write(b"nobody reads")
    ground.run(5)
    server.write(b"the reset that answers it shows now")
    ground.run(5)
    assert ground.peers[0].seen[-1][1] == "lost BrokenPipeError" and peer.seen[-1][1] == "lost clean"


def test_a_close_with_something_unread_is_a_reset_and_an_abort_without_is_an_end() -> None:
    for unread in (False, True):
        ground = Ground()
        ground.listen()
        peer = ground.connect()
        ground.run(5)
        server = ground.peers[0].transport
        assert peer.transport is not None and server is not None
        peer.transport.pause_reading()
        if unread:
            server.write(b"unread")
        ground.run(3)
        assert ground.net.is_quiet(peer.transport) is not unread
        peer.transport.abort()
        ground.run(3)
        names = [what for _, what in ground.peers[0].seen]
        assert ("lost ConnectionResetError" in names) is unread and ("end" in names) is not unread


def test_a_window_that_is_full_leaves_bytes_with_the_sender_who_is_told() -> None:
    ground = Ground()
    ground.listen()
    peer = ground.connect()
    ground.run(5)
    server = ground.peers[0].transport
    assert peer.transport is not None and server is not None
    peer.transport.set_write_buffer_limits(high=0)
    server.pause_reading()
    peer.transport.write(b"z" * (WINDOW + 10))
    assert peer.transport.get_write_buffer_size() == 10 and peer.seen[-1][1] == "pause"
    ground.run(50)
    server.resume_reading()
    ground.run(50)
    assert len(ground.peers[0].data) == WINDOW + 10 and peer.seen[-1][1] == "resume"


def test_a_stalled_process_reads_nothing_and_what_it_missed_comes_in_order() -> None:
    ground = Ground()
    ground.listen()
    peer = ground.connect()
    ground.run(5)
    ground.server.stall(2.0)
    assert peer.transport is not None
    peer.transport.write(b"one")
    late = ground.connect()
    ground.run(10)
    (server,) = ground.peers
    assert server.transport is not None
    assert late.transport is not None, "the system takes the connection in"
    late.transport.write(b"two")
    ground.run(1000)
    assert server.data == b"" and not ground.server_net.is_quiet(server.transport)
    ground.run(1500)
    assert [one.data for one in ground.peers] == [b"one", b"two"] and server.seen[-1][0] == 2005.0


def test_a_killed_process_runs_nothing_more_and_its_connections_end() -> None:
    ground = Ground()
    ground.listen()
    peer = ground.connect()
    ground.run(5)
    fired: list[int] = []
    ground.server.call_later(0.001, fired.append, 1)
    assert ground.server.deliver(15) is False, "no handler"
    ground.server.kill()
    ground.run(10)
    assert fired == [] and [what for _, what in peer.seen] == ["up", "end", "lost clean"]
    again = ground.start(ground.net.dial(lambda: Peer(ground.world), SERVER))
    ground.run(10)
    assert isinstance(again.exception(), ConnectionRefusedError)


def test_descriptors_run_out_at_both_ends() -> None:
    ground = Ground(descriptors=2)  # one listens
    ground.listen()
    told: list[dict[str, Any]] = []
    ground.server.set_exception_handler(lambda loop, context: told.append(context))
    first, second = ground.connect(), ground.connect()
    ground.run(5)
    assert len(ground.peers) == 1 and told[0]["exception"].errno == errno.EMFILE
    assert second.transport is not None, "it waits in the queue, and does not know"
    assert first.transport is not None
    first.transport.close()
    ground.run(1100)
    assert len(ground.peers) == 2
    ground.net.descriptors = 0
    problem = ground.start(ground.net.dial(lambda: Peer(ground.world), SERVER)).exception()
    assert isinstance(problem, OSError) and problem.errno == errno.EMFILE


def test_connects_on_their_way_hold_descriptors_and_a_closed_listener_none() -> None:
    ground = Ground()
    ground.listen()
    ground.net.descriptors = 1
    ground.far.silent = True
    waits = ground.start(ground.net.dial(lambda: Peer(ground.world), SERVER))
    ground.run(5)
    problem = ground.start(ground.net.dial(lambda: Peer(ground.world), SERVER)).exception()
    assert isinstance(problem, OSError) and problem.errno == errno.EMFILE
    waits.cancel()
    ground.run(5)
    assert ground.net.has_room
    ground.net.accept(lambda number: Peer(ground.world), ("10.0.0.1", 80)).close()
    assert ground.net.has_room


def test_no_more_connections_are_accepted_in_one_turn_than_may_be() -> None:
    ground, seen = Ground(), list[str]()

    def turn() -> None:
        seen.append("|")
        if len(seen) < 15:
            ground.server.call_soon(turn)

    def made() -> Peer:
        seen.append("up")
        return Peer(ground.world)

    ground.server.create_task(ground.server_net.listen(made, SERVER, accepts_per_turn=2, backlog=9))
    ground.run(1)
    ground.server.stall(0.1)
    ground.server.call_soon(turn)
    for _ in range(5):
        ground.connect()
    ground.run(200)
    assert " ".join(seen).startswith("| | | up up | up up | up |"), "each is up two turns after its accept"


def test_after_a_stall_what_has_come_is_read_before_timers_are_called() -> None:
    ground, order = Ground(), list[str]()
    ground.listen(on_data=lambda peer, data: order.append("data"))
    peer = ground.connect()
    ground.run(5)
    ground.server.call_later(0.01, order.append, "timer")
    ground.server.stall(0.1)
    ground.run(50)
    assert peer.transport is not None
    peer.transport.write(b"later than the timer was due")
    ground.run(100)
    assert order == ["data", "timer"]


def test_a_connect_that_was_up_during_a_stall_is_seen_two_turns_after_it() -> None:
    ground, order = Ground(), list[str]()
    ground.listen()

    def timer() -> None:
        order.append("timer")
        ground.client.call_soon(order.append, "next turn")

    class Noting(Peer):
        def connection_made(self, transport: asyncio.BaseTransport) -> None:
            order.append("up")

    ground.start(ground.net.dial(lambda: Noting(ground.world), SERVER))
    ground.client.call_later(0.05, timer)
    ground.client.stall(0.1)
    ground.run(200)
    assert order == ["timer", "next turn", "up"]


@pytest.mark.parametrize("shut_down", [False, True])
def test_a_transport_closes_in_the_next_turn_and_a_shutdown_is_at_once(shut_down: bool) -> None:
    ground = Ground()
    ground.listen()
    first, second = ground.connect(), ground.connect()
    ground.run(5)

    def leave() -> None:
        assert first.transport is not None and second.transport is not None
        if shut_down:
            ground.net.shut_down(first.transport)
        first.transport.abort()
        second.transport.write(b"in the same turn")

    order: list[str] = []
    for peer, name in zip(ground.peers, ("close", "data"), strict=True):
        peer.note = lambda what, name=name: order.append(name)  # type: ignore[method-assign,misc]
    ground.client.call_soon(leave)
    ground.run(5)
    assert order[0] == ("close" if shut_down else "data")


def test_a_dial_that_is_given_up_leaves_nothing_behind() -> None:
    for wait in (0.5, 2.5):  # on its way; up already, but for our last word
        ground = Ground()
        ground.listen()
        peer = Peer(ground.world)
        task = ground.start(ground.net.dial(lambda one=peer: one, SERVER))  # type: ignore[misc]
        ground.run(wait)
        if not task.done():
            task.cancel()
        ground.run(10)
        assert ground.net.open_sides == ground.server_net.open_sides == (1 if wait > 2 else 0)


def test_timers_run_in_order_a_cancelled_one_never_and_a_task_sees_its_own_loop() -> None:
    ground, ran = Ground(), list[object]()
    ground.client.call_later(0.002, ran.append, "b")
    ground.client.call_later(0.001, ran.append, "a")
    ground.client.call_later(0.002, ran.append, "c")
    ground.client.call_later(0.001, ran.append, "never").cancel()

    async def task() -> None:
        await asyncio.sleep(0.003)
        ran.append(asyncio.get_running_loop() is ground.client)

    ground.start(task())
    ground.run(5)
    assert ran == ["a", "b", "c", True]


@pytest.mark.parametrize("cost_ms", [0.0, 1.0])
def test_a_callback_takes_the_time_it_is_given(cost_ms: float) -> None:
    ground, at = Ground(), list[float]()
    ground.client.cost_s = cost_ms / 1000
    for _ in range(3):
        ground.client.call_soon(lambda: at.append(round((ground.world.now - 1000) * 1000, 3)))
    ground.run(10)
    assert at == [0, cost_ms, 2 * cost_ms]


# A harsh network. Ways take 1 ms.


def linked(**figures: Any) -> tuple[Ground, Peer, Peer, Side]:
    """A ground with one connection: the client's end, the server's, and the client's transport."""
    ground = Ground(**figures)
    ground.listen()
    peer = ground.connect()
    ground.run(5)
    assert peer.transport is not None
    return ground, peer, ground.peers[0], peer.transport


def times(peer: Peer, what: str) -> list[float]:
    """When it saw something, in ms from 5 ms on, when all is up."""
    return [round(at - 5, 3) for at, seen in peer.seen if seen.startswith(what)]


def test_a_message_comes_in_segments_in_order_and_none_too_late() -> None:
    counts = set()
    for seed in range(20):
        ground, _, server, transport = linked(seed=seed, split=1.0, split_ms=8)
        transport.write(bytes(range(90)))
        transport.write(bytes(range(90, 99)))
        transport.close()
        ground.run(30)
        came = times(server, "data")
        assert server.data == bytes(range(99))
        assert [what for _, what in server.seen[-2:]] == ["end", "lost clean"]
        assert came[0] == 1 and came[-1] <= 9 and came == sorted(came)
        counts.add(len(came))
    assert counts <= {4, 5, 6, 7, 8} and len(counts) > 2


def test_a_message_waits_and_comes_with_the_next_one_or_alone() -> None:
    ground, _, server, transport = linked(merge=1.0, merge_ms=30)
    transport.write(b"one")
    ground.run(10)
    transport.write(b"two")  # does not wait in its turn: what has waited goes with it
    ground.run(10)
    assert times(server, "data") == [11] and server.data == b"onetwo"
    transport.write(b"alone")
    ground.run(40)
    assert times(server, "data") == [11, 51]
    transport.write(b"last")
    transport.close()
    ground.run(5)
    assert times(server, "data")[2:] == times(server, "end") == [61], "an end lets it go"


def test_room_in_a_small_window_is_told_one_way_later() -> None:
    ground, peer, server, transport = linked(window=512)
    transport.set_write_buffer_limits(high=0)
    transport.write(b"z" * 1200)
    assert transport.get_write_buffer_size() == 688 and peer.seen[-1][1] == "pause"
    ground.run(20)
    assert sorted(set(times(server, "data"))) == [1, 3, 5] and len(server.data) == 1200
    assert times(peer, "resume") == [4]
    sizes = sorted(linked(seed=seed, window=(512, 65536))[3]._window for seed in range(40))
    assert 512 <= sizes[0] < 2000 < sizes[20] < 16_000 < sizes[-1] <= 65_536, "all magnitudes alike"


@pytest.mark.parametrize(("figure", "seen"), [("reset_mid", "lost ConnectionResetError"), ("end_mid", "end")])
def test_the_network_breaks_a_connection_at_a_byte_and_both_ends_see_it(figure: str, seen: str) -> None:
    came = []
    for seed in range(30):
        ground, peer, server, transport = linked(seed=seed, **{figure: 1.0})
        server.keep = peer.keep = True
        transport.write(b"0123")
        cut_short = transport.get_extra_info("cut_short")
        transport.write(b"never")
        ground.run(10)
        assert b"0123".startswith(server.data) and cut_short == (len(server.data) < 4)
        assert times(server, seen) == times(peer, seen) == [1]
        came.append(len(server.data))
        if figure == "end_mid":
            transport.write(b"to nobody")
            ground.run(10)
            assert times(peer, "lost BrokenPipeError") == [10] and not times(server, "lost")
    assert set(came) == {0, 1, 2, 3, 4}
    ground, _, server, transport = linked(far=False, **{figure: 1.0})
    transport.write(b"near")
    ground.run(10)
    assert server.data == b"near", "tills sit beside their sidecar"


def test_a_break_with_something_left_here_leaves_nothing_behind() -> None:
    for seed in range(20):
        ground, _, server, transport = linked(seed=seed, window=512, end_mid=1.0)
        assert server.transport is not None
        server.transport.write(b"y" * 2000)
        transport.write(b"z" * 2000)
        transport.close()
        ground.run(50)
        server.transport.close()
        ground.run(50)
        assert ground.net.open_sides == ground.server_net.open_sides == 0


def test_connects_come_up_late_and_one_given_up_leaves_nothing() -> None:
    seen = []
    for seed in range(20):
        ground = Ground(seed=seed, late_connect=1.0, late_connect_ms=(100, 3000))
        ground.listen()
        peer = ground.connect()
        given_up = ground.start(ground.net.dial(lambda one=peer: one, SERVER))  # type: ignore[misc]
        ground.run(90)
        given_up.cancel()
        ground.run(5000)
        seen.append(peer.seen[0][0])
        assert len(ground.peers) == 1 and ground.net.open_sides == ground.server_net.open_sides == 1
    assert 102 <= min(seen) < 300 and 1000 < max(seen) <= 3002


def test_a_full_queue_drops_connects_which_are_sent_again() -> None:
    ground = Ground(backlog=2, accept_ms=600)
    ground.listen()
    peers = [ground.connect() for _ in range(5)]
    ground.run(5000)
    assert [peer.seen[0][0] for peer in peers] == [2, 2, 1002, 1002, 3002], "sent again after 1 s and 3 s"
    (pace,) = {round(b.seen[0][0] - a.seen[0][0], 3) for a, b in pairwise(ground.peers[:2])}
    assert pace == 600 and len(ground.peers) == 5


def test_a_clogged_queue_takes_nobody_until_it_is_free() -> None:
    ground = Ground()
    ground.listen()
    ground.network.listening[SERVER].clogged = True
    peer, given_up = ground.connect(), ground.start(ground.net.dial(lambda: Peer(ground.world), SERVER))
    ground.run(2500)
    assert not ground.peers and not given_up.done()
    given_up.cancel()
    ground.network.listening[SERVER].clogged = False
    ground.run(1000)
    assert [peer.seen[0][0], len(ground.peers)] == [3002, 1]


def test_little_is_read_at_once() -> None:
    ground, peer, server, transport = linked(read_chunk=30)
    peer.on_data = lambda one, data: transport.pause_reading() if len(one.data) == 60 else None
    assert server.transport is not None
    server.transport.write(b"w" * 70)
    server.transport.close()
    ground.run(5)
    assert [what for _, what in peer.seen[1:]] == ["data 30", "data 30"]
    assert not ground.net.is_quiet(transport)
    transport.resume_reading()
    ground.run(5)
    assert [what for _, what in peer.seen[3:]] == ["data 10", "end", "lost clean"]
