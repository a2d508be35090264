"""Plays a drawn day on simulated ground: the real program, any number of instances, in one process."""

from __future__ import annotations

import asyncio
import gc
import json
import signal
import time
import warnings
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from coveport.net.address import Address
from coveport.sidecar.config import platform as configuration
from coveport.sidecar.config.errors import PlatformFileError
from coveport.sidecar.service import serve
from coveport.sidecar.telemetry.log import Log
from coveport.testbed.broken import Variant, variant_named
from coveport.testbed.conductor import (
    OF_DISCOVERY,
    OF_NETWORK,
    OF_NODES,
    OF_QUEUES,
    OF_SIDECARS,
    OF_TILLS,
    conduct,
    write_faults,
)
from coveport.testbed.day import Change, Day, SidecarDrawn, Wish, sidecar_settings
from coveport.testbed.event_log import EventLog, Life, Sample
from coveport.testbed.faults import OF_STAFF
from coveport.testbed.model import KeyMemory
from coveport.testbed.network_model import CLIENT, Ways
from coveport.testbed.playing import Played
from coveport.testbed.simulated_network.harsh import Harsh
from coveport.testbed.simulated_network.hosts import VirtualHost
from coveport.testbed.simulated_network.network import Network
from coveport.testbed.simulated_network.wires import VirtualNet
from coveport.testbed.simulated_network.world import Process, World
from coveport.testbed.standins import staff
from coveport.testbed.standins.clients import Tills
from coveport.testbed.standins.discovery import Discovery
from coveport.testbed.standins.health import wait_until_ready
from coveport.testbed.standins.nodes import LedgerNode
from coveport.testbed.standins.operation_costs import WorkBook

PORT = 9000
BEFORE_S = 2.0  # the sidecars start so long before the day begins
SLICE_S = 0.25  # how often it is looked whether all is over
SAMPLE_S = 1.0
END_S = 12.0  # how long the planned end may take before it counts as hung
FRONT_S = 4.5  # how long the front asks after staff have drained a sidecar, or taken it back
UPGRADE_S = 6.0  # after which the old one is told to stop, whatever the new one says
READY_EVERY_S = 0.05
CONSOLE_PORT = 9100
PERIOD_S = 0.1  # of which a starved process has its part (as the kernel's CPU quota has it)
RELOAD_SIGNAL, STOP_SIGNAL, TELL_SIGNAL = int(signal.SIGHUP), int(signal.SIGTERM), int(signal.SIGUSR1)
NODES, AGENTS, MOVED, TILLS = 1, 2, 3, 4  # blocks of addresses
FAR = (NODES, AGENTS, MOVED)  # beyond the network; tills sit beside their sidecar
TOLD = "counters "  # what comes before the figures in a line of the log


def _ip(block: int, number: int) -> str:
    return f"10.{block}.{number // 250}.{number % 250 + 1}"


@dataclass(slots=True)
class _Running:
    """A sidecar's process."""

    process: Process
    net: VirtualNet
    generation: int
    ended: bool = False
    wanted: bool = False  # its end was asked for
    stalled: bool = False  # the event log says so
    replaced: bool = False  # another one stands beside it and takes over
    console: Address = ("", 0)


