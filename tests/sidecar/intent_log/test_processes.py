"""The intent log of several processes that are killed, suspended or partitioned while operations are pending.

The nodes record the operations that they ran. The tests compare these records with the clients' responses and
with the records in the store.
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

LONG_TIMEOUT_S = 60.0
TTL_S = 1.0
STORE_FILES = ("store.db", "store.db-work")  # for leases, and for records


def run(
    folder: Path,
    scenario: Callable[[RealTrial], Awaitable[None]],
    instances: int = 3,
    *,
    store: str = "sqlite",
    work_settings: dict[str, Any] | None = None,
    **kwargs: Any,
) -> None:
    async def run_trial() -> None:
        schedule = Trial(instances=instances, ttl_s=TTL_S, margin_s=0.1)
        async with RealTrial(
            folder, schedule, store=store, nodes=4, work=work_settings or {}, **kwargs
        ) as trial:
            await trial.all_recording(LONG_TIMEOUT_S)
            await scenario(trial)
            findings = judge(trial.tills.asked, [run for node in trial.environment.nodes for run in node.ran])
            assert findings == []

    asyncio.run(run_trial())


def run_operator_command(trial: RealTrial, *words: str, at: int = -1) -> subprocess.CompletedProcess[str]:
    config = str(trial.instances[at].folder / "coveport.toml")
    return subprocess.run(
        [sys.executable, "-m", "coveport", "work", "--config", config, *words],
        capture_output=True,
        text=True,
        check=False,
    )


async def records(trial: RealTrial) -> dict[str, dict[str, Any]]:
    """Return the records by key, as the operator command lists them."""
    completed = await asyncio.to_thread(run_operator_command, trial, "list", "--json")
    assert completed.returncode == 0, completed.stderr
    return {row["key"]: row for row in json.loads(completed.stdout)}


async def all_closed(trial: RealTrial, keys: set[str]) -> dict[str, dict[str, Any]]:
    """Wait until the records of all keys are closed, and return them."""
    for _ in range(200):
        rows = await records(trial)
        if all(key in rows and rows[key]["closed"] is not None for key in keys):
            return rows
        await asyncio.sleep(0.2)
    raise AssertionError({key: rows.get(key) for key in keys})


def set_service_time(trial: RealTrial, service_s: float) -> None:
    for node in trial.environment.nodes:
        node.service_s = service_s


def set_mute(trial: RealTrial, mute: bool) -> None:
    """Make nodes run operations without a response, or respond again."""
    for node in trial.environment.nodes:
        node.mute = mute


def is_response_known(row: dict[str, Any]) -> bool:
    """Return whether an earn was served; on a busy machine all its attempts may precede the fault."""
    assert row["is"] == "served" or len(row["attempts"]) >= 3, row
    return bool(row["is"] == "served")


def runs_of(trial: RealTrial, key: str) -> list[Any]:
    return [run for node in trial.environment.nodes for run in node.ran if run.key == key]


async def ask(trial: RealTrial, at: int, cls: str, key: str, **kwargs: Any) -> Asked:
    return await trial.tills.ask(at, trial.instances[at].port, cls, key, keyed=True, **kwargs)


async def ask_until_accepted(trial: RealTrial, at: int, cls: str, key: str, **kwargs: Any) -> Asked:
    """Send until it is not rejected: on a busy machine an instance may lose its store for a while."""
    end_s = time.monotonic() + LONG_TIMEOUT_S
    while (response := await ask(trial, at, cls, key, **kwargs)).status == 503:
        assert time.monotonic() < end_s
        await asyncio.sleep(0.05)
    return response


@contextlib.contextmanager
def locked(trial: RealTrial) -> Iterator[None]:
    """Hold the lock of the records' store, so that no instance can write records."""
    with contextlib.closing(
        sqlite3.connect(trial.folder / "store.db-work", isolation_level=None, timeout=30)
    ) as connection:
        connection.execute("BEGIN IMMEDIATE")
        try:
            yield
        finally:
            connection.execute("ROLLBACK")


