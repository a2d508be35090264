"""The ledger node's model, by hand where figures can be had so, and over drawn scripts."""

from __future__ import annotations

from collections import Counter
from math import inf
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveport.testbed import model as core
from coveport.testbed.day import NodeDrawn
from coveport.testbed.model import Attempt, KeyMemory, NodeModel
from coveport.testbed.schema import Class

CLASSES = [Class("safe", 0.5, 50, "safe", 1000, 4000), Class("keyed", 0.5, 50, "keyed", 1000, 4000)]
PLAIN: dict[str, Any] = dict.fromkeys(NodeDrawn.__struct_fields__, 0) | dict(
    cores=1,
    speed=1.0,
    slots=4,
    waiting=4,
    crowd_at=1e9,
    cold_from=0.4,
    warm_ms=1000.0,
    cancel="waiting",
    connections=2,
    jam_over_ms=100.0,
    jam_slower=2.0,
    jam_below=0.5,
    jam_rest_ms=200.0,
    jam_most_ms=10000.0,
)


class Played:
    """A model and all that came of it, with when."""

    def __init__(self, keys: KeyMemory | None = None, cold: bool = False, **drawn: Any) -> None:
        self.model = NodeModel(NodeDrawn(**{**PLAIN, **drawn}), CLASSES, keys or KeyMemory())
        self.model.start(0.0, cold)
        self.log: list[tuple[float, int, str]] = []

    def until(self, now: float) -> Played:
        while (due := self.model.next_at) <= now:
            self.model.advance(due)
            self.note(due)
        self.model.advance(now)
        return self

    def note(self, now: float) -> None:
        self.log += [(round(now, 6), one.number, what) for one, what in self.model.take()]

    def arrive(self, now: float, number: int, work: float = 10.0, key: str = "", until: float = inf) -> str:
        self.last = Attempt(number, f"op {number}", key, 1 if key else 0, work, until)
        took = self.until(now).model.arrive(now, self.last)
        self.note(now)
        return took

    def cancel(self, now: float, attempt: Attempt) -> None:
        self.until(now).model.cancel(now, attempt)
        self.note(now)

    def of(self, what: str) -> list[tuple[float, int]]:
        return [(now, number) for now, number, one in self.log if one == what]


def test_the_running_share_the_cores_evenly() -> None:
    one = Played(speed=0.5)
    one.arrive(0, 1, 10)
    one.arrive(10, 2, 10)  # the first has 5 left; both at a quarter of a ms a ms
    assert one.until(100).of(core.DONE) == [(30, 1), (40, 2)]
    two = Played(cores=2, slots=3)
    for number in (1, 2, 3):
        two.arrive(0, number, 10 * number)  # two thirds of a core each, then a core each
    assert two.until(100).of(core.DONE) == [(15, 1), (25, 2), (35, 3)]


def test_who_finds_no_slot_waits_and_who_finds_no_room_is_turned_away() -> None:
    one = Played(slots=1, waiting=2)
    assert [one.arrive(0, number) for number in range(5)] == [core.WORK] * 3 + [core.FULL] * 2
    assert one.until(100).of(core.RUN) == [(0, 0), (10, 1), (20, 2)]
    one.model.drain(100, True)
    assert one.arrive(100, 9) == core.DRAIN


def test_a_cold_start_s_work_is_the_integral_of_its_ramp() -> None:
    one = Played(cold=True)
    one.arrive(0, 1, 160)  # 0.4 t + 0.3 t^2 / 1000
    one.arrive(0, 2, 540)  # all of the ramp's work is 700
    one.until(2000)
    (first, _), (last, _) = one.of(core.DONE)
    assert first == pytest.approx(-2000 / 3 + (4e6 / 9 + 320e3 / 0.3) ** 0.5, abs=1e-3)
    assert last == pytest.approx(1000, abs=1e-3)


