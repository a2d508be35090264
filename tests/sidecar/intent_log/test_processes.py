"""Work in hand by several processes of the program, killed, stopped and cut off in the middle of it.

Nodes' own books are the witness: what they ran is held against what tills were told and what stands in the
store.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import sqlite3
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from coveport.testbed.fault_injection.clocked import Clocks
from coveport.testbed.fault_injection.real import SETTINGS, RealTrial, Running
from coveport.testbed.fault_injection.recording_nodes import Asked, LedgerNode, judge
from coveport.testbed.fault_injection.schedules import Trial

LONG = 60.0
TTL_S = 1.0
STORES = ("store.db", "store.db-work")  # of leases, and of records


def run(
    folder: Path,
    work: Callable[[RealTrial], Awaitable[None]],
    instances: int = 3,
    *,
    store: str = "sqlite",
    told: dict[str, Any] | None = None,
    **more: Any,
) -> None:
    async def whole() -> None:
        trial = Trial(instances=instances, ttl_s=TTL_S, margin_s=0.1)
        async with RealTrial(folder, trial, store=store, nodes=4, work=told or {}, **more) as one:
            await one.all_recording(LONG)
            await work(one)
            findings = judge(one.tills.asked, [ran for node in one.town.nodes for ran in node.ran])
            assert findings == []

    asyncio.run(whole())


def staff(one: RealTrial, *words: str, at: int = -1) -> subprocess.CompletedProcess[str]:
    config = str(one.instances[at].folder / "coveport.toml")
    return subprocess.run(
        [sys.executable, "-m", "coveport", "work", "--config", config, *words],
        capture_output=True,
        text=True,
        check=False,
    )


async def records(one: RealTrial) -> dict[str, dict[str, Any]]:
    """What staff are shown, by key."""
    done = await asyncio.to_thread(staff, one, "list", "--json")
    assert done.returncode == 0, done.stderr
    return {row["key"]: row for row in json.loads(done.stdout)}


async def all_closed(one: RealTrial, keys: set[str]) -> dict[str, dict[str, Any]]:
    """Once each of them is closed; in how long is the ages' matter, a busy machine's too."""
    for _ in range(200):
        found = await records(one)
        if all(key in found and found[key]["closed"] is not None for key in keys):
            return found
        await asyncio.sleep(0.2)
    raise AssertionError({key: found.get(key) for key in keys})


def slow(one: RealTrial, service_s: float) -> None:
    for node in one.town.nodes:
        node.service_s = service_s


def mute(one: RealTrial, whether: bool) -> None:
    """Nodes run what comes and say nothing of it."""
    for node in one.town.nodes:
        node.mute = whether


def learnt(row: dict[str, Any]) -> bool:
    """Whether an earn's answer is known; on a busy machine all its tries may be made before the fault."""
    assert row["is"] == "served" or len(row["attempts"]) >= 3, row
    return bool(row["is"] == "served")


def ran(one: RealTrial, key: str) -> list[Any]:
    return [it for node in one.town.nodes for it in node.ran if it.key == key]


async def ask(one: RealTrial, at: int, cls: str, key: str, **more: Any) -> Asked:
    return await one.tills.ask(at, one.instances[at].port, cls, key, keyed=True, **more)


async def disposed(one: RealTrial, at: int, cls: str, key: str, **more: Any) -> Asked:
    """Ask until it is not turned away: on a busy machine an instance may lose sight of its store."""
    end = time.monotonic() + LONG
    while (it := await ask(one, at, cls, key, **more)).status == 503:
        assert time.monotonic() < end
        await asyncio.sleep(0.05)
    return it


@contextlib.contextmanager
def locked(one: RealTrial) -> Iterator[None]:
    """Nobody can write records meanwhile."""
    with contextlib.closing(
        sqlite3.connect(one.folder / "store.db-work", isolation_level=None, timeout=30)
    ) as base:
        base.execute("BEGIN IMMEDIATE")
        try:
            yield
        finally:
            base.execute("ROLLBACK")


async def stall_between_commits(one: RealTrial, victim: Running) -> None:
    """SIGSTOP at a moment at which it holds no lock of the store: that would stop all others too.

    (docs/duties.md: a process stopped in the middle of a commit holds SQLite's file until it goes on.)
    """
    while True:
        one.stall(victim)
        free = [await asyncio.to_thread(can_be_written, one.folder / name) for name in STORES]
        if all(free):
            return
        one.resume(victim)
        await asyncio.sleep(0.003)