async def stall_between_commits(trial: RealTrial, victim: Running) -> None:
    """Stop an instance by SIGSTOP at a moment at which it holds no lock of a store.

    A process that is stopped in the middle of a commit keeps SQLite's file locked until it is resumed
    (docs/duties.md), which would stop the other instances as well.
    """
    while True:
        trial.stall(victim)
        is_free = [await asyncio.to_thread(can_be_written, trial.folder / name) for name in STORE_FILES]
        if all(is_free):
            return
        trial.resume(victim)
        await asyncio.sleep(0.003)


def can_be_written(path: Path) -> bool:
    """Return whether no process holds the lock for longer than a commit takes."""
    with contextlib.closing(sqlite3.connect(path, isolation_level=None, timeout=2)) as connection:
        try:
            connection.execute("BEGIN IMMEDIATE")
        except sqlite3.OperationalError:
            return False
        connection.execute("ROLLBACK")
    return True


async def kill_when(trial: RealTrial, victim: Running, condition: Callable[[], object]) -> None:
    await trial.until(condition, LONG_TIMEOUT_S, "the step at which it is killed")
    trial.kill(victim)


async def kill_at(trial: RealTrial, step: str, keys: dict[str, str]) -> None:
    """Send instance 0 an operation of each class, and kill it when they have reached a step.

    `keys`: the operations' keys by class.
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
            # As no connection to a node is set up, the records are in the store by then.
            await asyncio.sleep(0.05 if step == "written, not sent" else 0.1)
            trial.kill(victim)
    assert {(await request).status for request in requests} <= {0, 500, 503}
    set_service_time(trial, 0.01)


@pytest.mark.parametrize("step", ["not written", "written, not sent", "sent", "served"])
def test_a_kill_at_each_step_leaves_one_disposition(tmp_path: Path, step: str) -> None:
    """Clients get consistent responses after the kill, from any instance, and no operation runs twice.

    Both classes are set to be rejected while the store is unavailable, as others would be served unrecorded.
    """

    async def scenario(trial: RealTrial) -> None:
        keys = {"earn": "e1", "redeem": "r1"}
        await kill_at(trial, step, keys)
        # Repeat at once at all remaining instances, and again after they have detected the loss.
        for _ in range(2):
            await asyncio.gather(
                *(ask(trial, at, cls, key, again=True) for at in (1, 2) for cls, key in keys.items())
            )
            await asyncio.sleep(TTL_S * 2)
        rows = await all_closed(trial, set(keys.values()))
        last = {cls: await ask_until_accepted(trial, 1, cls, key, again=True) for cls, key in keys.items()}
        earn, redeem = ([run for run in runs_of(trial, key) if not run.repeat] for key in ("e1", "r1"))
        assert last["earn"].status == (200 if is_response_known(rows["e1"]) else 500) and len(earn) == 1
        if step == "sent":
            assert rows["r1"]["is"] == "unknown" and last["redeem"].status == 500 and len(redeem) == 1
        elif step == "written, not sent":
            # The remaining instances can't tell whether it has run, so they never send it.
            assert rows["r1"]["is"] in ("unknown", "served") and len(redeem) <= 1
        else:
            assert last["redeem"].status == 200 and len(redeem) == 1

    run(tmp_path, scenario, relayed=True, work_settings={"refuse": ["earn", "redeem"]})


def test_simultaneous_repeats_at_three_instances_run_once_and_get_the_same_response(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        set_service_time(trial, 0.1)
        for number in range(6):
            cls = "redeem" if number % 2 else "earn"
            responses = await asyncio.gather(*(ask(trial, at, cls, f"k{number}") for at in (0, 1, 2, 0)))
            assert {response.status for response in responses} == {200}
            assert len({response.body for response in responses}) == 1
            assert len(runs_of(trial, f"k{number}")) == 1
        reused_key = await ask(trial, 1, "earn", "k0", body=b'{"key": "k0", "points": 9}')
        assert reused_key.status == 409

    run(tmp_path, scenario)


def test_an_owner_that_was_suspended_writes_and_sends_nothing_after_a_takeover(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        set_mute(trial, True)
        victim = trial.instances[0]
        requests = [
            asyncio.ensure_future(ask(trial, 0, cls, key)) for cls, key in (("earn", "e"), ("redeem", "r"))
        ]
        await trial.until(lambda: runs_of(trial, "e") and runs_of(trial, "r"), LONG_TIMEOUT_S, "both to run")
        await stall_between_commits(trial, victim)
        await asyncio.gather(*requests)
        set_mute(trial, False)
        rows = await all_closed(trial, {"e", "r"})
        assert rows["e"]["owner"] != rows["e"]["owners"][0], "another instance has taken it over"
        trial.resume(victim)
        await asyncio.sleep(TTL_S * 2)
        assert (await records(trial))["r"] == rows["r"], "the writes of the resumed owner must be refused"
        assert (await ask(trial, 0, "earn", "e")).status == (200 if is_response_known(rows["e"]) else 500)
        assert (await ask(trial, 0, "redeem", "r")).status == 500
        assert (
            len([run for run in runs_of(trial, "e") if not run.repeat]) == 1 and len(runs_of(trial, "r")) == 1
        )

    run(tmp_path, scenario)


def test_a_takeover_when_the_successor_is_killed_is_taken_over(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        for node in trial.environment.nodes:
            node.mute = True
        requests = [asyncio.ensure_future(ask(trial, 0, "earn", f"e{number}")) for number in range(4)]
        await trial.until(
            lambda: all(runs_of(trial, f"e{number}") for number in range(4)), LONG_TIMEOUT_S, "all to run"
        )
        trial.kill(trial.instances[0])
        await asyncio.gather(*requests)
        await trial.until(
            lambda: any(len(runs_of(trial, f"e{number}")) > 1 for number in range(4)),
            LONG_TIMEOUT_S,
            "a second attempt",
        )
        successors = [at for at in (1, 2) if f"s{at}#" in json.dumps(await records(trial))]
        trial.kill(trial.instances[successors[0]])
        for node in trial.environment.nodes:
            node.mute = False
        keys = {f"e{number}" for number in range(4)}
        survivor = 3 - successors[0]
        for _ in range(100):
            completed = await asyncio.to_thread(run_operator_command, trial, "list", "--json", at=survivor)
            rows = {row["key"]: row for row in json.loads(completed.stdout)}
            if all(rows[key]["closed"] for key in keys):
                break
            await asyncio.sleep(0.2)
        assert all(rows[key]["is"] in ("served", "unknown") for key in keys)
        assert all(len(rows[key]["attempts"]) <= 3 for key in keys)

    run(tmp_path, scenario)


def test_a_planned_shutdown_answers_its_operations_and_leaves_none_open(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        set_service_time(trial, 0.2)
        requests = [
            asyncio.ensure_future(ask(trial, 0, cls, f"{cls}{number}"))
            for number in range(3)
            for cls in ("earn", "redeem")
        ]
        await trial.until(
            lambda: sum(len(node.ran) for node in trial.environment.nodes) >= 6, LONG_TIMEOUT_S, "all to run"
        )
        assert await trial.leave(trial.instances[0]) == 0
        assert {(await request).status for request in requests} == {200}
        rows = await records(trial)
        assert {row["is"] for row in rows.values()} == {"served"} and len(rows) == 6
        assert {row["owner"].partition("#")[0] for row in rows.values()} == {"s0"}

    run(tmp_path, scenario)


async def redeem_until_status(trial: RealTrial, status: int) -> Asked:
    """Send redeems to instance 0, at least six, until a response has the given status."""
    responses: list[Asked] = []
    for number in range(200):
        response = await ask(trial, 0, "redeem", f"gone{number}")
        responses.append(response)
        if response.status == status and number > 4:
            return response
    raise AssertionError([response.status for response in responses])


async def redeem_until_recorded(trial: RealTrial) -> str:
    """Send redeems to instance 0 until one is recorded; return its key."""
    end_s = time.monotonic() + LONG_TIMEOUT_S
    number = 0
    while time.monotonic() < end_s:
        response = await ask(trial, 0, "redeem", f"back{number}")
        if response.status == 200 and response.key in await records(trial):
            return response.key
        number += 1
    raise AssertionError("nothing is recorded although the store is available again")


@pytest.mark.parametrize("refuse", [[], ["earn", "redeem"]])
def test_operations_without_a_store_are_served_unrecorded_or_rejected_at_once(
    tmp_path: Path, refuse: list[str]
) -> None:
    async def scenario(trial: RealTrial) -> None:
        with locked(trial):
            response = await redeem_until_status(trial, 503 if refuse else 200)
            if refuse:
                assert response.retry_after is not None
                assert not runs_of(trial, response.key)
        key = await redeem_until_recorded(trial)
        rows = await all_closed(trial, {key})
        assert rows[key]["is"] == "served"
        for recorded_key, row in rows.items():
            if row["is"] in ("never-run", "refused"):
                assert not runs_of(trial, recorded_key)

    run(tmp_path, scenario, work_settings={"refuse": refuse})


def test_an_owner_cut_from_the_store_and_not_from_nodes(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        set_service_time(trial, 0.2)
        victim = trial.instances[0]
        requests = [
            asyncio.ensure_future(ask(trial, 0, cls, key)) for cls, key in (("earn", "e"), ("redeem", "r"))
        ]
        await trial.until(lambda: runs_of(trial, "e") and runs_of(trial, "r"), LONG_TIMEOUT_S, "both to run")
        for relay in victim.relays:
            relay.cut(True, True)
        responses = [await request for request in requests]
        assert {response.status for response in responses} == {200}, (
            "the nodes have responded, so the responses are valid without a record"
        )
        set_service_time(trial, 0.01)
        # The other instances regard it as lost, and decide by the records in the store.
        rows = await all_closed(trial, {"e", "r"})
        assert rows["e"]["is"] == "served" and rows["r"]["is"] in ("served", "unknown")
        for relay in victim.relays:
            relay.heal()
        assert len(runs_of(trial, "r")) == 1
        repeat = await ask(trial, 1, "earn", "e", again=True)
        assert repeat.status == 200

    run(tmp_path, scenario, store="etcd", work_settings={"refuse": ["earn", "redeem"]})


def test_operators_list_settle_and_export_each_record_once(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        set_service_time(trial, 5.0)
        requests = [asyncio.ensure_future(ask(trial, 0, "redeem", f"r{number}")) for number in range(3)]
        await trial.until(
            lambda: all(runs_of(trial, f"r{number}") for number in range(3)), LONG_TIMEOUT_S, "all to run"
        )
        trial.kill(trial.instances[0])
        await asyncio.gather(*requests)
        set_service_time(trial, 0.01)
        rows = await all_closed(trial, {"r0", "r1", "r2"})
        ids = {key: row["id"] for key, row in rows.items()}

        async def run_command(*words: str) -> subprocess.CompletedProcess[str]:
            return await asyncio.to_thread(run_operator_command, trial, *words)

        shown = (await run_command("show", ids["r0"])).stdout
        assert "no word of its end: it may have run" in shown and "closed as unknown" in shown
        assert "points" not in shown and "taken over from s0#" in shown
        out = tmp_path / "unknown.jsonl"
        out.write_text('{"id": "cut off by a ki')  # incomplete line of an export that was killed
        assert (await run_command("export", str(out))).stdout.startswith("3 written, 0 ")
        assert (await run_command("export", str(out))).stdout.startswith("0 written, 3 ")
        assert sorted(json.loads(line)["key"] for line in out.read_text().splitlines()) == ["r0", "r1", "r2"]
        completed = await run_command(
            "settle", ids["r0"], "never-run", "--by", "ana", "--why", "not in the ledger"
        )
        assert completed.returncode == 0, completed.stderr
        assert (await run_command("settle", ids["r0"], "served", "--why", "x")).returncode == 1
        assert (
            await run_command("settle", ids["r1"], "served", "--by", "ana", "--why", "paper")
        ).returncode == 0
        listed = json.loads((await run_command("list", "--unknown", "--json")).stdout)
        assert [row["key"] for row in listed] == ["r2"]
        invalid = await run_command("show", "../x")
        assert invalid.returncode == 2 and invalid.stderr.count("\n") == 1
        assert (await ask(trial, 1, "redeem", "r1")).status == 500, (
            "it was settled as served, and there is no recorded response"
        )

    run(tmp_path, scenario)


def test_a_damaged_record_is_kept_and_reported(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        assert (await ask(trial, 0, "redeem", "r")).status == 200
        with contextlib.closing(sqlite3.connect(trial.folder / "store.db-work")) as connection:
            key, value = connection.execute(
                "SELECT key, value FROM entries WHERE key LIKE '%/r/%'"
            ).fetchone()
            damaged = value[:40] + bytes([value[40] ^ 1]) + value[41:]
            connection.execute("UPDATE entries SET value = ? WHERE key = ?", (damaged, key))
            connection.commit()
        assert (await ask(trial, 1, "redeem", "r")).status == 500, "a new attempt might be a second run"
        assert len(runs_of(trial, "r")) == 1
        completed = await asyncio.to_thread(run_operator_command, trial, "list")
        assert completed.returncode == 1 and "damaged" in completed.stderr

    run(tmp_path, scenario)


def test_no_member_data_is_in_the_store_or_in_a_log(tmp_path: Path) -> None:
    secret = b'{"key": "s", "member": "Amaia Etxeberria 4711"}'

    async def scenario(trial: RealTrial) -> None:
        first = await ask(trial, 0, "redeem", "s", body=secret)
        assert first.status == 200
        repeat = await ask(trial, 1, "redeem", "s", body=secret)
        assert repeat.body == first.body, "the response is kept, encrypted"
        for path in trial.folder.rglob("*"):
            if path.is_file():
                assert b"Etxeberria" not in path.read_bytes(), path

    run(tmp_path, scenario)


def test_a_key_file_that_others_may_read_prevents_the_start(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        (trial.folder / "work.key").chmod(0o644)
        began_s = time.monotonic()
        config = trial.instances[0].folder / "coveport.toml"
        completed = await asyncio.to_thread(
            subprocess.run,
            [sys.executable, "-m", "coveport", "run", "--config", str(config)],
            capture_output=True,
            text=True,
            timeout=LONG_TIMEOUT_S,
            check=False,
        )
        assert completed.returncode == 2 and "others may read it" in completed.stderr + completed.stdout
        assert time.monotonic() - began_s < LONG_TIMEOUT_S

    run(tmp_path, scenario, instances=1)


def test_the_nodes_of_a_cell_share_their_keys() -> None:
    """Check of the test nodes: only the nodes of one cell drop each other's repeats."""
    from coveport.testbed.fault_injection.http_stub import Request
    from coveport.testbed.fault_injection.recording_nodes import Cell

    async def is_dropped_as_repeat(node: LedgerNode) -> bool:
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
    assert [asyncio.run(is_dropped_as_repeat(node)) for node in nodes] == [False, True, False]
    findings = judge([], [run for node in nodes for run in node.ran])
    assert [finding.rule for finding in findings] == ["twice"]


