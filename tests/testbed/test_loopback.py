"""The real ground: what lies between, and processes that never outlive the lab."""

from __future__ import annotations

import asyncio
import os
import random
import select
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine, Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
import real_helpers
from real_helpers import SIDECAR, tiny_day

from coveport.testbed.day import Change
from coveport.testbed.event_log import EventLog, Fault, Lag, Life, Sample
from coveport.testbed.loopback import GroundError, play_day
from coveport.testbed.loopback.folders import own_folder
from coveport.testbed.loopback.hosts import RealHost, address_of
from coveport.testbed.loopback.orchestrator import check_fits, shares
from coveport.testbed.loopback.shaping import ShapedNet
from coveport.testbed.loopback.sidecars import Sidecar
from coveport.testbed.loopback.timing import DayClock, LagWatch, new_loop
from coveport.testbed.playing import Played

WAY_S = 0.03


class Seen(asyncio.Protocol):
    """A stand-in that notes what it sees, and when."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.events: list[tuple[float, str]] = []
        self.data = b""
        self.handed = 0.0

    def note(self, what: str) -> None:
        self.events.append((time.monotonic(), what))

    @property
    def whats(self) -> list[str]:
        return [what for _, what in self.events]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.note("up")

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.handed = self.transport.get_extra_info("handed_ms") or 0.0
        self.note("data")

    def eof_received(self) -> bool:
        self.note("end")
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        self.note("lost" if exc is None else "reset")


class Ground:
    """A host with the doors of two sidecars; way and cuts as the test says."""

    def __init__(self) -> None:
        self.net, self.seen = ShapedNet(asyncio.get_running_loop()), list[Seen]()
        self.way_s: Callable[[], float] = lambda: WAY_S
        self.cut: set[int] = set()
        self.host = RealHost(
            self.net,
            DayClock(0.0, 0.0),
            [(n, address_of(9, n)) for n in range(2)],
            delay_s=lambda _: self.way_s(),
            held=lambda sidecar: sidecar in self.cut,
        )

    def accept(self, sidecar: int) -> Seen:
        self.seen.append(Seen())
        return self.seen[-1]

    async def dial(self, sidecar: int = 0, within: float = 1.0) -> Seen:
        mine = Seen()
        async with asyncio.timeout(within):
            await self.net.dial(lambda: mine, self.host.address(sidecar))
        return mine


def on_ground(test: Callable[[Ground], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    def run() -> None:
        async def all_of_it() -> None:
            ground = Ground()
            await ground.host.listen(ground.accept)
            try:
                await test(ground)
            finally:
                ground.host.close()

        with asyncio.Runner(loop_factory=new_loop) as runner:
            runner.run(all_of_it())

    return run


async def until(condition: Callable[[], bool], seconds: float = 2.0) -> None:
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "it did not happen"
        await asyncio.sleep(0.002)


@on_ground
async def test_a_way_takes_its_time_in_both_directions(ground: Ground) -> None:
    mine = await ground.dial()
    began = time.monotonic()
    mine.transport.write(b"ask")
    await until(lambda: bool(ground.seen) and ground.seen[0].data == b"ask")
    its = ground.seen[0]
    assert its.events[0][0] - began >= WAY_S - 0.005  # its end of the connection is up one way later
    assert its.events[1][0] - began >= 3 * WAY_S - 0.005  # the first bytes come behind the handshake
    assert began * 1000 <= its.handed <= (its.events[1][0] - WAY_S) * 1000
    again = time.monotonic()
    its.transport.write(b"ans")
    await until(lambda: mine.data == b"ans")
    assert mine.events[-1][0] - again >= WAY_S - 0.005


@on_ground
async def test_what_passes_stays_in_order_up_to_the_end(ground: Ground) -> None:
    rng = random.Random(1)
    ground.way_s = lambda: rng.random() * 0.02
    mine = await ground.dial()
    sent = b""
    for number in range(30):
        sent += b"%d " % number
        mine.transport.write(b"%d " % number)
        await asyncio.sleep(0.001)
    mine.transport.write_eof()
    await until(lambda: "end" in ground.seen[0].whats)
    its = ground.seen[0]
    assert its.data == sent and its.whats[-1] == "end"
    ground.way_s = lambda: WAY_S
    its.transport.write(b"last words")
    await asyncio.sleep(0.015)
    ground.net.reset(its.transport)
    began = time.monotonic()
    assert its.transport.is_closing() and mine.data == b""
    await until(lambda: mine.whats[-1] == "reset")
    assert mine.data == b"last words" and mine.events[-1][0] - began >= WAY_S - 0.005
    assert its.whats[-1] == "lost"


@on_ground
async def test_silence_holds_what_is_open_and_lets_nothing_up(ground: Ground) -> None:
    mine = await ground.dial()
    mine.transport.write(b"1")
    await until(lambda: bool(ground.seen) and ground.seen[0].data == b"1")
    ground.host.silence(True)
    its = ground.seen[0]
    mine.transport.write(b"2")
    mine.transport.write_eof()
    its.transport.write(b"answer")
    with pytest.raises(TimeoutError):
        await ground.dial(within=0.2)
    assert its.whats == ["up", "data"] and mine.data == b""
    ground.host.silence(False)
    await until(lambda: its.whats == ["up", "data", "data", "end"] and mine.data == b"answer")
    assert its.data == b"12" and its.handed < its.events[-1][0] * 1000 - 150  # handed over in the silence
    await ground.dial()
    await until(lambda: ground.seen[-1] is not its and ground.seen[-1].whats == ["up"])
    assert len(ground.seen) == 2  # who waited in the silence was reset


@on_ground
async def test_a_cut_concerns_those_beyond_it(ground: Ground) -> None:
    ground.cut = {1}
    ground.host.update()
    await ground.dial(0)
    with pytest.raises(TimeoutError):
        await ground.dial(1, within=0.1)
    ground.cut = set()
    ground.host.update()
    await ground.dial(1)


@on_ground
async def test_who_refuses_comes_back_at_the_same_address(ground: Ground) -> None:
    mine, address = await ground.dial(), ground.host.address(0)
    ground.host.refuse()
    with pytest.raises(ConnectionRefusedError):
        await ground.dial()
    # The connection came up for us, but the process died before it knew of it.
    await until(lambda: "reset" in mine.whats or "lost" in mine.whats)
    assert ground.seen[0].events == []
    await ground.host.listen(ground.accept)
    assert ground.host.address(0) == address
    await ground.dial()


def test_lateness_is_counted_for_each_moment_left_out() -> None:
    async def stalled() -> LagWatch:
        watch = LagWatch(asyncio.get_running_loop(), DayClock(0.0, 0.0), event_log, "tills", 0.0)
        await asyncio.sleep(0.02)
        time.sleep(0.2)
        await asyncio.sleep(0.02)
        watch.close()
        return watch

    event_log = EventLog()
    watch = asyncio.run(stalled())
    assert watch.late_ms(1) >= 180 and 60 <= watch.late_ms(0.5) < watch.late_ms(1)
    assert any(isinstance(row, Lag) and row.late_ms >= 180 for row in event_log.rows)


def test_a_day_is_shared_out_and_refused_where_it_does_not_fit() -> None:
    assert shares(tiny_day(sidecars=3, wishes=60)) == [(0, 1, 2)]
    assert sorted(shares(tiny_day(sidecars=3, wishes=700))) == [(0,), (1,), (2,)]
    check_fits(tiny_day(), 300)
    with pytest.raises(GroundError, match="descriptors"):
        check_fits(tiny_day(), 200)


# Processes.


def alive(pid: int) -> bool:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


KILLED_WITHIN_S = 10.0  # a killed process ends when it next gets a processor; those left behind live for 60 s


def ends_within(pid: int, seconds: float) -> bool:
    """Whether a process, which need not be a child, is over by then."""
    try:
        process = os.pidfd_open(pid)
    except ProcessLookupError:
        return True
    try:
        ended, _, _ = select.select([process], [], [], seconds)
    finally:
        os.close(process)
    return bool(ended) or not alive(pid)


@pytest.fixture
def folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[Path]:
    """Where processes leave their pids; behind the test none of them and no temporary file may be left."""
    pids, temporary = tmp_path / "pids", tmp_path / "temporary"
    pids.mkdir()
    temporary.mkdir()
    monkeypatch.setenv(real_helpers.FOLDER, str(pids))
    monkeypatch.setenv("TMPDIR", str(temporary))
    monkeypatch.setattr(tempfile, "tempdir", None)
    yield pids
    started = [int(one.name) for one in pids.iterdir()]
    assert started
    assert not [pid for pid in started if not ends_within(pid, KILLED_WITHIN_S)]
    assert list(temporary.iterdir()) == []


def play(*changes: Change, **more: Any) -> Played:
    return play_day(tiny_day(*changes, **more), command=SIDECAR, parts="real_helpers")


def lives(played: Played, sidecar: int) -> list[str]:
    return [
        f"{row.what} {row.detail}".strip()
        for row in played.rows
        if isinstance(row, Life) and row.sidecar == sidecar
    ]


def troubles(played: Played) -> list[str]:
    """What there is to say of the run, but that the machine was busy with other things."""
    return [note for note in played.notes if not note.startswith("void")]


def test_a_day_with_all_that_happens_to_sidecars(folder: Path, tmp_path: Path) -> None:
    shown: list[float] = []
    played = play_day(
        tiny_day(
            Change(50, 0, "kill", target=0),
            Change(100, 0, "launch", target=0),
            Change(50, 1, "stall", target=1, value=100),
            Change(250, 2, "term", target=1),
            Change(600, 3, "discovery-moves"),
            length_s=0.9,
        ),
        command=SIDECAR,
        parts="real_helpers",
        logs=tmp_path / "logs",
        progress=shown.append,
    )
    assert troubles(played) == [] and played.ground == "real"
    assert lives(played, 0) == [
        "start 1",
        "ready",
        "kill",
        "exit -9",
        "start 2",
        "ready",
        "reload",
        "term",
        "exit 0",
    ]
    assert lives(played, 1) == [
        "start 1",
        "ready",
        "stall",
        "resume",
        "term",
        "exit 0",
        "start 2",
        "ready",
        "term",
        "exit 0",
    ]
    at = {row.what: row.at for row in played.rows if isinstance(row, Life) and row.sidecar == 1}
    assert -25_000 < played.rows[0].at < 0 and at["resume"] - at["stall"] >= 90
    said = [line for line in played.logs[0].splitlines() if line != "stood still"]
    assert said == ["started s0 known 41"] * 2 + ["moved to 127.0.0.1:10"]
    assert "stood still" in played.logs[1]
    assert (tmp_path / "logs" / "s1.log").read_text() == played.logs[1]
    samples = [row for row in played.rows if isinstance(row, Sample)]
    assert samples and all(row.memory_mb > 1 and 3 <= row.descriptors < 20 for row in samples)
    assert [row.began for row in played.rows if isinstance(row, Fault)] == [True, False]
    assert shown[-1] == 1.0 and shown == sorted(shown)


class LookedAt:
    """A process that runs as far as anybody has noticed."""

    running = True

    def __init__(self, pid: int) -> None:
        self.pid = pid


def sampled(pid: int, is_ready: bool) -> list[Sample]:
    """What is entered of a process."""
    event_log = EventLog()
    sidecar = Sidecar.__new__(Sidecar)
    sidecar._child, sidecar.ready = cast(Any, LookedAt(pid)), is_ready
    sidecar._setting = cast(
        Any, SimpleNamespace(event_log=event_log, clock=SimpleNamespace(day_ms=lambda: 5.0))
    )
    sidecar.drawn = cast(Any, SimpleNamespace(number=0))
    sidecar.sample()
    return [row for row in event_log.rows if isinstance(row, Sample)]


def test_a_process_that_has_ended_or_is_not_up_yet_is_no_sample() -> None:
    """Seen in CI: a process killed a moment ago was entered with no memory and no descriptors."""
    assert len(sampled(os.getpid(), True)) == 1
    assert sampled(os.getpid(), False) == []
    process = subprocess.Popen([sys.executable, "-S", "-c", "pass"])
    os.waitid(os.P_PID, process.pid, os.WEXITED | os.WNOWAIT)  # it has ended, and nobody has waited for it
    try:
        assert sampled(process.pid, True) == []
    finally:
        process.wait()


def test_a_sidecar_that_is_still_starting_as_the_day_ends_is_told_when_it_can_be(
    folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Seen on a busy machine: its second start met the end of the day, and it ended with -15."""
    monkeypatch.setenv(real_helpers.TROUBLE, "starts slowly")
    day = tiny_day(Change(50, 0, "kill", target=0), Change(60, 0, "launch", target=0), length_s=0.3)
    played = play_day(day, command=SIDECAR, parts="real_helpers")
    assert lives(played, 0)[2:] == ["kill", "exit -9", "start 2", "ready", "term", "exit 0"]
    assert troubles(played) == []