def can_be_written(path: Path) -> bool:
    """Whether nobody keeps the lock for longer than a commit takes."""
    with contextlib.closing(sqlite3.connect(path, isolation_level=None, timeout=2)) as base:
        try:
            base.execute("BEGIN IMMEDIATE")
        except sqlite3.OperationalError:
            return False
        base.execute("ROLLBACK")
    return True


async def kill_when(one: RealTrial, victim: Running, what: Callable[[], object]) -> None:
    await one.until(what, LONG, "the step at which it is killed")
    one.kill(victim)


@pytest.mark.parametrize("step", ["not written", "written, not sent", "sent", "served"])
def test_a_kill_at_each_step_leaves_one_disposition(tmp_path: Path, step: str) -> None:
    """What each till is told afterwards, whoever it asks, and what the nodes ran.

    Both classes are turned away while the store is out of sight: those that are not are served without it.
    """

    async def work(one: RealTrial) -> None:
        victim = one.instances[0]
        keys = {"earn": "e1", "redeem": "r1"}
        if step == "served":
            for cls, key in keys.items():
                assert (await disposed(one, 0, cls, key)).status == 200
            one.kill(victim)
        else:
            slow(one, 0.7)
            if step == "written, not sent":
                for relay in victim.node_relays.values():
                    relay.cut(True, True)
            with locked(one) if step == "not written" else contextlib.nullcontext():
                asks = [asyncio.ensure_future(ask(one, 0, cls, key)) for cls, key in keys.items()]
                if step == "sent":
                    await kill_when(one, victim, lambda: all(ran(one, key) for key in keys.values()))
                elif step == "written, not sent":
                    # No connection comes up there; by then it stands in the store.
                    await asyncio.sleep(0.05)
                    one.kill(victim)
                else:
                    await asyncio.sleep(0.1)
                    one.kill(victim)
            assert {(await it).status for it in asks} <= {0, 500, 503}
            slow(one, 0.01)
        # At once, at all that are left, and again once the loss is noticed.
        for _ in range(2):
            await asyncio.gather(
                *(ask(one, at, cls, key, again=True) for at in (1, 2) for cls, key in keys.items())
            )
            await asyncio.sleep(TTL_S * 2)
        found = await all_closed(one, set(keys.values()))
        last = {cls: await disposed(one, 1, cls, key, again=True) for cls, key in keys.items()}
        earn, redeem = ([it for it in ran(one, key) if not it.repeat] for key in ("e1", "r1"))
        assert last["earn"].status == (200 if learnt(found["e1"]) else 500) and len(earn) == 1
        if step == "sent":
            assert found["r1"]["is"] == "unknown" and last["redeem"].status == 500 and len(redeem) == 1
        elif step == "written, not sent":
            # It may have run, for all that anybody but the dead knows: so it is never sent.
            assert found["r1"]["is"] in ("unknown", "served") and len(redeem) <= 1
        else:
            assert last["redeem"].status == 200 and len(redeem) == 1

    run(tmp_path, work, relayed=True, told={"refuse": ["earn", "redeem"]})