def test_crowds_slow_factors_pauses_and_what_goes_in_front_cost_time() -> None:
    one = Played(slots=1, crowd_at=1, crowd_cost=0.5)
    for number in (0, 1, 2):
        one.arrive(0, number)
    assert one.until(100).of(core.DONE) == [(20, 0), (35, 1), (45, 2)]
    one.arrive(100, 3)
    one.model.slow_down(105, 10)
    one.until(200).model.slow_down(200, 1)
    one.arrive(200, 4)
    one.model.pause(205, 20)
    one.arrive(300, 5)
    one.model.probe(304, Attempt(6, "", "", -1, 5.0))
    assert one.until(400).of(core.DONE)[3:] == [(155, 3), (230, 4), (309, 6), (315, 5)]
    assert [one.model.connect(400) for _ in range(3)] == [True, True, False]


def test_drawn_pauses_stop_all_work_for_their_share_of_time() -> None:
    one = Played(pause_every_ms=90.0, pause_ms=10.0)
    one.arrive(0, 1, 90_000)
    assert one.until(200_000).of(core.DONE)[0][0] == pytest.approx(100_000, rel=0.03)


@pytest.mark.parametrize(
    ("mode", "done", "began"), [("none", [1, 2, 3, 4], 20), ("waiting", [1, 2, 4], 20), ("all", [2, 4], 6)]
)
def test_what_a_cancel_stops(mode: str, done: list[int], began: float) -> None:
    one = Played(slots=2, cancel=mode)
    attempts = []
    for number in (1, 2, 3, 4):
        one.arrive(0, number)
        attempts.append(one.last)
    one.cancel(5, attempts[2])
    one.cancel(6, attempts[0])
    assert sorted(number for _, number in one.until(100).of(core.DONE)) == done
    assert len(one.of(core.CANCELLED)) == 4 - len(done) and one.of(core.RUN)[-1] == (began, 4)


def test_work_past_its_time_is_dropped_unrun_where_the_node_does_so() -> None:
    for drops, over in ((True, [(10, 2)]), (False, [])):
        one = Played(slots=1, drops_expired=drops)
        one.arrive(0, 1)
        one.arrive(0, 2, until=9)
        one.arrive(0, 3, until=90)
        assert one.until(100).of(core.EXPIRED) == over
        assert len(one.of(core.RUN)) == 3 - len(over)
        assert one.arrive(100, 4, until=100) == (core.OVER if drops else core.WORK)


def test_a_jam_begins_when_it_was_far_behind_for_long_and_ends_with_rest() -> None:
    def pressed(**drawn: Any) -> Played:
        one = Played(slots=1, waiting=20, jam_at=3, **drawn)
        for number in range(6):
            one.arrive(0, number, 50)  # 5 wait; 3 or more until 150
        return one

    one = pressed()
    assert not one.until(99.9).model.jammed and one.until(100).model.jammed
    assert one.until(500).of(core.DONE)[1:] == [(100, 1), (200, 2), (300, 3), (400, 4), (500, 5)]
    assert one.model.jammed and one.model.speed == 0.5
    one.until(700)  # looked at each 20 ms: the first time that less than half of 200 ms was busy
    assert not one.model.jammed and one.model.jam_changed_at == pytest.approx(620)
    assert pressed(jam_over_ms=200).until(1000).model.jam_changed_at == 0
    assert pressed(jam_most_ms=150).until(250).model.jam_changed_at == 250