def test_sidecars_that_die_at_their_start_end_the_day(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv(real_helpers.TROUBLE, "dies at its start")
    played = play(length_s=20)
    assert lives(played, 0) == ["start 1", "exit 1"] and played.wall_s < 15
    assert "sidecar 0: ended by itself with code 1" in "\n".join(played.notes)
    assert "nothing goes" in played.notes[0] and "no sidecar was left" in played.notes[-1]


def test_a_sidecar_that_hangs_at_its_end_is_killed(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv(real_helpers.TROUBLE, "hangs")
    played = play(sidecars=1)
    assert lives(played, 0)[-2:] == ["term", "exit -9"] and "hung at its end" in played.notes[0]


def test_a_machine_that_is_too_busy_voids_the_day(folder: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv(real_helpers.TROUBLE, "no CPU")
    played = play(length_s=0.6)
    assert played.late and "the machine was too busy for the tills of sidecars 0, 1" in played.notes[0]
    assert "ms late at its worst" in played.notes[0]


@pytest.mark.parametrize(
    ("trouble", "text"),
    [
        ("a fault in a stand-in", "tills of sidecars 0, 1: KeyError: 'what is not there'"),
        ("the world dies", "the world ended in the middle"),
    ],
)
def test_a_lab_that_breaks_down_says_so(
    folder: Path, monkeypatch: pytest.MonkeyPatch, trouble: str, text: str
) -> None:
    monkeypatch.setenv(real_helpers.TROUBLE, trouble)
    with pytest.raises(GroundError, match=text):
        play(length_s=5)


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_nothing_is_left_when_the_lab_is_stopped(folder: Path, number: signal.Signals) -> None:
    program = (
        "import signal; signal.signal(signal.SIGINT, signal.default_int_handler); "
        "from real_helpers import *; from coveport.testbed.loopback import play_day; "
        "play_day(tiny_day(length_s=30), command=SIDECAR, parts='real_helpers')"
    )
    path = os.pathsep.join([str(Path(__file__).parent), *sys.path])
    lab = subprocess.Popen(
        [sys.executable, "-c", program],
        env={**os.environ, "PYTHONPATH": path},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        end = time.monotonic() + 10
        while len(list(folder.iterdir())) < 4:  # two workers, two sidecars
            assert time.monotonic() < end and lab.poll() is None
            time.sleep(0.02)
        lab.send_signal(number)
        errors = lab.communicate(timeout=10)[1]
    finally:
        lab.kill()
        lab.wait()
    if number == signal.SIGKILL:  # processes end with the lab all the same; files go with the next run
        while any(alive(int(one.name)) for one in folder.iterdir()):
            assert time.monotonic() < end
            time.sleep(0.01)
        with own_folder(old_s=0) as mine, own_folder(old_s=0):
            assert mine.exists()
    else:
        assert "KeyboardInterrupt" in errors


def test_a_small_day_with_the_lab_s_own_stand_ins(tmp_path: Path) -> None:
    pytest.importorskip("coveport.testbed.standins.nodes")
    pytest.importorskip("coveport.testbed.standins.clients")
    drawing = pytest.importorskip("coveport.testbed.drawing")
    from coveport.testbed.event_log import Answered, Arrived, Asked
    from coveport.testbed.scenario import Scenario
    from coveport.testbed.schema import Fleet, Load

    scenario = Scenario(
        title="small", length_s=1, tail_s=5, fleet=Fleet(sidecars=2, nodes=4), load=Load(rate=20)
    )
    played = play_day(drawing.draw(scenario, 1))
    assert troubles(played) == [] and [lives(played, n)[-1] for n in (0, 1)] == ["exit 0"] * 2
    asked = [row.op for row in played.rows if isinstance(row, Asked)]
    assert len(asked) > 9
    assert sorted(asked) == sorted(row.op for row in played.rows if isinstance(row, Answered))
    assert set(asked) == {row.op for row in played.rows if isinstance(row, Arrived)}
    assert all(row.handed <= row.began <= row.at for row in played.rows if isinstance(row, Arrived))


def test_addresses_stay_within_loopback() -> None:
    assert address_of(9, 7) == "127.9.0.8" and address_of(16, 250 * 250 + 1) == "127.17.0.2"
    with pytest.raises(ValueError, match="no"):
        address_of(255, 250 * 250)
