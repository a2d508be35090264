"""The intent log of several processes, killed, stopped and cut off while operations are pending.

The nodes' own records are the witness: what they ran is compared with what clients were told and what stands
in the store.
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
    scenario: Callable[[RealTrial], Awaitable[None]],
    instances: int = 3,
    *,
    store: str = "sqlite",
    work_settings: dict[str, Any] | None = None,
    **kwargs: Any,
) -> None:
    async def whole() -> None:
        schedule = Trial(instances=instances, ttl_s=TTL_S, margin_s=0.1)
        async with RealTrial(
            folder, schedule, store=store, nodes=4, work=work_settings or {}, **kwargs
        ) as trial:
            await trial.all_recording(LONG)
            await scenario(trial)
            findings = judge(trial.tills.asked, [run for node in trial.environment.nodes for run in node.ran])
            assert findings == []

    asyncio.run(whole())


def run_staff_command(trial: RealTrial, *words: str, at: int = -1) -> subprocess.CompletedProcess[str]:
    config = str(trial.instances[at].folder / "coveport.toml")
    return subprocess.run(
        [sys.executable, "-m", "coveport", "work", "--config", config, *words],
        capture_output=True,
        text=True,
        check=False,
    )


async def records(trial: RealTrial) -> dict[str, dict[str, Any]]:
    """Return what staff are shown of each record, by key."""
    done = await asyncio.to_thread(run_staff_command, trial, "list", "--json")
    assert done.returncode == 0, done.stderr
    return {row["key"]: row for row in json.loads(done.stdout)}


async def all_closed(trial: RealTrial, keys: set[str]) -> dict[str, dict[str, Any]]:
    """Wait until the records of all keys are closed, and return them."""
    for _ in range(200):
        found = await records(trial)
        if all(key in found and found[key]["closed"] is not None for key in keys):
            return found
        await asyncio.sleep(0.2)
    raise AssertionError({key: found.get(key) for key in keys})


def set_service_time(trial: RealTrial, service_s: float) -> None:
    for node in trial.environment.nodes:
        node.service_s = service_s


def set_mute(trial: RealTrial, mute: bool) -> None:
    """Let nodes run operations without a response, or respond again."""
    for node in trial.environment.nodes:
        node.mute = mute


def is_response_known(row: dict[str, Any]) -> bool:
    """Whether an earn's response is known; on a busy machine all its attempts may precede the fault."""
    assert row["is"] == "served" or len(row["attempts"]) >= 3, row
    return bool(row["is"] == "served")


def runs_of(trial: RealTrial, key: str) -> list[Any]:
    return [run for node in trial.environment.nodes for run in node.ran if run.key == key]


async def ask(trial: RealTrial, at: int, cls: str, key: str, **kwargs: Any) -> Asked:
    return await trial.tills.ask(at, trial.instances[at].port, cls, key, keyed=True, **kwargs)


async def ask_until_accepted(trial: RealTrial, at: int, cls: str, key: str, **kwargs: Any) -> Asked:
    """Ask until it is not rejected: on a busy machine an instance may lose its store for a while."""
    end = time.monotonic() + LONG
    while (response := await ask(trial, at, cls, key, **kwargs)).status == 503:
        assert time.monotonic() < end
        await asyncio.sleep(0.05)
    return response


@contextlib.contextmanager
def locked(trial: RealTrial) -> Iterator[None]:
    """Keep everybody from writing records."""
    with contextlib.closing(
        sqlite3.connect(trial.folder / "store.db-work", isolation_level=None, timeout=30)
    ) as base:
        base.execute("BEGIN IMMEDIATE")
        try:
            yield
        finally:
            base.execute("ROLLBACK")


async def stall_between_commits(trial: RealTrial, victim: Running) -> None:
    """SIGSTOP at a moment at which it holds no lock of the store: that would stop all others too.

    (docs/duties.md: a process stopped in the middle of a commit holds SQLite's file until it goes on.)
    """
    while True:
        trial.stall(victim)
        free = [await asyncio.to_thread(can_be_written, trial.folder / name) for name in STORES]
        if all(free):
            return
        trial.resume(victim)
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


async def kill_when(trial: RealTrial, victim: Running, condition: Callable[[], object]) -> None:
    await trial.until(condition, LONG, "the step at which it is killed")
    trial.kill(victim)


