"""Roll-out and looking by turns by several processes, with holders and nodes that go meanwhile."""

from __future__ import annotations

import asyncio
import json
import re
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from coveport.sidecar.singletons.slow_start_messages import SafeLoad
from coveport.testbed.fault_injection import judge
from coveport.testbed.fault_injection.real import SETTINGS, RealTrial, Running
from coveport.testbed.fault_injection.schedules import Trial

LONG = 60.0


def run(folder: Path, instances: int, work: Callable[[RealTrial], Awaitable[None]], **options: Any) -> None:
    async def whole() -> None:
        async with RealTrial(folder, Trial(instances=instances), **options) as one:
            await work(one)

    asyncio.run(whole())


def staff(one: RealTrial, *words: str) -> subprocess.CompletedProcess[str]:
    config = str(one.instances[0].folder / "coveport.toml")
    return subprocess.run(
        [sys.executable, "-m", "coveport", words[0], "--config", config, *words[1:]],
        capture_output=True,
        text=True,
        check=False,
    )


async def status(one: RealTrial) -> dict[str, Any]:
    done = await asyncio.to_thread(staff, one, "rollout", "status", "--json")
    assert done.returncode == 0, done.stderr
    found: dict[str, Any] = json.loads(done.stdout)
    return found


async def when(one: RealTrial, what: Callable[[dict[str, Any]], bool], for_what: str) -> dict[str, Any]:
    for _ in range(200):
        found = await status(one)
        if what(found):
            return found
        await asyncio.sleep(0.1)
    raise AssertionError(f"waited in vain for {for_what}: {found}")


def steps(one: RealTrial) -> list[str]:
    """The roll-out's acts as instances wrote them down, that were told as done."""
    return [
        record.text("what")
        for record in one.histories().of("commit_finished")
        if record.text("duty") == "rollout" and record.text("end") == "Done"
    ]


def changed(path: Path, **classes: Any) -> Path:
    told = json.loads(json.dumps(SETTINGS))
    told["classes"][0] |= classes
    path.write_text(json.dumps({"settings": told}))
    return path


@pytest.mark.parametrize("how", ["kill", "stall"])
def test_a_roll_out_goes_on_when_its_holder_goes_in_the_middle_and_no_step_is_done_twice(
    tmp_path: Path, how: str
) -> None:
    async def work(one: RealTrial) -> None:
        await one.all_in(LONG)
        first = await one.held("rollout", LONG)
        done = await asyncio.to_thread(
            staff, one, "rollout", "start", str(changed(tmp_path / "n", aim_ms=450))
        )
        assert done.returncode == 0, done.stderr
        await when(one, lambda found: found["plan"]["done"] >= 1, "the first step")
        if how == "kill":
            one.kill(first)
        else:
            one.stall(first)
        await one.held("rollout", LONG, besides=first)
        if how == "kill":
            one.start(first)
        else:
            one.resume(first)
        found = await when(
            one,
            lambda found: (
                found["plan"]["phase"] == "done"
                and set(found["instances"].values()) == {found["plan"]["new"]}
            ),
            "all to have it",
        )
        assert len(found["instances"]) == 3
        taken = [what for what in steps(one) if what.startswith("step ")]
        # One whose answer was lost with its holder is in the store's book and not in the histories.
        assert taken == sorted(set(taken)) and found["plan"]["done"] == 3
        acts = [json.loads(act.state)["done"] for act in judge.accepted(one.book()) if act.duty == "rollout"]
        assert acts == sorted(acts) and set(acts) == {0, 1, 2, 3}
        assert judge.order(judge.accepted(one.book())) == []

    run(tmp_path / "trial", 3, work, duties=("rollout",))


