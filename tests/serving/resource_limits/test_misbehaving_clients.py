"""Crowds of clients that don't behave end no process, and ordinary clients are answered beside and after.

The limits are lowered in the settings; crowds and bounds are computed from these limits alone. Each test
starts its own processes, and runs alone (`make test` runs the marked tests one after the other).
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
from misbehaving_clients import Crowd, Kind, Pace, Request, crowd_size, head
from ordinary_clients import KeptConnection, Target, ordinary_answer
from process_meter import check_bounds
from small_deployment import CALL_TIMEOUT_S, LARGE_RESPONSE_PATH, SILENT_PATH, LoweredLimits, SmallDeployment
from soak import play_seed

from coveport.net.transport import Net
from coveport.serving.model.configuration import ClientLimits
from coveport.serving.settings.boot import ProcessLimits
from coveport.serving.wire.frames import write_frame

pytestmark = pytest.mark.alone

LIMITS = LoweredLimits(ProcessLimits(memory_mb=128.0, descriptors=1024), ClientLimits())
FEW_DESCRIPTORS = LoweredLimits(ProcessLimits(memory_mb=128.0, descriptors=400), ClientLimits())
RELOADS = 3
CHANGES = 2
PIPELINED_BYTES = 256 * 1024  # behind each request that is still served
PUT_CONFIGURATION = b"PUT /coveport/config HTTP/1.1\r\nHost: c\r\nIf-Match: 1\r\nContent-Length: %d\r\n\r\n"
FAULTY_CONFIGURATION = b'{"Edition":3,"Routes":[%b]}'
Misbehave = Callable[[SmallDeployment, Crowd], Awaitable[None]]


async def play(folder: Path, limits: LoweredLimits, target: Target, misbehave: Misbehave) -> None:
    """Run a crowd against a target beside signals, changes and a kept connection; check what must hold.

    The crowd keeps its connections until the processes have ended.
    """
    deployment = SmallDeployment(Net(asyncio.get_running_loop()), folder, limits)
    processes = (deployment.proxy, deployment.coordinator)
    crowd = Crowd(target.address(deployment))
    try:
        await deployment.start()
        kept = await KeptConnection.open(deployment, target)
        await kept.check()
        await misbehave(deployment, crowd)
        check_bounds(processes, limits)
        deployment.send_reloads(processes * RELOADS)
        await deployment.change_configuration(CHANGES)
        await kept.check()
        for body_bytes in target.ordinary_body_bytes(limits):
            assert await ordinary_answer(deployment, target, body_bytes) == 200
        check_bounds(processes, limits)
        for process in processes:
            assert await process.terminate(), f"{process.name} did not end in time"
            assert process.exit_code == 0, process.last_lines()
    finally:
        crowd.close()
        await deployment.stop()


def bodies(kind: Kind, pace: Pace, target: Target, limits: LoweredLimits) -> Misbehave:
    """Return a crowd that sends bodies."""

    async def misbehave(_: SmallDeployment, crowd: Crowd) -> None:
        await crowd.connect(crowd_size(limits))
        await crowd.send(kind.request(target.path, limits.clients.body_bytes), pace)

    return misbehave


@pytest.mark.parametrize("pace", Pace, ids=lambda pace: pace.name.lower())
@pytest.mark.parametrize("kind", Kind, ids=lambda kind: kind.name.lower())
@pytest.mark.parametrize("target", [Target.CLIENTS, Target.LOOKUPS], ids=lambda target: target.name.lower())
def test_bodies_where_clients_call(tmp_path: Path, target: Target, kind: Kind, pace: Pace) -> None:
    asyncio.run(play(tmp_path, LIMITS, target, bodies(kind, pace, target, LIMITS)))


@pytest.mark.parametrize("kind", [Kind.SIZED, Kind.LARGE_CHUNKS], ids=lambda kind: kind.name.lower())
@pytest.mark.parametrize("target", [Target.READINESS, Target.CONTROL], ids=lambda target: target.name.lower())
def test_bodies_at_the_other_ports(tmp_path: Path, target: Target, kind: Kind) -> None:
    asyncio.run(play(tmp_path, LIMITS, target, bodies(kind, Pace.PIECES, target, LIMITS)))


def test_complete_bodies_whose_node_is_silent(tmp_path: Path) -> None:
    async def misbehave(_: SmallDeployment, crowd: Crowd) -> None:
        await crowd.connect(crowd_size(LIMITS))
        length = LIMITS.clients.body_bytes
        await crowd.send(
            Request(head(SILENT_PATH, f"Content-Length: {length}"), lambda: iter([bytes(length)])), Pace.WHOLE
        )

    asyncio.run(play(tmp_path, LIMITS, Target.CLIENTS, misbehave))


def test_responses_that_are_not_read(tmp_path: Path) -> None:
    async def misbehave(deployment: SmallDeployment, crowd: Crowd) -> None:
        await crowd.connect(8 * crowd_size(LIMITS), reads=False)
        await crowd.write_all(head(LARGE_RESPONSE_PATH, "Content-Length: 0"))
        assert await ordinary_answer(deployment, Target.CLIENTS, 0) == 200  # all before it have been read

    asyncio.run(play(tmp_path, LIMITS, Target.CLIENTS, misbehave))


def test_requests_pipelined_behind_one_that_is_served(tmp_path: Path) -> None:
    async def misbehave(_: SmallDeployment, crowd: Crowd) -> None:
        await crowd.connect(math.ceil(LIMITS.memory_bytes / PIPELINED_BYTES))
        await crowd.write_all(head(SILENT_PATH, "Content-Length: 0"))
        # The pipelined bytes may stay unread: nobody waits until the kernel has them.
        pipelined = head(SILENT_PATH, f"Content-Length: {PIPELINED_BYTES}") + bytes(PIPELINED_BYTES - 1)
        waiting = asyncio.gather(*(client.write(pipelined) for client in crowd.clients))
        await asyncio.wait([waiting], timeout=2.0)
        waiting.cancel()

    asyncio.run(play(tmp_path, LIMITS, Target.CLIENTS, misbehave))


@pytest.mark.parametrize("target", [Target.LOOKUPS, Target.CONTROL], ids=lambda target: target.name.lower())
def test_calls_pipelined_without_reading_the_responses(tmp_path: Path, target: Target) -> None:
    async def misbehave(_: SmallDeployment, crowd: Crowd) -> None:
        await crowd.connect(16, reads=False)
        many = target.ordinary_request(0) * 2000
        waiting = asyncio.gather(*(client.write(many) for client in crowd.clients for _ in range(10)))
        await asyncio.wait([waiting], timeout=5.0)
        waiting.cancel()

    asyncio.run(play(tmp_path, LIMITS, target, misbehave))


@pytest.mark.parametrize("sent", [b"", b"POST /"], ids=["idle", "short_of_a_head"])
@pytest.mark.parametrize(
    "target", Target, ids=lambda target: target.name.lower()
)  # fmt: skip
def test_more_connections_than_descriptors(tmp_path: Path, target: Target, sent: bytes) -> None:
    async def misbehave(_: SmallDeployment, crowd: Crowd) -> None:
        await crowd.connect(2 * FEW_DESCRIPTORS.process.descriptors)
        if sent:
            await crowd.write_all(sent)

    asyncio.run(play(tmp_path, FEW_DESCRIPTORS, target, misbehave))


def test_frames_short_of_their_end(tmp_path: Path) -> None:
    async def misbehave(_: SmallDeployment, crowd: Crowd) -> None:
        await crowd.connect(crowd_size(LIMITS))
        frame = write_frame(bytes(LIMITS.clients.body_bytes))
        await crowd.send(Request(frame[:-1], lambda: iter(())), Pace.WHOLE)

    asyncio.run(play(tmp_path, LIMITS, Target.INNER, misbehave))


@pytest.mark.parametrize("route", [b"{}", b'{"Name":"a-faulty-route"}'], ids=["empty", "named"])
def test_a_configuration_of_faulty_routes(tmp_path: Path, route: bytes) -> None:
    async def misbehave(_: SmallDeployment, crowd: Crowd) -> None:
        await crowd.connect(1)
        count = (LIMITS.clients.body_bytes - len(FAULTY_CONFIGURATION)) // (len(route) + 1)
        body = FAULTY_CONFIGURATION % b",".join([route] * count)
        request = Request(PUT_CONFIGURATION % len(body), lambda: iter([body]))
        await crowd.send(request, Pace.WHOLE)
        async with asyncio.timeout(CALL_TIMEOUT_S):
            await crowd.clients[0].answered.wait()

    asyncio.run(play(tmp_path, LIMITS, Target.CONTROL, misbehave))


# Guards against a reload right after a restart that ends a process whose launcher holds the signal back.
@pytest.mark.parametrize("seed", [13, 22, 24, 25, 33])
def test_crowds_beside_reloads_right_after_a_start(tmp_path: Path, seed: int) -> None:
    asyncio.run(play_seed(seed, tmp_path, is_reload_signal_held=True))


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5, 13, 22, 24, 25, 33])
def test_crowds_at_once_beside_restarts_and_changes(tmp_path: Path, seed: int) -> None:
    asyncio.run(play_seed(seed, tmp_path))