async def kill_at(trial: RealTrial, step: str, keys: dict[str, str]) -> None:
    """Have instance 0 asked for an operation of each class, and kill it at a step of theirs.

    `keys`: of the operations, by class.
    """
    victim = trial.instances[0]
    if step == "served":
        for cls, key in keys.items():
            assert (await ask_until_accepted(trial, 0, cls, key)).status == 200
        trial.kill(victim)
        return
    set_service_time(trial, 0.7)
    if step == "written, not sent":
        for relay in victim.node_relays.values():
            relay.cut(True, True)
    with locked(trial) if step == "not written" else contextlib.nullcontext():
        requests = [asyncio.ensure_future(ask(trial, 0, cls, key)) for cls, key in keys.items()]
        if step == "sent":
            await kill_when(trial, victim, lambda: all(runs_of(trial, key) for key in keys.values()))
        else:
            # Where no connection comes up, the records stand in the store by then.
            await asyncio.sleep(0.05 if step == "written, not sent" else 0.1)
            trial.kill(victim)
    assert {(await request).status for request in requests} <= {0, 500, 503}
    set_service_time(trial, 0.01)


@pytest.mark.parametrize("step", ["not written", "written, not sent", "sent", "served"])
def test_a_kill_at_each_step_leaves_one_disposition(tmp_path: Path, step: str) -> None:
    """What each client is told afterwards, whoever it asks, and what the nodes ran.

    Both classes are rejected while the store is unavailable: those that are not are served without it.
    """

    async def scenario(trial: RealTrial) -> None:
        keys = {"earn": "e1", "redeem": "r1"}
        await kill_at(trial, step, keys)
        # At once, at all that are left, and again once the loss is noticed.
        for _ in range(2):
            await asyncio.gather(
                *(ask(trial, at, cls, key, again=True) for at in (1, 2) for cls, key in keys.items())
            )
            await asyncio.sleep(TTL_S * 2)
        found = await all_closed(trial, set(keys.values()))
        last = {cls: await ask_until_accepted(trial, 1, cls, key, again=True) for cls, key in keys.items()}
        earn, redeem = ([run for run in runs_of(trial, key) if not run.repeat] for key in ("e1", "r1"))
        assert last["earn"].status == (200 if is_response_known(found["e1"]) else 500) and len(earn) == 1
        if step == "sent":
            assert found["r1"]["is"] == "unknown" and last["redeem"].status == 500 and len(redeem) == 1
        elif step == "written, not sent":
            # It may have run, for all that anybody but the dead knows: so it is never sent.
            assert found["r1"]["is"] in ("unknown", "served") and len(redeem) <= 1
        else:
            assert last["redeem"].status == 200 and len(redeem) == 1

    run(tmp_path, scenario, relayed=True, work_settings={"refuse": ["earn", "redeem"]})


