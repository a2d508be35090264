"""Several processes of the program, a store, and faults between them.

Judged by what they wrote and by the store's book. Verdicts rest on the judge and on waits for a state, with
bounds for a busy machine; never on how fast it is.
"""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from coveport.sidecar.leases.clock import boot_s
from coveport.testbed.fault_injection import judge, real
from coveport.testbed.fault_injection.clocked import Clocks
from coveport.testbed.fault_injection.real import RealTrial, Running, free_port, play
from coveport.testbed.fault_injection.schedules import HOLDER, Fault, Trial

STARTS_S = 60.0  # for instances to serve, as in the fleet's trials
LONG = 40.0  # for what comes in a second or two on a machine with nothing else to do


@pytest.fixture(autouse=True)
def _starts_take_long_on_a_busy_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    """Instances are waited for until they serve: at a load of twenty on eight cores that took over 20 s."""
    monkeypatch.setattr(real, "UP_S", STARTS_S)


def run(folder: Path, trial: Trial, work: Callable[[RealTrial], Awaitable[None]], **options: object) -> None:
    async def whole() -> None:
        async with RealTrial(folder, trial, **options) as one:  # type: ignore[arg-type]
            await work(one)

    asyncio.run(whole())


def safe(one: RealTrial) -> list[judge.Finding]:
    """All findings but those on how soon: these are for a quiet machine."""
    now = boot_s()
    return [found for found in one.judged(now, now) if found.rule != "again"]


@pytest.mark.parametrize("store", ["sqlite", "etcd"])
@pytest.mark.parametrize(
    "fault",
    [
        Fault(0.5, "kill", HOLDER, 1.0),
        Fault(0.5, "stall", HOLDER, 6.0),
        Fault(0.5, "leave", HOLDER, 0.5),
        Fault(0.5, "store_stall", "", 5.0),
    ],
    ids=lambda one: one.kind,
)
def test_whatever_befalls_the_holder_one_holds_it_at_a_time(tmp_path: Path, store: str, fault: Fault) -> None:
    played = asyncio.run(play(Trial(instances=3, faults=(fault,), calm_s=6.0), 1, tmp_path, store))
    assert [found for found in played.findings if found.rule != "again"] == []
    assert len(played.beliefs) >= 2 and played.acts > 10


@pytest.mark.parametrize("kind", ["cut", "cut_out", "cut_back"])
def test_a_holder_that_is_cut_off_from_the_store_alone_lets_go_by_itself(tmp_path: Path, kind: str) -> None:
    async def work(one: RealTrial) -> None:
        first = await one.held("drill", LONG)
        for relay in first.relays:
            relay.cut(kind != "cut_back", kind != "cut_out")
        later = await one.held("drill", LONG, besides=first)
        assert await one.environment.ask(first.number, first.port, 1) == 200, "tills are served as before"
        for relay in first.relays:
            relay.heal()
        await one.until(
            lambda: any(
                record.event == "session_established"
                and record.instance == first.name
                and record.at > boot_s() - 5
                for record in one.histories().records
            ),
            LONG,
            "the one that was cut off to be in again",
        )
        assert one.holder("drill") is later
        assert safe(one) == []

    run(tmp_path, Trial(instances=3), work, store="etcd")