class _Sidecars:
    """All sidecars: started, told, killed, and started again."""

    def __init__(self, play: _Play, variant: Variant) -> None:
        self._play = play
        self._variant = variant
        self._running: dict[int, _Running] = {}
        self._discovery_at: dict[int, Address] = {}
        self._moves = 0
        self._tries: dict[int, dict[int, float]] = {}  # by sidecar and fault: how often files say one may try
        self._scraped: set[int] = set()
        self._consoles: dict[int, Address] = {}  # of those that were replaced: where staff call now
        self.logs: dict[int, list[str]] = {}
        self._again: set[int] = set()  # those to start again once they have ended
        # What holds for a sidecar's machine, by what and by fault; a process started meanwhile has it, too.
        self._machines: dict[tuple[int, str], dict[int, float]] = {}

    def address(self, number: int) -> Address:
        return _ip(0, number), PORT

    def launch(self, drawn: SidecarDrawn, beside: bool = False) -> None:
        """Start it; `beside`: while the one before serves on."""
        play, number = self._play, drawn.number
        before = self._running.get(number)
        generation = before.generation + 1 if before is not None else 0
        process = Process.start(play.world, f"{drawn.name}.{generation}")
        place = (
            play.network.places[self.address(number)[0]]
            if beside
            else play.network.place(self.address(number)[0], drawn.zone, number)
        )
        net = VirtualNet(process, play.network, place, read_chunk=play.day.scenario.network.read_chunk)
        running = self._running[number] = _Running(process, net, generation)
        running.console = self.address(number)[0], CONSOLE_PORT + generation % 100
        self._furnish(number, running)
        process.on_exit = lambda code: self._ended(number, running, code)
        lines = self.logs.setdefault(number, [])
        log = Log(process.time, lambda line: lines.append(f"{play.day_ms() / 1000:9.3f} {line}"))
        self._write(number, "replace" if beside else "start", str(generation))
        play.discovery.told_known(number)
        try:
            config = self._config(drawn, generation)
        except PlatformFileError as problem:
            log.write(str(problem))
            running.ended = True
            self._write(number, "exit", "2")
            return

        async def run() -> int:
            return await serve(
                config,
                net,
                log,
                reload_config=lambda _: self._config(drawn, generation),
                reducer=self._variant.reducer,
                effects_type=self._variant.effects,
            )

        def ended(task: asyncio.Task[int]) -> None:
            problem = None if task.cancelled() else task.exception()
            if problem is not None:
                log.write(f"ended by {problem!r}")
            self._ended(number, running, 1 if problem is not None else task.result())

        process.call_soon(lambda: process.create_task(run()).add_done_callback(ended))
        if beside:
            return
        play.lab.call_soon(
            lambda: wait_until_ready(
                play.host_of_tills(number), self.address(number), lambda: self._ready(number, running)
            )
        )

    def _config(self, drawn: SidecarDrawn, generation: int) -> configuration.Config:
        play, number = self._play, drawn.number
        limits, (host, port) = play.day.scenario.limits, self.address(number)
        discovery = self._discovery_at.setdefault(number, play.agents[number].address(number))
        told = {
            "name": drawn.name,
            "listen": f"{host}:{port}",
            "discovery": "{}:{}".format(*discovery),
            "seed": f"{(drawn.seed * 1_000_003 + generation) % (1 << 64):x}",
            "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.descriptors},
            "known": play.discovery.known(number),
            "settings": self._settings(drawn),
        }
        if any(isinstance(one, OF_STAFF) for one in play.day.scenario.faults):
            told["console"] = "{}:{}".format(*self._running[number].console)
        return configuration.read(json.dumps(told), {})

    def _settings(self, drawn: SidecarDrawn) -> dict[str, object]:
        told = sidecar_settings(self._play.day, drawn)
        tries = [int(value) for value in self._tries.get(drawn.number, {}).values()]
        limits = told["limits"]
        if tries and isinstance(limits, dict):
            told["limits"] = limits | {"most_tries": min(tries)}
        return told

    def _write(self, number: int, what: str, detail: str = "") -> None:
        self._play.event_log.write(Life(self._play.day_ms(), number, what, detail))

    def _ready(self, number: int, running: _Running) -> None:
        if self._running.get(number) is running and not running.ended:
            self._write(number, "ready")

    def _ended(self, number: int, running: _Running, code: int) -> None:
        if running.ended:
            return
        running.ended = True
        self._write(number, *(("replaced",) if running.replaced and not code else ("exit", str(code))))
        running.process.kill()
        if running.replaced:
            return
        if number in self._again:
            self._again.discard(number)
            self._play.lab.call_later(0.05, self.launch, self._play.day.sidecars[number])

    def change(self, change: Change) -> None:
        """Carry out one of `SIDECAR_CHANGES`."""
        if change.what in ("clock", "starve", "descriptors"):
            self._change_machine(change)
            return
        if change.what in ("upgrade", "lameduck", "retune", "scrape"):
            self._change_by_staff(change)
            return
        number = change.target
        running = self._running[number]
        if change.what == "launch":
            if running.ended:
                self.launch(self._play.day.sidecars[number])
        elif running.ended:
            return
        elif change.what == "kill":
            running.ended = True
            self._write(number, "kill")
            running.process.kill()
        elif change.what == "stall":
            self._stall(number, running, change.value / 1000)
        else:
            self._write(number, "term")
            self._again.add(number)
            running.process.deliver(STOP_SIGNAL)

    def _change_by_staff(self, change: Change) -> None:
        number, play = change.target, self._play
        running, host = self._running[number], play.host_of_tills(number)
        write = partial(self._write, number)
        if change.what == "retune":
            tries = self._tries.setdefault(number, {})
            if change.on:
                tries[change.fault] = change.value
            else:
                tries.pop(change.fault, None)
            if not running.ended:
                self._write(number, "reload")
                running.process.deliver(RELOAD_SIGNAL)
        elif change.what == "scrape":
            if change.on:
                self._scraped.add(number)
                play.lab.create_task(
                    staff.scrape(
                        host,
                        lambda: self._consoles.get(number, self._running[number].console),
                        change.value / 1000,
                        int(change.share),
                        write,
                        lambda: number in self._scraped,
                    )
                )
            else:
                self._scraped.discard(number)
        elif running.ended:
            return
        elif change.what == "lameduck":
            line = "LAMEDUCK" if change.on else "REJOIN"
            play.lab.create_task(staff.drain(host, running.console, line, write))
            play.lab.create_task(staff.front(host, self.address(number), FRONT_S, write))
        else:
            play.lab.create_task(self._upgrade(number, running))

    async def _upgrade(self, number: int, old: _Running) -> None:
        """Start another one beside it, and tell it to stop once that one is ready."""
        play = self._play
        self.launch(play.day.sidecars[number], beside=True)
        new, host = self._running[number], play.host_of_tills(number)
        until = play.world.now + UPGRADE_S
        while not old.ended and not new.ended and play.world.now < until:
            if (await staff.call(host, new.console, "PING")).startswith("ACK"):
                self._consoles[number] = new.console
                break
            await asyncio.sleep(READY_EVERY_S)
        if not old.ended:
            old.replaced = True
            old.process.deliver(STOP_SIGNAL)

    def _change_machine(self, change: Change) -> None:
        number, table = change.target, self._machines.setdefault((change.target, change.what), {})
        starved = bool(table)
        if change.on:
            table[change.fault] = change.value
        else:
            table.pop(change.fault, None)
        if change.what == "starve":
            if not starved:
                self._starve(number)
        else:
            self._furnish(number, self._running[number])

    def _furnish(self, number: int, running: _Running) -> None:
        """Give a process what its machine has."""
        limit = self._play.day.scenario.limits.descriptors
        running.net.descriptors = int(min([limit, *self._machines.get((number, "descriptors"), {}).values()]))
        running.process.clock_step_s = sum(self._machines.get((number, "clock"), {}).values()) / 1000

    def _starve(self, number: int) -> None:
        """Take its part of the next tenth of a second from a sidecar, for as long as it is starved."""
        shares = self._machines[number, "starve"]
        if shares:
            running = self._running[number]
            if not running.ended:
                self._stall(number, running, (1 - min(shares.values())) * PERIOD_S, "starve")
            self._play.lab.call_later(PERIOD_S, self._starve, number)

    def _stall(self, number: int, running: _Running, seconds: float, detail: str = "") -> None:
        if not running.stalled:
            running.stalled = True
            self._write(number, "stall", detail)
        running.process.stall(seconds)

        def over() -> None:
            if running.stalled and not running.ended and running.process.busy_until <= self._play.world.now:
                running.stalled = False
                self._write(number, "resume", detail)

        self._play.lab.call_later(seconds, over)

    def move(self, number: int) -> None:
        """Its discovery is to be found elsewhere from now on."""
        play = self._play
        self._moves += 1
        host = play.host(MOVED, self._moves, CLIENT, number)
        play.lab.create_task(play.discovery.move(number, host))
        self._discovery_at[number] = host.address(number)
        running = self._running[number]
        if not running.ended:
            self._write(number, "reload")
            running.process.deliver(RELOAD_SIGNAL)

    def sample(self) -> None:
        """Note what each holds."""
        for number, running in self._running.items():
            if not running.ended:
                self._play.event_log.write(
                    Sample(self._play.day_ms(), number, 0.0, running.net.open_sides, 0.0)
                )

    def held(self) -> dict[int, dict[str, int]]:
        """What those that run hold now; their tables as they print them themselves, where they can."""
        play = self._play
        running = {number: one for number, one in self._running.items() if not one.ended}
        said = {number: len(self.logs[number]) for number in running}
        held = {
            number: {
                "connections": one.net.open_sides,
                "connecting": one.net.connecting,
                "tasks": len(asyncio.all_tasks(one.process)),
                "timers": play.world.timers(one.process),
            }
            for number, one in running.items()
        }
        for one in running.values():
            one.process.deliver(TELL_SIGNAL)
        play.world.run(play.world.now)
        for number, mine in held.items():
            lines = [line.partition(TOLD)[2] for line in self.logs[number][said[number] :] if TOLD in line]
            if lines:
                mine |= json.loads(lines[-1])["tables"]
        return held

    def stop(self) -> None:
        """Tell all to stop."""
        for number, running in self._running.items():
            self._again.discard(number)
            if not running.ended:
                self._write(number, "term")
                running.process.deliver(STOP_SIGNAL)

    @property
    def all_ended(self) -> bool:
        return all(running.ended for running in self._running.values())

    @property
    def wakes(self) -> int:
        """Callbacks run by those that run now."""
        return sum(running.process.wakes for running in self._running.values())

    def kill(self) -> None:
        """Leave none."""
        for running in self._running.values():
            running.process.kill()

    def faults(self) -> list[str]:
        """What went wrong in their loops and was not taken."""
        return [
            f"sidecar {number}: {context}"
            for number, running in self._running.items()
            for context in running.process.problems
        ]