def test_three_asked_at_once_run_it_once_and_give_the_same_answer(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        set_service_time(trial, 0.1)
        for number in range(6):
            cls = "redeem" if number % 2 else "earn"
            responses = await asyncio.gather(*(ask(trial, at, cls, f"k{number}") for at in (0, 1, 2, 0)))
            assert {response.status for response in responses} == {200}
            assert len({response.body for response in responses}) == 1
            assert len(runs_of(trial, f"k{number}")) == 1
        other = await ask(trial, 1, "earn", "k0", body=b'{"key": "k0", "points": 9}')
        assert other.status == 409

    run(tmp_path, scenario)


def test_an_owner_that_stood_still_writes_and_sends_nothing_that_is_anothers(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        set_mute(trial, True)
        victim = trial.instances[0]
        asks = [
            asyncio.ensure_future(ask(trial, 0, cls, key)) for cls, key in (("earn", "e"), ("redeem", "r"))
        ]
        await trial.until(lambda: runs_of(trial, "e") and runs_of(trial, "r"), LONG, "both to run")
        await stall_between_commits(trial, victim)
        await asyncio.gather(*asks)
        set_mute(trial, False)
        found = await all_closed(trial, {"e", "r"})
        assert found["e"]["owner"] != found["e"]["owners"][0], "another has taken it over"
        trial.resume(victim)
        await asyncio.sleep(TTL_S * 2)
        assert (await records(trial))["r"] == found["r"], "what it wrote after that was refused"
        assert (await ask(trial, 0, "earn", "e")).status == (200 if is_response_known(found["e"]) else 500)
        assert (await ask(trial, 0, "redeem", "r")).status == 500
        assert (
            len([run for run in runs_of(trial, "e") if not run.repeat]) == 1 and len(runs_of(trial, "r")) == 1
        )

    run(tmp_path, scenario)


def test_a_takeover_is_taken_over(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        for node in trial.environment.nodes:
            node.mute = True
        asks = [asyncio.ensure_future(ask(trial, 0, "earn", f"e{number}")) for number in range(4)]
        await trial.until(
            lambda: all(runs_of(trial, f"e{number}") for number in range(4)), LONG, "all to run"
        )
        trial.kill(trial.instances[0])
        await asyncio.gather(*asks)
        await trial.until(
            lambda: any(len(runs_of(trial, f"e{number}")) > 1 for number in range(4)), LONG, "a try"
        )
        successors = [at for at in (1, 2) if f"s{at}#" in json.dumps(await records(trial))]
        trial.kill(trial.instances[successors[0]])
        for node in trial.environment.nodes:
            node.mute = False
        keys = {f"e{number}" for number in range(4)}
        remaining = 3 - successors[0]
        for _ in range(100):
            found = await asyncio.to_thread(run_staff_command, trial, "list", "--json", at=remaining)
            rows = {row["key"]: row for row in json.loads(found.stdout)}
            if all(rows[key]["closed"] for key in keys):
                break
            await asyncio.sleep(0.2)
        assert all(rows[key]["is"] in ("served", "unknown") for key in keys)
        assert all(len(rows[key]["attempts"]) <= 3 for key in keys)

    run(tmp_path, scenario)


def test_a_planned_end_answers_what_it_has_and_leaves_nothing_open(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        set_service_time(trial, 0.2)
        asks = [
            asyncio.ensure_future(ask(trial, 0, cls, f"{cls}{number}"))
            for number in range(3)
            for cls in ("earn", "redeem")
        ]
        await trial.until(
            lambda: sum(len(node.ran) for node in trial.environment.nodes) >= 6, LONG, "all to run"
        )
        assert await trial.leave(trial.instances[0]) == 0
        assert {(await request).status for request in asks} == {200}
        found = await records(trial)
        assert {row["is"] for row in found.values()} == {"served"} and len(found) == 6
        assert {row["owner"].partition("#")[0] for row in found.values()} == {"s0"}

    run(tmp_path, scenario)


async def redeem_until_status(trial: RealTrial, status: int) -> Asked:
    """Redeem at instance 0, five times at the least, until the response has a status."""
    responses: list[Asked] = []
    for number in range(200):
        response = await ask(trial, 0, "redeem", f"gone{number}")
        responses.append(response)
        if response.status == status and number > 4:
            return response
    raise AssertionError([response.status for response in responses])


async def redeem_until_recorded(trial: RealTrial) -> str:
    """Redeem at instance 0 until the operation is recorded; return its key."""
    end = time.monotonic() + LONG
    number = 0
    while time.monotonic() < end:
        response = await ask(trial, 0, "redeem", f"back{number}")
        if response.status == 200 and response.key in await records(trial):
            return response.key
        number += 1
    raise AssertionError("nothing is recorded though the store is back")


@pytest.mark.parametrize("refuse", [[], ["earn", "redeem"]])
def test_a_store_that_is_gone_is_served_without_or_refused_at_once(tmp_path: Path, refuse: list[str]) -> None:
    async def scenario(trial: RealTrial) -> None:
        with locked(trial):
            response = await redeem_until_status(trial, 503 if refuse else 200)
            if refuse:
                assert response.retry_after is not None
                assert not runs_of(trial, response.key)
        key = await redeem_until_recorded(trial)
        found = await all_closed(trial, {key})
        assert found[key]["is"] == "served"
        for recorded_key, row in found.items():
            if row["is"] in ("never-run", "refused"):
                assert not runs_of(trial, recorded_key)

    run(tmp_path, scenario, work_settings={"refuse": refuse})


def test_an_owner_cut_from_the_store_and_not_from_nodes(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        set_service_time(trial, 0.2)
        victim = trial.instances[0]
        asks = [
            asyncio.ensure_future(ask(trial, 0, cls, key)) for cls, key in (("earn", "e"), ("redeem", "r"))
        ]
        await trial.until(lambda: runs_of(trial, "e") and runs_of(trial, "r"), LONG, "both to run")
        for relay in victim.relays:
            relay.cut(True, True)
        responses = [await request for request in asks]
        assert {response.status for response in responses} == {200}, (
            "the nodes answered: it is true, written or not"
        )
        set_service_time(trial, 0.01)
        # The others take it for lost, and go by what stands in the store.
        found = await all_closed(trial, {"e", "r"})
        assert found["e"]["is"] == "served" and found["r"]["is"] in ("served", "unknown")
        for relay in victim.relays:
            relay.heal()
        assert len(runs_of(trial, "r")) == 1
        again = await ask(trial, 1, "earn", "e", again=True)
        assert again.status == 200

    run(tmp_path, scenario, store="etcd", work_settings={"refuse": ["earn", "redeem"]})


def test_staff_list_settle_and_export_each_once(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        set_service_time(trial, 5.0)
        asks = [asyncio.ensure_future(ask(trial, 0, "redeem", f"r{number}")) for number in range(3)]
        await trial.until(
            lambda: all(runs_of(trial, f"r{number}") for number in range(3)), LONG, "all to run"
        )
        trial.kill(trial.instances[0])
        await asyncio.gather(*asks)
        set_service_time(trial, 0.01)
        found = await all_closed(trial, {"r0", "r1", "r2"})
        ids = {key: row["id"] for key, row in found.items()}

        async def say(*words: str) -> subprocess.CompletedProcess[str]:
            return await asyncio.to_thread(run_staff_command, trial, *words)

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
        assert (await ask(trial, 1, "redeem", "r1")).status == 500, "served, and its answer is nowhere"

    run(tmp_path, scenario)


def test_a_damaged_record_is_left_alone_and_said(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        assert (await ask(trial, 0, "redeem", "r")).status == 200
        with contextlib.closing(sqlite3.connect(trial.folder / "store.db-work")) as base:
            key, value = base.execute("SELECT key, value FROM entries WHERE key LIKE '%/r/%'").fetchone()
            turned = value[:40] + bytes([value[40] ^ 1]) + value[41:]
            base.execute("UPDATE entries SET value = ? WHERE key = ?", (turned, key))
            base.commit()
        assert (await ask(trial, 1, "redeem", "r")).status == 500, (
            "nothing is done that might be a second run"
        )
        assert len(runs_of(trial, "r")) == 1
        done = await asyncio.to_thread(run_staff_command, trial, "list")
        assert done.returncode == 1 and "damaged" in done.stderr

    run(tmp_path, scenario)


def test_no_member_data_stands_in_the_store_or_in_a_log(tmp_path: Path) -> None:
    secret = b'{"key": "s", "member": "Amaia Etxeberria 4711"}'

    async def scenario(trial: RealTrial) -> None:
        asked = await ask(trial, 0, "redeem", "s", body=secret)
        assert asked.status == 200
        again = await ask(trial, 1, "redeem", "s", body=secret)
        assert again.body == asked.body, "it was kept all the same"
        for path in trial.folder.rglob("*"):
            if path.is_file():
                assert b"Etxeberria" not in path.read_bytes(), path

    run(tmp_path, scenario)


def test_a_key_file_that_others_read_ends_the_start(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        (trial.folder / "work.key").chmod(0o644)
        began = time.monotonic()
        config = trial.instances[0].folder / "coveport.toml"
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

    run(tmp_path, scenario, instances=1)


def test_the_nodes_of_a_cell_share_their_keys() -> None:
    """The witness itself: a repeat is one in its cell alone."""
    from coveport.testbed.fault_injection.http_stub import Request
    from coveport.testbed.fault_injection.recording_nodes import Cell

    async def asks(node: LedgerNode) -> bool:
        headers = {"idempotency-key": "k", "x-request-id": "t"}
        await node._answer(Request("POST", "/earn/7", headers, b'{"key": "k"}'))
        return node.ran[-1].repeat

    first_cell = Cell(6.0)
    second_cell = Cell(6.0)
    nodes = [
        LedgerNode(0, first_cell, 0, 0),
        LedgerNode(1, first_cell, 0, 0),
        LedgerNode(2, second_cell, 1, 0),
    ]
    assert [asyncio.run(asks(node)) for node in nodes] == [False, True, False]
    findings = judge([], [run for node in nodes for run in node.ran])
    assert [finding.rule for finding in findings] == ["twice"]


def test_wall_clocks_an_hour_apart_have_nothing_forgotten(tmp_path: Path) -> None:
    clocks = {
        0: Clocks(wall_off_s=-3700.0),
        1: Clocks(wall_off_s=3700.0),
        2: Clocks(wall_off_s=5.0, jump_at_s=3.0, jump_s=3700.0),
    }

    async def scenario(trial: RealTrial) -> None:
        asks = [(at, cls, f"{cls}{at}") for at in range(3) for cls in ("earn", "redeem")]
        first = {key: await ask(trial, at, cls, key) for at, cls, key in asks}
        await asyncio.sleep(6.5)  # each has swept by then, twice and more
        set_service_time(trial, 0.7)
        late = [asyncio.ensure_future(ask(trial, 0, "earn", "e"))]
        await kill_when(trial, trial.instances[0], lambda: runs_of(trial, "e"))
        set_service_time(trial, 0.01)
        await asyncio.gather(*late)
        for at, cls, key in asks:
            again = await ask(trial, 1 + at % 2, cls, key, again=True)
            assert first[key].status == 200 and again.body == first[key].body
            assert len(runs_of(trial, key)) == 1
        assert is_response_known((await all_closed(trial, {"e"}))["e"])

    run(tmp_path, scenario, work_settings={"kept_s": 60.0}, clocks=clocks)


def test_a_record_goes_by_the_rules_it_was_taken_under(tmp_path: Path) -> None:
    """Rules that are changed while it is open, by SIGHUP at all: what may have run is no freer for it."""
    freer = json.loads(json.dumps(SETTINGS))
    freer["classes"][2] |= {"semantics": "deduplicated", "key_scope": "cell", "window_ms": 60000}
    freer["classes"][1]["window_ms"] = 60000
    freer["limits"]["most_tries"] = 9

    async def scenario(trial: RealTrial) -> None:
        set_mute(trial, True)
        asks = [
            asyncio.ensure_future(ask(trial, 0, cls, key)) for cls, key in (("earn", "e"), ("redeem", "r"))
        ]
        await trial.until(lambda: runs_of(trial, "e") and runs_of(trial, "r"), LONG, "both to run")
        trial.retune(freer)
        trial.kill(trial.instances[0])
        await asyncio.gather(*asks)
        set_mute(trial, False)
        found = await all_closed(trial, {"e", "r"})
        assert found["r"]["is"] == "unknown" and len(found["r"]["attempts"]) == 1
        assert len(found["e"]["attempts"]) <= 3
        assert (await ask(trial, 1, "redeem", "r", again=True)).status == 500
        assert len(runs_of(trial, "r")) == 1, "taken as one that may not be repeated"
        assert (await ask(trial, 1, "redeem", "new")).status == 200

    run(tmp_path, scenario)


def start_export(config: str, out: Path) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-m", "coveport", "work", "--config", config, "export", str(out)],
        stdout=subprocess.DEVNULL,
    )


def test_an_export_that_is_killed_anywhere_has_each_line_once_in_the_end(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        set_mute(trial, True)
        keys = [f"r{number}" for number in range(12)]
        asks = [asyncio.ensure_future(ask(trial, 0, "redeem", key)) for key in keys]
        await trial.until(lambda: all(runs_of(trial, key) for key in keys), LONG, "all to run")
        trial.kill(trial.instances[0])
        await asyncio.gather(*asks)
        set_mute(trial, False)
        await all_closed(trial, set(keys))
        out = tmp_path / "unknown.jsonl"
        config = str(trial.instances[1].folder / "coveport.toml")
        cut = 0
        for at in range(8):
            # Killed once it has written so many bytes, wherever it is by the time the signal comes.
            before = out.stat().st_size if out.exists() else 0
            export = start_export(config, out)
            end = time.monotonic() + LONG
            while export.poll() is None and time.monotonic() < end:
                if out.exists() and out.stat().st_size > before + 100 * (at % 3):
                    export.kill()
                    cut += 1
                    break
                await asyncio.sleep(0)
            export.wait()
        done = await asyncio.to_thread(run_staff_command, trial, "export", str(out))
        assert done.returncode == 0, done.stderr
        assert sorted(json.loads(line)["key"] for line in out.read_text().splitlines()) == sorted(keys)
        assert cut, "none was killed in the middle"

    run(tmp_path, scenario)