def test_a_key_takes_effect_once_in_its_cell_and_window() -> None:
    keys = KeyMemory()
    one, peer, other = Played(keys, slots=1), Played(keys, number=1), Played(keys, cell=1)
    one.arrive(0, 1, 10, "k")
    run = one.last
    assert peer.arrive(5, 2, 10, "k") == core.REPEAT
    assert other.arrive(5, 3, 10, "k") == core.WORK  # another cell knows nothing
    assert peer.until(50).log == []
    one.until(50)  # its end is the repeat's, too
    assert one.of(core.DONE) == [(10, 1), (10, 2)] and peer.last.run is run
    assert peer.arrive(5999, 4, 10, "k") == core.REPEAT and peer.of(core.DONE) == [(5999, 4)]
    assert peer.arrive(6000, 5, 10, "k") == core.WORK and peer.of(core.RUN) == [(6000, 5)]
    assert one.arrive(11999, 6, 10, "k") == core.REPEAT  # the window counts from the run, not from a repeat
    # Two that wait with one key, at two nodes: what runs elsewhere meanwhile makes the other a repeat.
    one.arrive(20000, 7)
    assert one.arrive(20000, 8, 10, "k") == peer.arrive(20005, 9, 10, "k") == core.WORK
    peer.until(20050)
    assert one.until(20050).of(core.RUN)[1:] == [(20000, 7)] and one.of(core.DONE)[-1] == (20010, 8)


def test_a_death_loses_all_but_the_keys() -> None:
    keys = KeyMemory()
    one, peer = Played(keys, slots=1), Played(keys)
    for number, key in ((1, "k"), (2, ""), (3, "k")):
        one.arrive(0, number, 10, key)
    peer.arrive(1, 4, 10, "k")
    one.model.die(5)
    one.note(5)
    assert one.log[1:] == [(5, 1, core.LOST), (5, 2, core.LOST), (5, 3, core.LOST), (5, 4, core.DONE)]
    one.model.start(10, True)
    assert one.arrive(11, 5, 10, "k") == core.REPEAT and one.model.born == 10


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["arrive", "arrive", "cancel", "slow", "die", "probe", "pause"]),
        st.integers(0, 30),
        st.integers(0, 40),
    ),
    max_size=60,
)


@given(EVENTS, st.sampled_from(["none", "waiting", "all"]), st.booleans(), st.integers(1, 3))
def test_all_that_is_taken_ends_once_and_the_same_way_again(
    events: list[tuple[str, int, int]], cancel: str, cold: bool, cores: int
) -> None:
    def play(step: float) -> tuple[list[tuple[float, int, str]], Counter[int], float]:
        one = Played(
            cold=cold,
            cancel=cancel,
            cores=cores,
            slots=3,
            drops_expired=True,
            crowd_at=2,
            crowd_cost=0.2,
            jam_at=2,
            pause_every_ms=60,
            pause_ms=8,
        )
        now, attempts, taken = 0.0, [], Counter[int]()
        for number, (what, gap, figure) in enumerate(events):
            for part in range(int(gap / step) if step else 0):
                one.until(now + part * step)
            now += gap
            one.until(now)
            if what == "arrive":
                key = str(figure % 5) if figure % 2 else ""
                taken[number] = one.arrive(now, number, figure, key, now + 300) in (core.WORK, core.REPEAT)
                attempts.append(one.last)
            elif what == "cancel" and attempts:
                one.cancel(now, attempts[figure % len(attempts)])
            elif what == "slow":
                one.model.slow_down(now, 1 + figure / 10)
            elif what == "die":
                one.model.die(now)
                one.note(now)
                one.model.start(now, cold)
            elif what == "probe":
                taken[number] = 1
                one.model.probe(now, Attempt(number, "", "", -1, figure / 10))
            elif what == "pause":
                one.model.pause(now, figure)
        while one.model.next_at < inf:
            one.until(one.model.next_at)
        assert one.model.working == one.model.waiting == 0
        ends = Counter(number for _, number, what in one.log if what != core.RUN)
        assert ends == +taken and max(ends.values(), default=1) == 1
        return one.log, taken, one.model.busy_ms

    log, taken, busy = play(0)
    assert play(0) == (log, taken, busy)
    # Calls in between change nothing but rounding.
    finer, also, _ = play(0.7)
    assert also == taken and sorted(one[1:] for one in finer) == sorted(one[1:] for one in log)
    assert sorted(one[0] for one in finer) == pytest.approx(sorted(one[0] for one in log), abs=1e-3)
