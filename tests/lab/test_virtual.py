"""Simulated ground: what TCP shows its users, and processes that are stalled, killed and told."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from coveport.lab.day import Change, Day
from coveport.lab.scenario import Scenario
from coveport.lab.virtual.wires import WINDOW, Network, Side, VirtualNet
from coveport.lab.virtual.world import Process, World
from coveport.lab.ways import Ways

DAY = Day(scenario=Scenario(title="t"), seed=1, nodes=(), sidecars=(), wishes=(), changes=(), spans=(),
          same_ms=1.0, cross_ms=((1.0, 10.0), (10.0, 1.0)), client_ms=0.05, jitter=0.0, notice_ms=0, add_ms=0,
          capacity=1.0)
SERVER = ("10.0.0.2", 80)


class Peer(asyncio.BufferedProtocol):
    """Notes what it sees, with the time in ms."""

    def __init__(self, world: World, on_data: Callable[[Peer, bytes], None] | None = None,
                 keep: bool = False) -> None:
        self.world, self.seen, self.on_data, self.keep = world, list[tuple[float, str]](), on_data, keep
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
    """A client's machine in zone 0 and a server's, each with one process."""

    def __init__(self, server_zone: int = 0, descriptors: int = 99) -> None:
        self.world = World()
        self.ways = Ways(DAY)
        self.network = Network(self.world, self.ways)
        self.near = self.network.place("10.0.0.1", 0, 7)
        self.far = self.network.place("10.0.0.2", server_zone)
        self.client, self.server = Process.start(self.world, "client"), Process.start(self.world, "server")
        self.net = VirtualNet(self.client, self.network, self.near)
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

    ground.server.create_task(ground.server_net.listen(made, SERVER, accept_most=2, waiting_most=9))
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