def test_wall_clocks_an_hour_apart_cause_no_early_deletion(tmp_path: Path) -> None:
    clocks = {
        0: Clocks(wall_off_s=-3700.0),
        1: Clocks(wall_off_s=3700.0),
        2: Clocks(wall_off_s=5.0, jump_at_s=3.0, jump_s=3700.0),
    }

    async def scenario(trial: RealTrial) -> None:
        requests = [(at, cls, f"{cls}{at}") for at in range(3) for cls in ("earn", "redeem")]
        first = {key: await ask(trial, at, cls, key) for at, cls, key in requests}
        await asyncio.sleep(6.5)  # each instance has swept at least twice by then
        set_service_time(trial, 0.7)
        late_requests = [asyncio.ensure_future(ask(trial, 0, "earn", "e"))]
        await kill_when(trial, trial.instances[0], lambda: runs_of(trial, "e"))
        set_service_time(trial, 0.01)
        await asyncio.gather(*late_requests)
        for at, cls, key in requests:
            repeat = await ask(trial, 1 + at % 2, cls, key, again=True)
            assert first[key].status == 200 and repeat.body == first[key].body
            assert len(runs_of(trial, key)) == 1
        assert is_response_known((await all_closed(trial, {"e"}))["e"])

    run(tmp_path, scenario, work_settings={"kept_s": 60.0}, clocks=clocks)