class _Play:
    """One run."""

    def __init__(self, day: Day, variant: Variant) -> None:
        self.day = day
        self.event_log = EventLog()
        self.world = World()
        self.start_s = self.world.now + BEFORE_S
        self.ways = Ways(day)
        self.network = Network(self.world, self.ways, self.start_s, Harsh.of(day.scenario.network, day.seed))
        self.lab = Process.start(self.world, "lab")
        self.lab_net = VirtualNet(self.lab, self.network, self.network.place("10.9.0.1", CLIENT))
        keys, works = KeyMemory(), WorkBook(day)
        self._hosts: list[VirtualHost] = []
        self.nodes: list[LedgerNode] = []
        for drawn in day.nodes:
            host = self.host(NODES, drawn.number, drawn.zone)
            self._hosts.append(host)
            self.nodes.append(
                LedgerNode(host, self.event_log, day, drawn, keys, works, rtt_ms=self._rtt(drawn.zone))
            )
        unix_offset_ms = (self.world.unix_s() - self.world.now + self.start_s) * 1000
        self.discovery = Discovery(
            day,
            self.event_log,
            self.lab_net,
            self.day_ms,
            lambda node, sidecar: self._hosts[node].address(sidecar),
            unix_ms_of=lambda at: at + unix_offset_ms,
            on_move=self._moved,
        )
        self.agents = [self.host(AGENTS, one.number, CLIENT, one.number) for one in day.sidecars]
        self._till_hosts = [self.host(TILLS, one.number, CLIENT, one.number) for one in day.sidecars]
        self.sidecars = _Sidecars(self, variant)
        self.held: dict[int, dict[str, int]] = {}  # by the sidecars, before they were told to stop
        wishes: list[list[Wish]] = [[] for _ in day.sidecars]
        for wish in day.wishes:
            wishes[wish.sidecar].append(wish)
        self.tills = [
            Tills(
                self._till_hosts[one.number],
                self.event_log,
                day,
                one,
                wishes[one.number],
                partial(self.sidecars.address, one.number),
            )
            for one in day.sidecars
        ]

    def _rtt(self, zone: int) -> Callable[[int], float]:
        zones = [one.zone for one in self.day.sidecars]
        return lambda sidecar: 2 * self.ways.base_ms(zones[sidecar], zone)

    def host(self, block: int, number: int, zone: int, sidecar: int = -1) -> VirtualHost:
        """A stand-in's machine."""
        place = self.network.place(_ip(block, number), zone, sidecar, far=block in FAR)
        return VirtualHost(self.lab, self.network, place, PORT, self.start_s)

    def host_of_tills(self, number: int) -> VirtualHost:
        return self._till_hosts[number]

    def day_ms(self) -> float:
        return (self.world.now - self.start_s) * 1000

    def _moved(self, sidecar: int) -> None:
        self.sidecars.move(sidecar)

    def _start(self) -> None:
        for node in self.nodes:
            if node.drawn.born:
                self.lab.create_task(node.start())
        for drawn in self.day.sidecars:
            self.lab.create_task(self.discovery.agent(drawn.number, self.agents[drawn.number]))
        for drawn in self.day.sidecars:
            self.sidecars.launch(drawn)
        for till in self.tills:
            till.start()
        conduct(
            self.day.changes,
            self.lab_net,
            self.day_ms,
            (
                (OF_NODES, self._node_change),
                (OF_NODES | OF_DISCOVERY, self.discovery.change),
                (OF_NETWORK, self.ways.change),
                (OF_SIDECARS, self.sidecars.change),
                (OF_QUEUES, self._queue_change),
                (OF_TILLS, self._till_change),
            ),
        )
        self._sample()

    def _node_change(self, change: Change) -> None:
        for node in self.nodes if change.target < 0 else (self.nodes[change.target],):
            node.change(change)

    def _queue_change(self, change: Change) -> None:
        for host in self._hosts if change.target < 0 else (self._hosts[change.target],):
            host.clog(change.fault, change.on)

    def _till_change(self, change: Change) -> None:
        for till in self.tills:
            till.change(change)

    def _sample(self) -> None:
        self.sidecars.sample()
        self.lab.call_later(SAMPLE_S, self._sample)

    def run(self, progress: Callable[[float], None] | None) -> None:
        """Play it to its end."""
        scenario, world = self.day.scenario, self.world
        self.lab.call_soon(self._start)
        over = self.start_s + scenario.length_s
        latest = over + scenario.tail_s
        while world.now < latest:
            world.run(min(world.now + SLICE_S, latest))
            if progress is not None:
                progress(min(1.0, max(0.0, (world.now - self.start_s) / scenario.length_s)))
            if world.now >= over and all(till.done for till in self.tills):
                break
        world.run(world.now + scenario.quiet_s)
        self.held = self.sidecars.held()
        self.sidecars.stop()
        latest = world.now + END_S
        while world.now < latest and not self.sidecars.all_ended:
            world.run(world.now + SLICE_S)
        for till in self.tills:
            till.close()
        world.run(world.now + 1.0)


