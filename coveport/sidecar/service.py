"""One running instance: its parts, signals, phases and exit code."""

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
from coveport.net.reload_signal import hold_reload_signal, release_reload_signal
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

FIRST_LIST_TIMEOUT_S = 0.5  # time to wait for discovery's first list before the known list is used
# The address may still be bound by the previous process for a moment.
BIND_TIMEOUT_S, BIND_RETRY_INTERVAL_S = 5.0, 0.1
POLL_INTERVAL_S = 0.02
BASE_MEMORY_MB = 30.0  # memory of a process without streamed bodies: 22 to 26 MB on the operators' days
# Share of the memory beyond that for streamed bodies: the other half is for small bodies and parsed messages.
STREAMED_SHARE = 0.5
MIN_STREAMED_MB = 1.0


async def serve(
    config: configuration.Config,
    net: Net,
    log: Log,
    *,
    reload_config: Callable[[configuration.Config], configuration.Config],
    on_phase: Callable[[Phase], None] | None = None,
    reducer: Callable[[balancing.Settings, int], Reducer] = Reducer,
    effects_type: type[Effects] = Effects,
    attach: Callable[[Effects, Lifecycle], None] | None = None,
) -> int:
    """Run until a signal stops the sidecar and all operations are answered; return the exit code.

    `reload_config` returns the configuration, read again and checked against the running one, or raises
    PlatformFileError. `reducer` and `effects_type` can be replaced by variants that are compared with the
    shipped ones. `attach` is called before any address is opened: the optional parts that an operator's file
    enables attach themselves there.
    """
    loop = net.loop
    counters, lifecycle = Counters(), Lifecycle()
    budget = Budget(
        int(max(MIN_STREAMED_MB, (config.memory_mb - BASE_MEMORY_MB) * STREAMED_SHARE) * 1024 * 1024)
    )
    dial = Dialer(config.settings.load_fields, budget)
    counters.gauge("long_bytes", lambda: budget.buffered_bytes)
    counters.gauge("long_bytes_peak", lambda: budget.peak_bytes)
    effects = effects_type(net, config, counters, log, dial, reducer)
    listener = Listener(
        net,
        counters,
        log,
        config.settings.classes,
        is_ready=lambda: lifecycle.ready,
        max_clients=connection_limits(config.sockets)[0],
        submit=effects.accept,
        cancel=effects.client_disconnected,
        on_upload_complete=effects.complete_upload,
        budget=budget,
    )

    def on_loop_exception(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        # Guards against a fault in one connection, or EMFILE in accept: the sidecar logs it and serves on.
        log.note("unexpected", f"{context.get('message')}: {context.get('exception')!r}")
        if isinstance(context.get("exception"), OSError):
            listener.clients.shed(16)

    def log_counters() -> None:
        log.write(
            "counters "
            + counters.line(
                phase=lifecycle.phase.value,
                owed=effects.owed,
                clients=len(listener.clients),
                links=effects.connection_pool.count,
                tables={"clients": len(listener.clients), **effects.tables},
            )
        )

    stop, running = asyncio.Event(), config

    def terminate() -> None:
        if lifecycle.enter(Phase.DRAINING):
            stop.set()

    def ping() -> CommandResult:
        return None if lifecycle.ready else f"not ready: {lifecycle.phase.value}"

    def info() -> CommandResult:
        return counters.report_lines()

    def lameduck() -> CommandResult:
        if lifecycle.phase is Phase.LAMEDUCK or lifecycle.enter(Phase.LAMEDUCK):
            return None
        return f"not serving: {lifecycle.phase.value}"

    def rejoin() -> CommandResult:
        if lifecycle.phase is Phase.SERVING or (
            lifecycle.phase is Phase.LAMEDUCK and lifecycle.enter(Phase.SERVING)
        ):
            return None
        return f"no way back: {lifecycle.phase.value}"

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
            running = reloaded = reload_config(running)
            effects.reload(reloaded)
            listener.set_classes(reloaded.settings.classes)
        except PlatformFileError as error:
            # Guards against a wrong or half-written file: the sidecar keeps its configuration.
            counters.add("config_reload_errors")
            log.write(f"{config.name}: kept the old configuration: {error}")

    loop.set_exception_handler(on_loop_exception)
    loop.add_signal_handler(signal.SIGTERM, terminate)
    loop.add_signal_handler(signal.SIGINT, terminate)
    loop.add_signal_handler(signal.SIGHUP, reload)
    release_reload_signal()
    loop.add_signal_handler(signal.SIGUSR1, log_counters)
    lifecycle.listen(lambda phase: log.write(f"{config.name}: {phase.value}"))
    lifecycle.listen(lambda phase: listener.drain(on=phase is Phase.LAMEDUCK))
    if attach is not None:
        attach(effects, lifecycle)
    if on_phase is not None:
        lifecycle.listen(on_phase)

    effects.load_known_endpoints()
    effects.endpoint_source.start()
    if config.console is not None and await _open(net, log, admin.open, config.console) is not None:
        log.write(f"{config.name}: admin address {config.console[0]}:{config.console[1]}")
    # If another process serves at this address, it goes on until this one has an endpoint list: clients must
    # not connect to a process without one.
    is_address_taken = net.is_taken(config.listen)
    if not is_address_taken and not await _listen(config, net, log, listener):
        return 1
    # In subscribe mode the first request is spread over time, as many sidecars may start at once: don't wait.
    use_known_at = net.now_s() + (0.0 if config.settings.must_ask else FIRST_LIST_TIMEOUT_S)
    while (
        not stop.is_set()
        and not effects.has_endpoints
        and not (effects.connection_pool.known and net.now_s() >= use_known_at)
    ):
        await asyncio.sleep(POLL_INTERVAL_S)
    if is_address_taken and not stop.is_set() and not await _listen(config, net, log, listener):
        return 1
    lifecycle.enter(Phase.SERVING)
    await stop.wait()

    await asyncio.sleep(DRAIN_DELAY_S)
    await listener.shut_down()
    while effects.owed or len(listener.clients):
        await asyncio.sleep(POLL_INTERVAL_S)
    effects.endpoint_source.close()
    effects.connection_pool.close()
    listener.close()
    admin.close()
    lifecycle.enter(Phase.STOPPED)
    log_counters()
    return 0


async def _listen(config: configuration.Config, net: Net, log: Log, listener: Listener) -> bool:
    port = await _open(net, log, listener.open, config.listen)
    if port is not None:
        log.write(f"{config.name}: listening on {config.listen[0]}:{port}")
    return port is not None


async def _open(
    net: Net, log: Log, listen: Callable[[Address], Awaitable[int]], address: Address
) -> int | None:
    """Listen and return the port; if the address can't be bound, log that and return None."""
    give_up_at = net.now_s() + BIND_TIMEOUT_S
    while True:
        try:
            return await listen(address)
        except OSError as error:
            if net.now_s() > give_up_at:
                log.write(f"cannot listen on {address[0]}:{address[1]}: {error}")
                return None
            await asyncio.sleep(BIND_RETRY_INTERVAL_S)


async def _serve(config: configuration.Config, log: Log) -> int:
    def freeze_when_serving(phase: Phase) -> None:
        if phase is Phase.SERVING:
            gc.freeze()  # the objects created so far stay: collections need not visit them

    return await serve(
        config,
        Net(asyncio.get_running_loop()),
        log,
        on_phase=freeze_when_serving,
        reload_config=lambda running: configuration.load(os.environ, is_reload=True, running=running),
    )


def main() -> int:
    """Run the platform's sidecar as the environment configures it; return 2 if the configuration is wrong."""
    hold_reload_signal()
    log = Log(time.monotonic)
    try:
        config = configuration.load(os.environ)
    except PlatformFileError as error:
        log.write(str(error))
        return 2
    return asyncio.run(_serve(config, log))