def test_three_asked_at_once_run_it_once_and_give_the_same_answer(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        slow(one, 0.1)
        for number in range(6):
            cls = "redeem" if number % 2 else "earn"
            asked = await asyncio.gather(*(ask(one, at, cls, f"k{number}") for at in (0, 1, 2, 0)))
            assert {it.status for it in asked} == {200} and len({it.body for it in asked}) == 1
            assert len(ran(one, f"k{number}")) == 1
        other = await ask(one, 1, "earn", "k0", body=b'{"key": "k0", "points": 9}')
        assert other.status == 409

    run(tmp_path, work)


def test_an_owner_that_stood_still_writes_and_sends_nothing_that_is_anothers(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        mute(one, True)
        victim = one.instances[0]
        asks = [asyncio.ensure_future(ask(one, 0, cls, key)) for cls, key in (("earn", "e"), ("redeem", "r"))]
        await one.until(lambda: ran(one, "e") and ran(one, "r"), LONG, "both to run")
        await stall_between_commits(one, victim)
        await asyncio.gather(*asks)
        mute(one, False)
        found = await all_closed(one, {"e", "r"})
        assert found["e"]["owner"] != found["e"]["owners"][0], "another has taken it over"
        one.resume(victim)
        await asyncio.sleep(TTL_S * 2)
        assert (await records(one))["r"] == found["r"], "what it wrote after that was refused"
        assert (await ask(one, 0, "earn", "e")).status == (200 if learnt(found["e"]) else 500)
        assert (await ask(one, 0, "redeem", "r")).status == 500
        assert len([it for it in ran(one, "e") if not it.repeat]) == 1 and len(ran(one, "r")) == 1

    run(tmp_path, work)


def test_a_takeover_is_taken_over(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        for node in one.town.nodes:
            node.mute = True
        asks = [asyncio.ensure_future(ask(one, 0, "earn", f"e{number}")) for number in range(4)]
        await one.until(lambda: all(ran(one, f"e{number}") for number in range(4)), LONG, "all to run")
        one.kill(one.instances[0])
        await asyncio.gather(*asks)
        await one.until(lambda: any(len(ran(one, f"e{number}")) > 1 for number in range(4)), LONG, "a try")
        taken = [it for it in (1, 2) if f"s{it}#" in json.dumps(await records(one))]
        one.kill(one.instances[taken[0]])
        for node in one.town.nodes:
            node.mute = False
        keys = {f"e{number}" for number in range(4)}
        left = 3 - taken[0]
        for _ in range(100):
            found = await asyncio.to_thread(staff, one, "list", "--json", at=left)
            rows = {row["key"]: row for row in json.loads(found.stdout)}
            if all(rows[key]["closed"] for key in keys):
                break
            await asyncio.sleep(0.2)
        assert all(rows[key]["is"] in ("served", "unknown") for key in keys)
        assert all(len(rows[key]["attempts"]) <= 3 for key in keys)

    run(tmp_path, work)


def test_a_planned_end_answers_what_it_has_and_leaves_nothing_open(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        slow(one, 0.2)
        asks = [
            asyncio.ensure_future(ask(one, 0, cls, f"{cls}{number}"))
            for number in range(3)
            for cls in ("earn", "redeem")
        ]
        await one.until(lambda: sum(len(node.ran) for node in one.town.nodes) >= 6, LONG, "all to run")
        assert await one.leave(one.instances[0]) == 0
        assert {(await it).status for it in asks} == {200}
        found = await records(one)
        assert {row["is"] for row in found.values()} == {"served"} and len(found) == 6
        assert {row["owner"].partition("#")[0] for row in found.values()} == {"s0"}

    run(tmp_path, work)


@pytest.mark.parametrize("refuse", [[], ["earn", "redeem"]])
def test_a_store_that_is_gone_is_served_without_or_refused_at_once(tmp_path: Path, refuse: list[str]) -> None:
    async def work(one: RealTrial) -> None:
        with locked(one):
            told: list[Asked] = []

            async def until_told(status: int) -> Asked:
                for number in range(200):
                    it = await ask(one, 0, "redeem", f"gone{len(told)}")
                    told.append(it)
                    if it.status == status and number > 4:
                        return it
                raise AssertionError([it.status for it in told])

            it = await until_told(503 if refuse else 200)
            if refuse:
                assert it.retry_after is not None and not ran(one, it.key)

        async def recorded_again() -> str:
            end, number = time.monotonic() + LONG, 0
            while time.monotonic() < end:
                it = await ask(one, 0, "redeem", f"back{number}")
                if it.status == 200 and it.key in await records(one):
                    return it.key
                number += 1
            raise AssertionError("nothing is written down though the store is back")

        back = await recorded_again()
        found = await all_closed(one, {back})
        assert found[back]["is"] == "served"
        for key, row in found.items():
            if row["is"] in ("never-run", "refused"):
                assert not ran(one, key)

    run(tmp_path, work, told={"refuse": refuse})


def test_an_owner_cut_from_the_store_and_not_from_nodes(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        slow(one, 0.2)
        victim = one.instances[0]
        asks = [asyncio.ensure_future(ask(one, 0, cls, key)) for cls, key in (("earn", "e"), ("redeem", "r"))]
        await one.until(lambda: ran(one, "e") and ran(one, "r"), LONG, "both to run")
        for relay in victim.relays:
            relay.cut(True, True)
        told = [await it for it in asks]
        assert {it.status for it in told} == {200}, "the nodes answered: it is true, written or not"
        slow(one, 0.01)
        # The others take it for lost, and go by what stands in the store.
        found = await all_closed(one, {"e", "r"})
        assert found["e"]["is"] == "served" and found["r"]["is"] in ("served", "unknown")
        for relay in victim.relays:
            relay.heal()
        assert len(ran(one, "r")) == 1
        again = await ask(one, 1, "earn", "e", again=True)
        assert again.status == 200

    run(tmp_path, work, store="etcd", told={"refuse": ["earn", "redeem"]})


def test_staff_list_settle_and_export_each_once(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        slow(one, 5.0)
        asks = [asyncio.ensure_future(ask(one, 0, "redeem", f"r{number}")) for number in range(3)]
        await one.until(lambda: all(ran(one, f"r{number}") for number in range(3)), LONG, "all to run")
        one.kill(one.instances[0])
        await asyncio.gather(*asks)
        slow(one, 0.01)
        found = await all_closed(one, {"r0", "r1", "r2"})
        ids = {key: row["id"] for key, row in found.items()}

        async def say(*words: str) -> subprocess.CompletedProcess[str]:
            return await asyncio.to_thread(staff, one, *words)

        life = (await say("show", ids["r0"])).stdout
        assert "no word of its end: it may have run" in life and "closed as unknown" in life
        assert "points" not in life and "taken over from s0#" in life
        out = tmp_path / "unknown.jsonl"
        out.write_text('{"id": "cut off by a ki')  # what a kill in the middle leaves
        assert (await say("export", str(out))).stdout.startswith("3 written, 0 ")
        assert (await say("export", str(out))).stdout.startswith("0 written, 3 ")
        assert sorted(json.loads(line)["key"] for line in out.read_text().splitlines()) == ["r0", "r1", "r2"]
        done = await say("settle", ids["r0"], "never-run", "--by", "ana", "--why", "not in the ledger")
        assert done.returncode == 0, done.stderr
        assert (await say("settle", ids["r0"], "served", "--why", "x")).returncode == 1
        assert (await say("settle", ids["r1"], "served", "--by", "ana", "--why", "paper")).returncode == 0
        listed = json.loads((await say("list", "--unknown", "--json")).stdout)
        assert [row["key"] for row in listed] == ["r2"]
        bad = await say("show", "../x")
        assert bad.returncode == 2 and bad.stderr.count("\n") == 1
        assert (await ask(one, 1, "redeem", "r1")).status == 500, "served, and its answer is nowhere"

    run(tmp_path, work)


def test_a_damaged_record_is_left_alone_and_said(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        assert (await ask(one, 0, "redeem", "r")).status == 200
        with contextlib.closing(sqlite3.connect(one.folder / "store.db-work")) as base:
            key, value = base.execute("SELECT key, value FROM entries WHERE key LIKE '%/r/%'").fetchone()
            turned = value[:40] + bytes([value[40] ^ 1]) + value[41:]
            base.execute("UPDATE entries SET value = ? WHERE key = ?", (turned, key))
            base.commit()
        assert (await ask(one, 1, "redeem", "r")).status == 500, "nothing is done that might be a second run"
        assert len(ran(one, "r")) == 1
        done = await asyncio.to_thread(staff, one, "list")
        assert done.returncode == 1 and "damaged" in done.stderr

    run(tmp_path, work)


def test_no_member_data_stands_in_the_store_or_in_a_log(tmp_path: Path) -> None:
    secret = b'{"key": "s", "member": "Amaia Etxeberria 4711"}'

    async def work(one: RealTrial) -> None:
        asked = await ask(one, 0, "redeem", "s", body=secret)
        assert asked.status == 200
        again = await ask(one, 1, "redeem", "s", body=secret)
        assert again.body == asked.body, "it was kept all the same"
        for path in one.folder.rglob("*"):
            if path.is_file():
                assert b"Etxeberria" not in path.read_bytes(), path

    run(tmp_path, work)


def test_a_key_file_that_others_read_ends_the_start(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        (one.folder / "work.key").chmod(0o644)
        began = time.monotonic()
        config = one.instances[0].folder / "coveport.toml"
        done = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "coveport", "run", "--config", str(config)],
            capture_output=True,
            text=True,
            timeout=LONG,
            check=False,
        )
        assert done.returncode == 2 and "others may read it" in done.stderr + done.stdout
        assert time.monotonic() - began < LONG

    run(tmp_path, work, instances=1)


def test_the_nodes_of_a_cell_share_their_keys() -> None:
    """The witness itself: a repeat is one in its cell alone."""
    from coveport.testbed.fault_injection.environment import Request
    from coveport.testbed.fault_injection.recording_nodes import Cell

    async def asks(node: LedgerNode) -> bool:
        headers = {"idempotency-key": "k", "x-request-id": "t"}
        await node._answer(Request("POST", "/earn/7", headers, b'{"key": "k"}'))
        return node.ran[-1].repeat

    one, two = Cell(6.0), Cell(6.0)
    nodes = [LedgerNode(0, one, 0, 0), LedgerNode(1, one, 0, 0), LedgerNode(2, two, 1, 0)]
    assert [asyncio.run(asks(node)) for node in nodes] == [False, True, False]
    found = judge([], [it for node in nodes for it in node.ran])
    assert [it.rule for it in found] == ["twice"]


def test_wall_clocks_an_hour_apart_have_nothing_forgotten(tmp_path: Path) -> None:
    clocks = {
        0: Clocks(wall_off_s=-3700.0),
        1: Clocks(wall_off_s=3700.0),
        2: Clocks(wall_off_s=5.0, jump_at_s=3.0, jump_s=3700.0),
    }

    async def work(one: RealTrial) -> None:
        asks = [(at, cls, f"{cls}{at}") for at in range(3) for cls in ("earn", "redeem")]
        first = {key: await ask(one, at, cls, key) for at, cls, key in asks}
        await asyncio.sleep(6.5)  # each has swept by then, twice and more
        slow(one, 0.7)
        late = [asyncio.ensure_future(ask(one, 0, "earn", "e"))]
        await kill_when(one, one.instances[0], lambda: ran(one, "e"))
        slow(one, 0.01)
        await asyncio.gather(*late)
        for at, cls, key in asks:
            again = await ask(one, 1 + at % 2, cls, key, again=True)
            assert first[key].status == 200 and again.body == first[key].body
            assert len(ran(one, key)) == 1
        assert learnt((await all_closed(one, {"e"}))["e"])

    run(tmp_path, work, told={"kept_s": 60.0}, clocks=clocks)


def test_a_record_goes_by_the_rules_it_was_taken_under(tmp_path: Path) -> None:
    """Rules that are changed while it is open, by SIGHUP at all: what may have run is no freer for it."""
    freer = json.loads(json.dumps(SETTINGS))
    freer["classes"][2] |= {"semantics": "deduplicated", "key_scope": "cell", "window_ms": 60000}
    freer["classes"][1]["window_ms"] = 60000
    freer["limits"]["most_tries"] = 9

    async def work(one: RealTrial) -> None:
        mute(one, True)
        asks = [asyncio.ensure_future(ask(one, 0, cls, key)) for cls, key in (("earn", "e"), ("redeem", "r"))]
        await one.until(lambda: ran(one, "e") and ran(one, "r"), LONG, "both to run")
        one.retune(freer)
        one.kill(one.instances[0])
        await asyncio.gather(*asks)
        mute(one, False)
        found = await all_closed(one, {"e", "r"})
        assert found["r"]["is"] == "unknown" and len(found["r"]["attempts"]) == 1
        assert len(found["e"]["attempts"]) <= 3
        assert (await ask(one, 1, "redeem", "r", again=True)).status == 500
        assert len(ran(one, "r")) == 1, "taken as one that may not be repeated"
        assert (await ask(one, 1, "redeem", "new")).status == 200

    run(tmp_path, work)


def test_an_export_that_is_killed_anywhere_has_each_line_once_in_the_end(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        mute(one, True)
        keys = [f"r{number}" for number in range(12)]
        asks = [asyncio.ensure_future(ask(one, 0, "redeem", key)) for key in keys]
        await one.until(lambda: all(ran(one, key) for key in keys), LONG, "all to run")
        one.kill(one.instances[0])
        await asyncio.gather(*asks)
        mute(one, False)
        await all_closed(one, set(keys))
        out = tmp_path / "unknown.jsonl"
        config = str(one.instances[1].folder / "coveport.toml")
        cut = 0
        for at in range(8):
            # Killed once it has written so many bytes, wherever it is by the time the signal comes.
            before = out.stat().st_size if out.exists() else 0
            export = subprocess.Popen(
                [sys.executable, "-m", "coveport", "work", "--config", config, "export", str(out)],
                stdout=subprocess.DEVNULL,
            )
            end = time.monotonic() + LONG
            while export.poll() is None and time.monotonic() < end:
                if out.exists() and out.stat().st_size > before + 100 * (at % 3):
                    export.kill()
                    cut += 1
                    break
                await asyncio.sleep(0)
            export.wait()
        done = await asyncio.to_thread(staff, one, "export", str(out))
        assert done.returncode == 0, done.stderr
        assert sorted(json.loads(line)["key"] for line in out.read_text().splitlines()) == sorted(keys)
        assert cut, "none was killed in the middle"

    run(tmp_path, work)