def play_day(
    day: Day, *, variant: str = "", logs: Path | None = None, progress: Callable[[float], None] | None = None
) -> Played:
    """Play a day; `variant` names a deliberately different sidecar (see `coveport.testbed.broken`).

    `logs`: a folder that gets what each sidecar printed. ValueError where no such variant is known.
    """
    began = time.perf_counter()
    play = _Play(day, variant_named(variant))
    write_faults(day, play.event_log)
    # A day makes no garbage in circles that matters, and looking for some costs a tenth of the time.
    gc.collect()
    gc.freeze()
    thresholds = gc.get_threshold()
    gc.set_threshold(100_000, 50, 100)
    try:
        with warnings.catch_warnings():
            # What a killed process had just begun is thrown away unstarted, as it should be.
            warnings.filterwarnings("ignore", "coroutine .* was never awaited", RuntimeWarning)
            play.run(progress)
            play.sidecars.kill()
            gc.collect()
    finally:
        play.sidecars.kill()
        play.lab.kill()
        gc.set_threshold(*thresholds)
        gc.unfreeze()
    rows = sorted(play.event_log.rows, key=lambda row: row.at)
    said = {number: "\n".join(lines) for number, lines in play.sidecars.logs.items()}
    if logs is not None:
        logs.mkdir(parents=True, exist_ok=True)
        for number, text in said.items():
            (logs / f"{day.sidecars[number].name}.log").write_text(text + "\n")
    notes = play.sidecars.faults() + [f"the lab: {context}" for context in play.lab.problems]
    return Played(
        day, "virtual", rows, False, play.network.trace, time.perf_counter() - began, said, notes, play.held
    )