def test_a_holder_at_a_minority_member_goes_to_another_member(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        assert one.engine is not None
        await one.held("drill", LONG)
        one.engine.do("cut", a=0, b=1)
        one.engine.do("cut", a=0, b=2)
        await one.until(
            lambda: one.engine is not None and one.engine.do("state")["leader"] in (1, 2),
            LONG,
            "another leader",
        )
        acts = len(judge.accepted(one.book()))
        await one.until(lambda: len(judge.accepted(one.book())) > acts + 5, LONG, "acts under the new leader")
        one.engine.do("kill", member=1)
        one.engine.do("heal")
        acts = len(judge.accepted(one.book()))
        await one.until(lambda: len(judge.accepted(one.book())) > acts + 5, LONG, "acts with a member gone")
        assert safe(one) == []

    run(tmp_path, Trial(instances=3), work, store="etcd")


def test_answers_lost_after_the_deed_and_broken_watches_harm_nobody(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        assert one.engine is not None
        for round_ in range(2):
            holder = await one.held("drill", LONG)
            one.engine.do("lose", kind="claim", count=1)
            one.engine.do("lose", kind="txn", count=2)
            one.kill(holder)
            await one.held("drill", LONG, besides=holder)
            one.engine.do("break_watches" if round_ else "compact")
            one.start(holder)
        acts = len(judge.accepted(one.book()))
        await one.until(lambda: len(judge.accepted(one.book())) > acts + 5, LONG, "further acts")
        assert safe(one) == []

    run(tmp_path, Trial(instances=3), work, store="etcd")


def test_a_restored_store_is_refused_by_all_that_knew_a_later_one(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        assert one.engine is not None
        await one.held("drill", LONG)
        await one.all_in(LONG)  # who knows nothing of before can't tell
        one.engine.do("save")
        acts = len(judge.accepted(one.book()))
        await one.until(lambda: len(judge.accepted(one.book())) > acts + 5, LONG, "acts after the backup")
        one.engine.do("restore")
        await one.until(
            lambda: len({record.instance for record in one.histories().of("store_reset")}) == 3,
            LONG,
            "all to say that the store went back",
        )
        acts = len(judge.accepted(one.book()))
        await asyncio.sleep(0.5)
        assert len(judge.accepted(one.book())) == acts, "nobody does anything"
        assert await one.environment.ask(0, one.instances[0].port, 1) == 200, "tills are served"
        for instance in one.instances:
            assert await one.leave(instance) == 0

    run(tmp_path, Trial(instances=3), work, store="etcd")


@pytest.mark.parametrize("store", ["sqlite", "etcd"])
def test_all_at_once_after_a_power_cut(tmp_path: Path, store: str) -> None:
    async def work(one: RealTrial) -> None:
        await one.held("drill", LONG)
        for instance in one.instances:
            one.kill(instance)
        before = len(judge.accepted(one.book()))
        for instance in one.instances:
            one.start(instance)
        await one.until(lambda: len(judge.accepted(one.book())) > before + 5, LONG, "acts again")
        assert safe(one) == [], "their names are free only once the old sessions are over"

    run(tmp_path, Trial(instances=8), work, store=store)


def test_two_of_one_name_never_hold_together(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        first = await one.held("drill", LONG)
        twin = Running(first.number, first.folder, free_port())
        told = json.loads((first.folder / "platform.json").read_text())
        (first.folder / "twin.json").write_text(json.dumps(told | {"listen": f"127.0.0.1:{twin.port}"}))
        text = (first.folder / "coveport.toml").read_text()
        (first.folder / "twin.toml").write_text(text.replace("platform.json", "twin.json"))
        with subprocess.Popen(
            [sys.executable, "-m", "coveport", "run", "--config", str(first.folder / "twin.toml")],
            stderr=subprocess.DEVNULL,
        ) as process:
            try:
                await one.until(lambda: any(one.histories().of("duplicate_name")), LONG, "the twin to say so")
                assert await one.environment.ask(0, twin.port, 1) == 200
                # The first is killed: the twin may have the name once its session is over, and not before.
                one.kill(first)
                await one.until(
                    lambda: any(
                        record.event == "session_established"
                        and record.at > boot_s() - 3
                        and record.instance == first.name
                        for record in one.histories().records
                    ),
                    LONG,
                    "the twin to be in",
                )
            finally:
                process.send_signal(signal.SIGKILL)
        assert safe(one) == []

    run(tmp_path, Trial(instances=2), work)


def test_the_drain_by_staff_and_the_word_of_staff_hand_it_on(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        first = await one.held("drill", LONG)
        done = await asyncio.to_thread(
            subprocess.run,
            [
                sys.executable,
                "-m",
                "coveport",
                "duties",
                "--config",
                str(first.folder / "coveport.toml"),
                "yield",
                "drill",
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 0, done.stderr
        await one.held("drill", LONG, besides=first)
        shown = await asyncio.to_thread(
            subprocess.run,
            [
                sys.executable,
                "-m",
                "coveport",
                "duties",
                "--config",
                str(first.folder / "coveport.toml"),
                "--json",
            ],
            capture_output=True,
            text=True,
            check=False,
        )
        (row,) = json.loads(shown.stdout)
        assert row["duty"] == "drill" and row["holder"] not in ("", first.name) and row["token"] > 0
        assert row["until"] > row["since"] > 1.7e9
        assert safe(one) == []

    run(tmp_path, Trial(instances=2), work)


def test_a_planned_end_hands_on_before_the_process_is_gone(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        first = await one.held("drill", LONG)
        code = await one.leave(first)
        assert code == 0
        left = boot_s()
        await one.held("drill", LONG, besides=first)
        ends = [record.at for record in one.histories().of("role_lost") if record.instance == first.name]
        assert ends and ends[-1] < left - 0.3, "let go of at SIGTERM, not at the end of the wait for tills"
        assert safe(one) == []

    run(tmp_path, Trial(instances=3), work)


def test_a_holder_that_reaches_no_node_hands_on_and_no_ping_pong_comes_of_it(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        first = await one.held("drill", LONG)
        for relay in first.node_relays.values():
            relay.refuse(True)

        async def till(instance: Running) -> None:
            for number in range(1000):
                await one.environment.ask(
                    instance.number, instance.port, 1000 * instance.number + number, 0.3
                )
                await asyncio.sleep(0.05)

        tills = [asyncio.ensure_future(till(instance)) for instance in one.instances]
        await one.held("drill", LONG, besides=first)
        # Both are useless by turns from here on; who yielded keeps off longer each time.
        await asyncio.sleep(8.0)
        began = [record for record in one.histories().of("role_acquired") if record.instance == first.name]
        assert len(began) == 1, "it does not take it back while it is useless"
        for relay in first.node_relays.values():
            relay.refuse(False)
        for task in tills:
            task.cancel()
        await asyncio.gather(*tills, return_exceptions=True)
        assert any(
            record.event == "unhealthy" and record.instance == first.name
            for record in one.histories().records
        )
        assert safe(one) == []

    run(tmp_path, Trial(instances=2), work, relayed=True)


def test_cut_off_from_discovery_alone_changes_nothing(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        first = await one.held("drill", LONG)
        assert first.discovery_relay is not None
        first.discovery_relay.cut()
        acts = len(judge.accepted(one.book()))
        await one.until(lambda: len(judge.accepted(one.book())) > acts + 20, LONG, "further acts")
        assert one.holder("drill") is first and await one.environment.ask(0, first.port, 1) == 200
        assert safe(one) == []

    run(tmp_path, Trial(instances=2), work, relayed=True)


def test_clocks_that_jump_and_run_apart_within_the_stated_drift(tmp_path: Path) -> None:
    """Wall clocks decide nothing; those that never step may part by the drift that the file states."""
    clocks = {
        0: Clocks(rate=1.009, jump_at_s=2.0, jump_s=3600.0),
        1: Clocks(rate=0.991, jump_at_s=4.0, jump_s=-3600.0),
        2: Clocks(wall_off_s=-90000.0),
    }

    async def work(one: RealTrial) -> None:
        for how in ("kill", "stall", "kill"):
            holder = await one.held("drill", LONG)
            await asyncio.sleep(1.0)
            if how == "kill":
                one.kill(holder)
                one.start(holder)
            else:
                one.stall(holder)
            await one.held("drill", LONG, besides=holder)
            one.resume(holder)
        now = boot_s()
        apart_s = 0.01 * (now - min(it.started_at for it in one.instances)) + 0.3
        assert [it for it in one.judged(now, now, apart_s=apart_s) if it.rule != "again"] == []

    run(tmp_path, Trial(instances=3, ttl_s=1.0, margin_s=0.1, drift=0.02), work, store="etcd", clocks=clocks)


def test_clocks_that_run_wild_have_nothing_wrong_accepted(tmp_path: Path) -> None:
    """Beyond the stated drift two may believe at a time; the store accepts one's acts alone."""

    async def work(one: RealTrial) -> None:
        await one.held("drill", LONG)
        for hit in (*one.instances, *one.instances):  # whose holding it is can't be told by clocks like these
            await asyncio.sleep(0.5)
            one.stall(hit)
            await asyncio.sleep(1.5)
            one.resume(hit)
        await one.until(lambda: len(judge.accepted(one.book())) > 10, LONG, "acts")
        acts = judge.accepted(one.book())
        assert judge.order(acts) == [] and judge.steps(acts) == []

    run(
        tmp_path,
        Trial(instances=3, ttl_s=1.0, margin_s=0.1),
        work,
        store="etcd",
        clocks={0: Clocks(rate=0.4), 1: Clocks(rate=2.5), 2: Clocks(rate=0.7)},
    )
