"""One instance, wired: configuration, signals, phases, exit code."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

from coveport import balancing
from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.sidecar.admin.codec import Command
from coveport.sidecar.admin.server import AdminServer, CommandResult
from coveport.sidecar.config import platform as configuration
from coveport.sidecar.config.errors import PlatformFileError
from coveport.sidecar.descriptor_limits import admin_connection_limit, connection_limits
from coveport.sidecar.downstream.limits import DRAIN_DELAY_S
from coveport.sidecar.downstream.listener import Listener
from coveport.sidecar.effects import Effects
from coveport.sidecar.reducer.phases import Lifecycle, Phase
from coveport.sidecar.reducer.reducer import Reducer
from coveport.sidecar.reducer.streams import Budget
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log
from coveport.sidecar.upstream.http1_connection import Dialer

FIRST_LIST_S = 0.5  # how long to wait for discovery before the known list has to do
BIND_S, BIND_STEP_S = 5.0, 0.1  # the address may be held by the one before us for a moment
STEP_S = 0.02
NEED_MB = 30.0  # what a process needs that holds no long body: 22 to 26 MB on the operators' days
LONG_SHARE = 0.5  # of the memory beyond that: the other half is for small bodies and what is made of bytes
LONG_LEAST_MB = 1.0


async def serve(
    config: configuration.Config,
    net: Net,
    log: Log,
    *,
    reread: Callable[[configuration.Config], configuration.Config],
    on_phase: Callable[[Phase], None] | None = None,
    reducer: Callable[[balancing.Settings, int], Reducer] = Reducer,
    effects_type: type[Effects] = Effects,
    joined: Callable[[Effects, Lifecycle], None] | None = None,
) -> int:
    """Run until told to stop and nothing is owed; the exit code.

    `reread` gives the configuration anew, checked against the one that runs, or raises PlatformFileError.
    `reducer` and `effects_type` are there to be replaced by variants that are held against each other.
    `joined` is called with the parts before anything is opened: what an operator's file enables attaches
    there.
    """
    loop = net.loop
    counters, life = Counters(), Lifecycle()
    budget = Budget(int(max(LONG_LEAST_MB, (config.memory_mb - NEED_MB) * LONG_SHARE) * 1024 * 1024))
    dial = Dialer(config.settings.load_fields, budget)
    counters.gauge("long_bytes", lambda: budget.held)
    counters.gauge("long_bytes_peak", lambda: budget.peak)
    effects = effects_type(net, config, counters, log, dial, reducer)
    listener = Listener(
        net,
        counters,
        log,
        config.settings.classes,
        is_ready=lambda: life.ready,
        max_clients=connection_limits(config.sockets)[0],
        submit=effects.take,
        cancel=effects.gone,
        on_upload_complete=effects.whole,
        budget=budget,
    )

    def unexpected(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        # Guards against a fault in one connection, or EMFILE in accept: logged, and served on.
        log.note("unexpected", f"{context.get('message')}: {context.get('exception')!r}")
        if isinstance(context.get("exception"), OSError):
            listener.clients.shed(16)

    def figures() -> None:
        log.say(
            "counters "
            + counters.line(
                phase=life.phase.value,
                owed=effects.owed,
                clients=len(listener.clients),
                links=effects.connection_pool.count,
                tables={"clients": len(listener.clients), **effects.tables},
            )
        )

    stop, running = asyncio.Event(), config

    def terminate() -> None:
        if life.enter(Phase.DRAINING):
            stop.set()

    def ping() -> CommandResult:
        return None if life.ready else f"not ready: {life.phase.value}"

    def info() -> CommandResult:
        return counters.told()

    def lameduck() -> CommandResult:
        if life.phase is Phase.LAMEDUCK or life.enter(Phase.LAMEDUCK):
            return None
        return f"not serving: {life.phase.value}"

    def rejoin() -> CommandResult:
        if life.phase is Phase.SERVING or (life.phase is Phase.LAMEDUCK and life.enter(Phase.SERVING)):
            return None
        return f"no way back: {life.phase.value}"

    admin = AdminServer(
        net,
        counters,
        log,
        max_connections=admin_connection_limit(config.sockets),
        commands={Command.PING: ping, Command.INFO: info, Command.LAMEDUCK: lameduck, Command.REJOIN: rejoin},
    )

    def reload() -> None:
        try:
            nonlocal running
            running = told = reread(running)
            effects.reload(told)
            listener.set_classes(told.settings.classes)
        except PlatformFileError as problem:
            # Guards against a bad file, or one that is half written: we run on with what we have.
            counters.add("config_reload_errors")
            log.say(f"{config.name}: kept the old configuration: {problem}")

    loop.set_exception_handler(unexpected)
    loop.add_signal_handler(signal.SIGTERM, terminate)
    loop.add_signal_handler(signal.SIGINT, terminate)
    loop.add_signal_handler(signal.SIGHUP, reload)
    loop.add_signal_handler(signal.SIGUSR1, figures)
    life.listen(lambda phase: log.say(f"{config.name}: {phase.value}"))
    life.listen(lambda phase: listener.drain(on=phase is Phase.LAMEDUCK))
    if joined is not None:
        joined(effects, life)
    if on_phase is not None:
        life.listen(on_phase)

    effects.know()
    effects.endpoint_source.start()
    if config.console is not None and await _open(net, log, admin.open, config.console) is not None:
        log.say(f"{config.name}: staff call at {config.console[0]}:{config.console[1]}")
    # Where another serves here already, it goes on until we are ready: clients would find us with no list.
    beside = net.is_taken(config.listen)
    if not beside and not await _listen(config, net, log, listener):
        return 1
    # Who must ask asks in its own time, as all that start together ask a small service: none waits for it.
    known_will_do = net.now_s() + (0.0 if config.settings.must_ask else FIRST_LIST_S)
    while (
        not stop.is_set()
        and not effects.has_list
        and not (effects.connection_pool.known and net.now_s() >= known_will_do)
    ):
        await asyncio.sleep(STEP_S)
    if beside and not stop.is_set() and not await _listen(config, net, log, listener):
        return 1
    life.enter(Phase.SERVING)
    await stop.wait()

    await asyncio.sleep(DRAIN_DELAY_S)
    await listener.shut_down()
    while effects.owed or len(listener.clients):
        await asyncio.sleep(STEP_S)
    effects.endpoint_source.close()
    effects.connection_pool.close()
    listener.close()
    admin.close()
    life.enter(Phase.STOPPED)
    figures()
    return 0


async def _listen(config: configuration.Config, net: Net, log: Log, listener: Listener) -> bool:
    port = await _open(net, log, listener.open, config.listen)
    if port is not None:
        log.say(f"{config.name}: listening on {config.listen[0]}:{port}")
    return port is not None


async def _open(
    net: Net, log: Log, listen: Callable[[Address], Awaitable[int]], address: Address
) -> int | None:
    """Listen there, and the port; None, with a line that says so, where that can't be."""
    give_up = net.now_s() + BIND_S
    while True:
        try:
            return await listen(address)
        except OSError as problem:
            if net.now_s() > give_up:
                log.say(f"cannot listen on {address[0]}:{address[1]}: {problem}")
                return None
            await asyncio.sleep(BIND_STEP_S)


async def _serve(config: configuration.Config, log: Log) -> int:
    def settled(phase: Phase) -> None:
        if phase is Phase.SERVING:
            gc.freeze()  # what is there by now stays: no collection need look at it again

    return await serve(
        config,
        Net(asyncio.get_running_loop()),
        log,
        on_phase=settled,
        reread=lambda running: configuration.load(os.environ, is_reload=True, running=running),
    )


def main() -> int:
    """Start the platform's sidecar from the environment; 2 where the configuration is wrong."""
    # Guards against a SIGHUP that comes before there is a handler: it would end us.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    log = Log(time.monotonic)
    try:
        config = configuration.load(os.environ)
    except PlatformFileError as problem:
        log.say(str(problem))
        return 2
    return asyncio.run(_serve(config, log))
