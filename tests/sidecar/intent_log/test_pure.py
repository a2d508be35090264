"""The pure parts around a record: who asks again, keys and transactions, seals, presence and shares."""

from __future__ import annotations

import itertools
import random
from pathlib import Path

import msgspec
import pytest
from test_takeover import attempt, record

from coveport.balancing.interface import Effect, Group, Outcome
from coveport.sidecar.config.operator import OperatorFileError, read
from coveport.sidecar.intent_log.encryption import Asked, Given, Kept, Seal, SealError, read_keys
from coveport.sidecar.intent_log.pending_operation import MOVES, Hand, Stage
from coveport.sidecar.intent_log.presence import Presence
from coveport.sidecar.intent_log.record import End, Record, RecordError, Rules, Settled, State
from coveport.sidecar.intent_log.record_layout import RecordLayout, digest_of, id_of, is_id
from coveport.sidecar.intent_log.replayed_answers import Owner, Then, decide_again, told_late
from coveport.sidecar.intent_log.sharing import Pace, rank, wait_s
from coveport.sidecar.leases.store import Delete, Field, Put

UNSAFE = Rules(Effect.UNSAFE, Group.ALL, 0.0, 3)


def closed(end: End, rules: Rules | None = None, ran: bool = True) -> Record:
    one = record(rules) if rules is not None else record()
    if ran or end is End.SERVED:
        one = one.sending(attempt()).ended(0, Outcome.OK if end is End.SERVED else Outcome.RESET)
    return one.closed(end, unix=100.0)


ENDS = [
    closed(End.SERVED),
    closed(End.FAILED),
    closed(End.UNKNOWN),
    closed(End.REFUSED, ran=False),
    closed(End.NEVER_RAN, ran=False),
]
OPEN = [record(), record().sending(attempt())]


@pytest.mark.parametrize("same", [True, False, None])
@pytest.mark.parametrize("owner", Owner)
def test_who_asks_again_never_brings_a_second_run_about(same: bool | None, owner: Owner) -> None:
    for one, unsafe, kept in itertools.product([*OPEN, *ENDS], [False, True], [False, True]):
        if unsafe:
            one = msgspec.structs.replace(one, rules=UNSAFE)
        told = decide_again(one, owner, same, kept)
        assert told.rule
        if same is not True:
            assert told.then is (Then.OTHER if same is False else Then.TOLD)
        elif one.open:
            assert told.then is (Then.CLAIM if owner is Owner.LOST else Then.WAIT)
        elif one.end is End.SERVED:
            assert told.then is (Then.GIVE if kept else Then.TOLD)
        elif one.end in (End.REFUSED, End.NEVER_RAN):
            assert told.then is Then.ANEW
        else:
            assert told.then is (Then.TOLD if unsafe else Then.TRY)
        if one.may_have_run:
            assert told.then is not Then.ANEW


@pytest.mark.parametrize("unsafe", [True, False])
def test_what_staff_settled_decides_who_may_ask_again(unsafe: bool) -> None:
    one = closed(End.UNKNOWN, UNSAFE if unsafe else None)
    assert one.may_have_run
    ran, never = one.settle(End.SERVED, "ana", "ledger"), one.settle(End.NEVER_RAN, "ana", "ledger")
    assert decide_again(ran, Owner.LOST, True, False).then is Then.TOLD
    assert decide_again(never, Owner.LOST, True, False).then is Then.ANEW
    assert never.reopened("s1#1", 5).attempts == ()
    with pytest.raises(RecordError):
        ran.reopened("s1#1", 5)
    for what, end, by, why in (
        (ran, End.NEVER_RAN, "eva", "no"),
        (one, End.SERVED, " ", "x"),
        (one, End.SERVED, "ana", ""),
        (one, End.FAILED, "ana", "x"),
        (closed(End.SERVED), End.NEVER_RAN, "ana", "x"),
    ):
        with pytest.raises(RecordError):
            what.settle(end, by, why)


def test_another_life_keeps_what_may_have_run() -> None:
    one = closed(End.FAILED).reopened("s1#1", 9)
    assert one.state is State.SENDING and len(one.attempts) == 1 and one.lives == 2
    assert one.owners == ("s0#1",) and one.owner == "s1#1"
    for never in (closed(End.FAILED, UNSAFE), closed(End.SERVED), record()):
        with pytest.raises(RecordError):
            never.reopened("s1#1", 9)
    assert told_late(None) and told_late(record()) and not told_late(record().sending(attempt()))


# The layout.