def test_a_record_keeps_the_policy_it_was_accepted_under(tmp_path: Path) -> None:
    """A reload of looser settings at all instances does not loosen the limits of an open record."""
    looser_settings = json.loads(json.dumps(SETTINGS))
    looser_settings["classes"][2] |= {"semantics": "deduplicated", "key_scope": "cell", "window_ms": 60000}
    looser_settings["classes"][1]["window_ms"] = 60000
    looser_settings["limits"]["most_tries"] = 9

    async def scenario(trial: RealTrial) -> None:
        set_mute(trial, True)
        requests = [
            asyncio.ensure_future(ask(trial, 0, cls, key)) for cls, key in (("earn", "e"), ("redeem", "r"))
        ]
        await trial.until(lambda: runs_of(trial, "e") and runs_of(trial, "r"), LONG_TIMEOUT_S, "both to run")
        trial.retune(looser_settings)
        trial.kill(trial.instances[0])
        await asyncio.gather(*requests)
        set_mute(trial, False)
        rows = await all_closed(trial, {"e", "r"})
        assert rows["r"]["is"] == "unknown" and len(rows["r"]["attempts"]) == 1
        assert len(rows["e"]["attempts"]) <= 3
        assert (await ask(trial, 1, "redeem", "r", again=True)).status == 500
        assert len(runs_of(trial, "r")) == 1, "it was accepted as an operation that may not be repeated"
        assert (await ask(trial, 1, "redeem", "new")).status == 200

    run(tmp_path, scenario)