def test_a_file_that_the_running_ones_refuse_never_goes_beyond_one_tenth(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        await one.held("rollout", LONG)
        # Staff's own check looks at the first instance's file; the others' have a key more, which is missed.
        for instance in one.instances[1:]:
            told = json.loads((instance.folder / "platform.json").read_text())
            told["settings"]["limits"]["most_tries_by_night"] = 2
            (instance.folder / "platform.json").write_text(json.dumps(told))
            one.kill(instance)
            one.start(instance)
        await one.until(lambda: all(one.serves(instance) for instance in one.instances), LONG, "all to serve")
        await one.all_in(LONG)  # a plan is made of those that are there
        await one.held("rollout", LONG)
        done = await asyncio.to_thread(
            staff, one, "rollout", "start", str(changed(tmp_path / "n", aim_ms=450))
        )
        assert done.returncode == 0, done.stderr
        found = await when(one, lambda found: found["plan"]["phase"] == "undone", "it to go back")
        assert "can't take it" in found["plan"]["why"] and found["plan"]["done"] <= 2
        await when(one, lambda found: set(found["instances"].values()) == {""}, "all to run their own files")
        for instance in one.instances:
            assert await one.environment.ask(instance.number, instance.port, instance.number) == 200

    run(tmp_path / "trial", 3, work, duties=("rollout",))


def test_staff_are_told_in_a_line_what_can_t_be(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        await one.held("rollout", LONG)
        bad = tmp_path / "bad"
        bad.write_text('{"settings": {"classes": []}}')
        done = await asyncio.to_thread(staff, one, "rollout", "start", str(bad))
        assert done.returncode == 2 and done.stderr.count("\n") == 1 and "settings." in done.stderr
        done = await asyncio.to_thread(staff, one, "rollout", "pause")
        assert done.returncode == 1 and "there is no roll-out" in done.stdout
        done = await asyncio.to_thread(staff, one, "duties", "yield", "nothing")
        assert done.returncode == 1 and "nobody holds it" in done.stderr

    run(tmp_path / "trial", 1, work, duties=("rollout",))


def counters(one: RealTrial, instance: Running) -> dict[str, int]:
    """An instance's counters, as its end prints them."""
    lines = re.findall(r"counters (\{.*\})", (instance.folder / "log").read_text())
    found: dict[str, int] = json.loads(lines[-1])
    return found


def test_one_looks_at_each_node_and_all_hear_that_it_is_gone(tmp_path: Path) -> None:
    async def work(one: RealTrial) -> None:
        await one.all_in(LONG)
        await asyncio.sleep(2.0)
        before = [node.probes for node in one.environment.nodes]
        await asyncio.sleep(3.0)
        after = [node.probes for node in one.environment.nodes]
        # Each node every half second by one instance; on a busy machine fewer, never several times as many.
        assert all(0 < new - old <= 14 for old, new in zip(before, after, strict=True)), (before, after)
        gone = one.environment.nodes[0]
        gone.server.stop()
        await asyncio.sleep(2.0)
        for instance in one.instances:
            for number in range(6):
                assert (
                    await one.environment.ask(instance.number, instance.port, 100 * instance.number + number)
                    == 200
                )
        for instance in one.instances:
            assert await one.leave(instance) == 0
        told = [counters(one, instance) for instance in one.instances]
        assert sum(each.get("looks_heard", 0) for each in told) >= 2, "those that did not look heard of it"

    run(tmp_path, 4, work, duties=("looking",), nodes=3)


@pytest.mark.parametrize("store", ["sqlite", "etcd"])
def test_a_fresh_node_gets_what_is_granted_and_no_flood_when_the_warden_goes(
    tmp_path: Path, store: str
) -> None:
    """Four that are asked all the time, a node that has just started, and the warden killed meanwhile."""

    async def work(one: RealTrial) -> None:
        warden = await one.held("warden@0", LONG)
        going = True

        async def till(instance: Running) -> None:
            number = 1000 * (instance.number + 1)
            while going:
                number += 1
                await one.environment.ask(instance.number, instance.port, number)

        tills = [asyncio.ensure_future(till(instance)) for instance in one.instances for _ in range(2)]
        await asyncio.sleep(2.0)
        node = one.environment.nodes[0]
        node.ran.clear()
        born = time.time()
        one.environment.list_all({0: born * 1000})
        await asyncio.sleep(2.5)
        one.kill(warden)
        await one.held("warden@0", LONG, besides=warden)
        await asyncio.sleep(2.0)
        going = False
        await asyncio.gather(*tills)
        # What it bears in any two seconds, by its age; an operation here is one of 10 ms.
        safe = SafeLoad(0.36, 3.0, 4.0, 1.0)
        times = [ran.at for ran in node.ran]
        for begin in times:
            came = sum(begin <= at <= begin + safe.overload_window_s for at in times)
            assert came <= safe.operations(begin - born, 0.01), (begin - born, came)
        granted = [
            record
            for record in one.histories().of("commit_finished")
            if record.text("duty") == "warden@0" and record.text("end") == "Done"
        ]
        assert {record.instance for record in granted} >= {warden.name}, "it was wished for, and granted"
        assert judge.order(judge.accepted(one.book())) == []

    run(tmp_path, 4, work, duties=("warden",), nodes=3, store=store)