def test_each_record_stands_under_one_index_and_every_write_compares() -> None:
    layout = RecordLayout("w/", 600.0)
    states = [
        *OPEN,
        *ENDS,
        record().claimed("s1#1", 5),
        closed(End.UNKNOWN).settle(End.SERVED, "ana", "ledger"),
        closed(End.FAILED, UNSAFE),
    ]
    for before, after in itertools.product([None, *states], states):
        made = layout.write(before, 7, after)
        (compare,) = made.compares
        assert (compare.key, compare.field, compare.equals) == (f"w/r/{after.id}", Field.MODIFIED, 7)
        keys = {layout.index(before)} if before is not None else set()
        for change in made.changes[1:]:
            keys = keys | {change.key} if isinstance(change, Put) else keys - {change.key}
        assert keys == {layout.index(after)}
    for one in (closed(End.UNKNOWN), closed(End.FAILED, UNSAFE)):
        assert layout.index(one).startswith("w/u/"), "staff are to see it"
    bucket, identity = layout.bucket_and_id(layout.index(closed(End.SERVED)))
    assert bucket * 10 >= 700 and identity == "a"
    assert layout.owner_and_id(layout.index(record())) == ("s0#1", "a")
    gone = layout.throw_away("a", 9, "w/k/1/a")
    assert gone.compares[0].equals == 9 and all(isinstance(one, Delete) for one in gone.changes)
    with pytest.raises(RecordError):
        layout.write(record(), 1, msgspec.structs.replace(record(), id="b"))


def test_ids_and_digests_tell_apart_what_differs() -> None:
    assert len({id_of("a", "b"), id_of("b", "a"), id_of("", "a"), id_of("", "b")}) == 4
    assert id_of("a", "x") == id_of("a", "y") and is_id(id_of("a", "")) and not is_id("../" + "0" * 29)
    seen = {digest_of("i", *parts) for parts in (("P", "/a", b"b"), ("P", "/", b"ab"), ("P/", "a", b"b"))}
    assert len(seen) == 3 and digest_of("j", "P", "/a", b"b") not in seen


# Seals.


def test_what_was_sealed_opens_for_its_record_alone_and_over_a_change_of_key(tmp_path: Path) -> None:
    path = tmp_path / "keys"

    def kept(text: str, most: int = 100) -> Kept:
        path.write_text(text)
        path.chmod(0o600)
        return Kept(Seal(read_keys(path)), most)

    first, second = "k1 " + "11" * 32 + "\n", "k2 " + "22" * 32 + "\n"
    asked, given = Asked("POST", "/earn", b"member 7", "t1", "k"), Given(b"points", "text/plain")
    old = kept(first)
    sealed, answer = old.asked("a", asked), old.given("a", given)
    assert b"member" not in sealed and b"points" not in answer and sealed != old.asked("a", asked)
    both = kept(second + first)
    assert both.read_asked("a", sealed) == asked and both.read_given("a", answer) == given
    assert both.asked("a", asked).startswith(b"k2 ")
    assert both.read_asked("b", sealed) is None, "another record's"
    assert both.read_given("a", sealed) is None, "not an answer"
    assert kept(second).read_asked("a", sealed) is None, "its key is gone"
    for place in range(len(sealed)):
        assert both.read_asked("a", sealed[:place] + bytes([sealed[place] ^ 1]) + sealed[place + 1 :]) is None
    assert old.asked("a", msgspec.structs.replace(asked, body=b"x" * 101)) == b""
    assert Kept(None, 100).asked("a", asked) == b"" and Kept(None, 100).read_asked("a", sealed) is None


@pytest.mark.parametrize(
    ("text", "mode", "why"),
    [
        ("k1 11", 0o600, ":1: NAME and 32 bytes"),
        ("k1 " + "11" * 32, 0o640, "others may read it"),
        ("# none\n", 0o600, "there is no key"),
        ("k 1 " + "11" * 32, 0o600, ":1:"),
        ("k1 " + "11" * 32 + "\nk1 " + "22" * 32, 0o600, ":2:"),
    ],
)
def test_a_key_file_that_can_t_be_used_is_one_line(tmp_path: Path, text: str, mode: int, why: str) -> None:
    path = tmp_path / "keys"
    path.write_text(text)
    path.chmod(mode)
    with pytest.raises(SealError) as problem:
        read_keys(path)
    assert why in str(problem.value) and "\n" not in str(problem.value)
    assert "11" * 32 not in str(problem.value)


# Presence, shares, stages.


