"""The pure parts around a record: who asks again, keys and transactions, seals, presence and shares."""

from __future__ import annotations

import itertools
import random
from pathlib import Path

import msgspec
import pytest
from test_takeover import attempt, record

from coveport.balancing.interface import Effect, Group, Outcome
from coveport.sidecar.config.errors import OperatorFileError
from coveport.sidecar.config.operator_file import read
from coveport.sidecar.intent_log.encryption import KeyRing, read_keys
from coveport.sidecar.intent_log.errors import EncryptionError, RecordError
from coveport.sidecar.intent_log.payloads import PayloadCodec, StoredRequest, StoredResponse
from coveport.sidecar.intent_log.pending_operation import STAGE_TRANSITIONS, OperationStage, PendingOperation
from coveport.sidecar.intent_log.presence import OwnerStatus, Presence
from coveport.sidecar.intent_log.record import (
    ExecutionPolicy,
    FinalStatus,
    ManualResolution,
    Record,
    RecoveryPoint,
)
from coveport.sidecar.intent_log.record_layout import RecordLayout, digest_of, id_of, is_id
from coveport.sidecar.intent_log.replay_decision import (
    ReplayAction,
    decide_replay,
    may_be_rejected_as_busy,
)
from coveport.sidecar.intent_log.takeover_order import rank, takeover_delay_s
from coveport.sidecar.intent_log.token_bucket import TokenBucket
from coveport.sidecar.leases.store import Delete, Field, Put

UNSAFE = ExecutionPolicy(Effect.UNSAFE, Group.ALL, 0.0, 3)


def closed(end: FinalStatus, rules: ExecutionPolicy | None = None, ran: bool = True) -> Record:
    one = record(rules) if rules is not None else record()
    if ran or end is FinalStatus.SERVED:
        one = one.with_attempt(attempt()).with_outcome(
            0, Outcome.OK if end is FinalStatus.SERVED else Outcome.RESET
        )
    return one.closed(end, unix_s=100.0)


ENDS = [
    closed(FinalStatus.SERVED),
    closed(FinalStatus.FAILED),
    closed(FinalStatus.UNKNOWN),
    closed(FinalStatus.REFUSED, ran=False),
    closed(FinalStatus.NEVER_RAN, ran=False),
]
OPEN = [record(), record().with_attempt(attempt())]


@pytest.mark.parametrize("same", [True, False, None])
@pytest.mark.parametrize("owner", OwnerStatus)
def test_who_asks_again_never_brings_a_second_run_about(same: bool | None, owner: OwnerStatus) -> None:
    for one, unsafe, kept in itertools.product([*OPEN, *ENDS], [False, True], [False, True]):
        if unsafe:
            one = msgspec.structs.replace(one, policy=UNSAFE)
        decision = decide_replay(one, owner, same_request=same, has_response=kept)
        assert decision.rule
        if same is not True:
            assert decision.action is (ReplayAction.KEY_REUSED if same is False else ReplayAction.FAIL)
        elif one.is_open:
            assert decision.action is (ReplayAction.CLAIM if owner is OwnerStatus.LOST else ReplayAction.WAIT)
        elif one.final_status is FinalStatus.SERVED:
            assert decision.action is (ReplayAction.RETURN_RESPONSE if kept else ReplayAction.FAIL)
        elif one.final_status in (FinalStatus.REFUSED, FinalStatus.NEVER_RAN):
            assert decision.action is ReplayAction.RESTART
        else:
            assert decision.action is (ReplayAction.FAIL if unsafe else ReplayAction.RETRY)
        if one.may_have_run:
            assert decision.action is not ReplayAction.RESTART


@pytest.mark.parametrize("unsafe", [True, False])
def test_what_staff_settled_decides_who_may_ask_again(unsafe: bool) -> None:
    one = closed(FinalStatus.UNKNOWN, UNSAFE if unsafe else None)
    assert one.may_have_run
    ran, never = (
        one.resolved(FinalStatus.SERVED, "ana", "ledger"),
        one.resolved(FinalStatus.NEVER_RAN, "ana", "ledger"),
    )
    assert (
        decide_replay(ran, OwnerStatus.LOST, same_request=True, has_response=False).action
        is ReplayAction.FAIL
    )
    assert (
        decide_replay(never, OwnerStatus.LOST, same_request=True, has_response=False).action
        is ReplayAction.RESTART
    )
    assert never.reopened("s1#1", 5).attempts == ()
    with pytest.raises(RecordError):
        ran.reopened("s1#1", 5)
    for what, end, by, why in (
        (ran, FinalStatus.NEVER_RAN, "eva", "no"),
        (one, FinalStatus.SERVED, " ", "x"),
        (one, FinalStatus.SERVED, "ana", ""),
        (one, FinalStatus.FAILED, "ana", "x"),
        (closed(FinalStatus.SERVED), FinalStatus.NEVER_RAN, "ana", "x"),
    ):
        with pytest.raises(RecordError):
            what.resolved(end, by, why)