def start_export(config: str, out: Path) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-m", "coveport", "work", "--config", config, "export", str(out)],
        stdout=subprocess.DEVNULL,
    )


def test_an_export_that_is_killed_repeatedly_has_each_line_once_in_the_end(tmp_path: Path) -> None:
    async def scenario(trial: RealTrial) -> None:
        set_mute(trial, True)
        keys = [f"r{number}" for number in range(12)]
        requests = [asyncio.ensure_future(ask(trial, 0, "redeem", key)) for key in keys]
        await trial.until(lambda: all(runs_of(trial, key) for key in keys), LONG_TIMEOUT_S, "all to run")
        trial.kill(trial.instances[0])
        await asyncio.gather(*requests)
        set_mute(trial, False)
        await all_closed(trial, set(keys))
        out = tmp_path / "unknown.jsonl"
        config = str(trial.instances[1].folder / "coveport.toml")
        kill_count = 0
        for at in range(8):
            # The export process is killed after it has written some bytes, at an arbitrary point of its run.
            before = out.stat().st_size if out.exists() else 0
            export = start_export(config, out)
            end_s = time.monotonic() + LONG_TIMEOUT_S
            while export.poll() is None and time.monotonic() < end_s:
                if out.exists() and out.stat().st_size > before + 100 * (at % 3):
                    export.kill()
                    kill_count += 1
                    break
                await asyncio.sleep(0)
            export.wait()
        completed = await asyncio.to_thread(run_operator_command, trial, "export", str(out))
        assert completed.returncode == 0, completed.stderr
        assert sorted(json.loads(line)["key"] for line in out.read_text().splitlines()) == sorted(keys)
        assert kill_count, "no export was killed while it was writing"

    run(tmp_path, scenario)