def test_who_was_never_seen_is_given_a_time_to_live_and_who_leaves_its_own() -> None:
    one = Presence("us#1", 3.0)
    assert one.of(0.0, "us#1") is Owner.OURS
    assert one.of(0.0, "a#1") is Owner.THERE, "nothing was seen yet"
    one.here("a", "a#1")
    assert one.of(9.0, "a#1") is Owner.THERE and one.of(10.0, "b#1") is Owner.THERE
    assert one.of(13.1, "b#1") is Owner.LOST
    one.leaves("a#1", 25.0)
    assert one.gone(20.0, "a") == "a#1" and one.gone(20.0, "a") == ""
    assert one.of(20.0, "a#1") is Owner.LEAVING and one.of(25.0, "a#1") is Owner.LOST
    one.left("a#1")
    assert one.of(20.0, "a#1") is Owner.LOST
    one.here("a", "a#1")
    assert one.of(26.0, "a#1") is Owner.THERE


def test_records_are_shared_out_evenly_and_each_has_a_first() -> None:
    names = [f"s{number}" for number in range(10)]
    firsts = dict.fromkeys(names, 0)
    for number in range(2000):
        order = sorted(names, key=lambda name: rank(f"r{number}", name, names))
        assert [rank(f"r{number}", name, names) for name in order] == list(range(10))
        firsts[order[0]] += 1
        assert wait_s(f"r{number}", order[0], names) == 0.0 < wait_s(f"r{number}", order[1], names)
        # Who comes or goes moves no other's place.
        assert sorted(names[1:], key=lambda name: rank(f"r{number}", name, names[1:])) == [
            name for name in order if name != "s0"
        ]
    assert min(firsts.values()) > 140 and max(firsts.values()) < 260


@pytest.mark.parametrize("seed", range(20))
def test_no_more_are_taken_up_than_the_pace_allows(seed: int) -> None:
    chance, pace, now, taken = random.Random(seed), Pace(50.0, 16), 100.0, list[float]()
    while now < 110.0:
        wait = pace.wait_s(now, busy=False)
        if not wait:
            taken.append(now)
        now += max(wait, chance.expovariate(500))
    assert 480 < len(taken) <= 16 + 50 * 10
    for at in taken:
        assert sum(at <= other < at + 1.0 for other in taken) <= 16 + 51


@pytest.mark.parametrize("stage", Stage)
@pytest.mark.parametrize("other", Stage)
def test_no_stage_but_those_of_the_table(stage: Stage, other: Stage) -> None:
    hand = Hand(1, None, record(), 10.0, stage=stage)  # type: ignore[arg-type]
    if other in MOVES[stage]:
        hand.to(other)
    else:
        with pytest.raises(AssertionError):
            hand.to(other)


def test_the_fence_holds_back_what_stood_still() -> None:
    hand = Hand(1, None, record(), until=1.0)  # type: ignore[arg-type]
    hand.sending(0, attempt(), 0.1)
    assert hand.fence(0.9) and not hand.fence(1.0), "its client's time"
    hand.until = 100.0
    assert hand.fence(50.0), "the first opens the window"
    hand.ended(0, Outcome.TIMEOUT)
    hand.sending(1, attempt(), 5.0)
    assert hand.fence(6.07) and not hand.fence(6.09), "repeats are dropped in the window alone"
    hand.to(Stage.ELSEWHERE)
    assert not hand.fence(5.0)
    hand = Hand(1, None, record(), until=1.0, stage=Stage.UNRECORDED)  # type: ignore[arg-type]
    assert hand.fence(0.5)
    hand.may_send = False
    assert not hand.fence(0.5)


@pytest.mark.parametrize(
    ("work", "why"),
    [
        ('record = "earn"', "[work] record"),
        ('refuse = ["earn"]', "[work] refuse: 'earn' is not recorded"),
        ("kept_s = 0.0", "[work] kept_s: must be 1 s to 30 days"),
        ("pace = 0.0", "[work] pace"),
        ("body_most = -1", "[work] body_most"),
        ("keep = 1", "[work] keep: there is no such key"),
    ],
)
def test_the_operators_part_is_checked(work: str, why: str) -> None:
    text = f'[instance]\nplatform = "p.json"\n[store]\nurl = "sqlite:x"\n[work]\n{work}\n'
    with pytest.raises(OperatorFileError, match=r"(?s)" + why.replace("[", r"\[")):
        read(text, Path())


def test_a_settled_record_is_read_as_it_was() -> None:
    assert closed(End.UNKNOWN).settle(End.SERVED, "a", "b", 4.0).settled == Settled(End.SERVED, "a", "b", 4.0)