def test_another_life_keeps_what_may_have_run() -> None:
    one = closed(FinalStatus.FAILED).reopened("s1#1", 9)
    assert one.recovery_point is RecoveryPoint.SENDING and len(one.attempts) == 1 and one.generation == 2
    assert one.previous_owners == ("s0#1",) and one.owner == "s1#1"
    for never in (closed(FinalStatus.FAILED, UNSAFE), closed(FinalStatus.SERVED), record()):
        with pytest.raises(RecordError):
            never.reopened("s1#1", 9)
    assert (
        may_be_rejected_as_busy(None)
        and may_be_rejected_as_busy(record())
        and not may_be_rejected_as_busy(record().with_attempt(attempt()))
    )


# The layout.


def test_each_record_stands_under_one_index_and_every_write_compares() -> None:
    layout = RecordLayout("w/", 600.0)
    states = [
        *OPEN,
        *ENDS,
        record().claimed("s1#1", 5),
        closed(FinalStatus.UNKNOWN).resolved(FinalStatus.SERVED, "ana", "ledger"),
        closed(FinalStatus.FAILED, UNSAFE),
    ]
    for before, after in itertools.product([None, *states], states):
        made = layout.write(before, 7, after)
        (compare,) = made.compares
        assert (compare.key, compare.field, compare.equals) == (f"w/r/{after.id}", Field.MODIFIED, 7)
        keys = {layout.index_key(before)} if before is not None else set()
        for change in made.changes[1:]:
            keys = keys | {change.key} if isinstance(change, Put) else keys - {change.key}
        assert keys == {layout.index_key(after)}
    for one in (closed(FinalStatus.UNKNOWN), closed(FinalStatus.FAILED, UNSAFE)):
        assert layout.index_key(one).startswith("w/u/"), "staff are to see it"
    bucket, identity = layout.bucket_and_id(layout.index_key(closed(FinalStatus.SERVED)))
    assert bucket * 10 >= 700 and identity == "a"
    assert layout.owner_and_id(layout.index_key(record())) == ("s0#1", "a")
    gone = layout.deletion("a", 9, "w/k/1/a")
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

    def codec(text: str, most: int = 100) -> PayloadCodec:
        path.write_text(text)
        path.chmod(0o600)
        return PayloadCodec(KeyRing(read_keys(path)), most)

    first, second = "k1 " + "11" * 32 + "\n", "k2 " + "22" * 32 + "\n"
    asked, given = (
        StoredRequest("POST", "/earn", b"member 7", "t1", "k"),
        StoredResponse(b"points", "text/plain"),
    )
    old = codec(first)
    sealed, answer = old.encode_request("a", asked), old.encode_response("a", given)
    assert b"member" not in sealed and b"points" not in answer and sealed != old.encode_request("a", asked)
    both = codec(second + first)
    assert both.decode_request("a", sealed) == asked and both.decode_response("a", answer) == given
    assert both.encode_request("a", asked).startswith(b"k2 ")
    assert both.decode_request("b", sealed) is None, "another record's"
    assert both.decode_response("a", sealed) is None, "not an answer"
    assert codec(second).decode_request("a", sealed) is None, "its key is gone"
    for index in range(len(sealed)):
        changed = sealed[:index] + bytes([sealed[index] ^ 1]) + sealed[index + 1 :]
        assert both.decode_request("a", changed) is None
    assert old.encode_request("a", msgspec.structs.replace(asked, body=b"x" * 101)) == b""
    assert (
        PayloadCodec(None, 100).encode_request("a", asked) == b""
        and PayloadCodec(None, 100).decode_request("a", sealed) is None
    )


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
    with pytest.raises(EncryptionError) as problem:
        read_keys(path)
    assert why in str(problem.value) and "\n" not in str(problem.value)
    assert "11" * 32 not in str(problem.value)


# Presence, shares, stages.


def test_who_was_never_seen_is_given_a_time_to_live_and_who_leaves_its_own() -> None:
    one = Presence("us#1", 3.0)
    assert one.status_of(0.0, "us#1") is OwnerStatus.SELF
    assert one.status_of(0.0, "a#1") is OwnerStatus.ALIVE, "nothing was seen yet"
    one.add("a", "a#1")
    assert one.status_of(9.0, "a#1") is OwnerStatus.ALIVE and one.status_of(10.0, "b#1") is OwnerStatus.ALIVE
    assert one.status_of(13.1, "b#1") is OwnerStatus.LOST
    one.start_drain("a#1", 25.0)
    assert one.remove(20.0, "a") == "a#1" and one.remove(20.0, "a") == ""
    assert (
        one.status_of(20.0, "a#1") is OwnerStatus.DRAINING and one.status_of(25.0, "a#1") is OwnerStatus.LOST
    )
    one.end_drain("a#1")
    assert one.status_of(20.0, "a#1") is OwnerStatus.LOST
    one.add("a", "a#1")
    assert one.status_of(26.0, "a#1") is OwnerStatus.ALIVE


def test_records_are_shared_out_evenly_and_each_has_a_first() -> None:
    names = [f"s{number}" for number in range(10)]
    firsts = dict.fromkeys(names, 0)
    for number in range(2000):
        order = sorted(names, key=lambda name: rank(f"r{number}", name, names))
        assert [rank(f"r{number}", name, names) for name in order] == list(range(10))
        firsts[order[0]] += 1
        assert (
            takeover_delay_s(f"r{number}", order[0], names)
            == 0.0
            < takeover_delay_s(f"r{number}", order[1], names)
        )
        # Who comes or goes moves no other's place.
        assert sorted(names[1:], key=lambda name: rank(f"r{number}", name, names[1:])) == [
            name for name in order if name != "s0"
        ]
    assert min(firsts.values()) > 140 and max(firsts.values()) < 260


@pytest.mark.parametrize("seed", range(20))
def test_no_more_are_taken_up_than_the_pace_allows(seed: int) -> None:
    chance, pace, now, taken = random.Random(seed), TokenBucket(50.0, 16), 100.0, list[float]()
    while now < 110.0:
        wait = pace.wait_s(now, busy=False)
        if not wait:
            taken.append(now)
        now += max(wait, chance.expovariate(500))
    assert 480 < len(taken) <= 16 + 50 * 10
    for at in taken:
        assert sum(at <= other < at + 1.0 for other in taken) <= 16 + 51


@pytest.mark.parametrize("stage", OperationStage)
@pytest.mark.parametrize("other", OperationStage)
def test_no_stage_but_those_of_the_table(stage: OperationStage, other: OperationStage) -> None:
    pending = PendingOperation(1, None, record(), 10.0, stage=stage)  # type: ignore[arg-type]
    if other in STAGE_TRANSITIONS[stage]:
        pending.move_to(other)
    else:
        with pytest.raises(AssertionError):
            pending.move_to(other)


def test_the_fence_holds_back_what_stood_still() -> None:
    pending = PendingOperation(1, None, record(), deadline_s=1.0)  # type: ignore[arg-type]
    pending.begin_attempt(0, attempt(), 0.1)
    assert pending.is_send_allowed(0.9) and not pending.is_send_allowed(1.0), "its client's time"
    pending.deadline_s = 100.0
    assert pending.is_send_allowed(50.0), "the first opens the window"
    pending.end_attempt(0, Outcome.TIMEOUT)
    pending.begin_attempt(1, attempt(), 5.0)
    assert pending.is_send_allowed(6.07) and not pending.is_send_allowed(6.09), (
        "repeats are dropped in the window alone"
    )
    pending.move_to(OperationStage.FOREIGN)
    assert not pending.is_send_allowed(5.0)
    pending = PendingOperation(1, None, record(), deadline_s=1.0, stage=OperationStage.UNRECORDED)  # type: ignore[arg-type]
    assert pending.is_send_allowed(0.5)
    pending.may_send = False
    assert not pending.is_send_allowed(0.5)


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
    assert closed(FinalStatus.UNKNOWN).resolved(
        FinalStatus.SERVED, "a", "b", 4.0
    ).resolution == ManualResolution(FinalStatus.SERVED, "a", "b", 4.0)
