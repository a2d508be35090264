"""A sidecar with an operator's file: the ordinary one, and beside it what the file turns on.

Nothing of it stands on an operation's way. Where the store is away the sidecar serves as it does without one.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import signal
import sys
import time
import uuid
from collections import deque
from typing import Any, TextIO

import structlog

from coveport import balancing
from coveport.net.transport import Net
from coveport.sidecar.config import platform as configuration
from coveport.sidecar.config.errors import PlatformFileError
from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.effects import Effects
from coveport.sidecar.intent_log.errors import EncryptionError
from coveport.sidecar.leases.clock import boot_s
from coveport.sidecar.leases.keys import INSTANCE_PREFIX, ROLE_PREFIX
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.log_events import DEBUG_EVENTS
from coveport.sidecar.leases.open_store import open_store
from coveport.sidecar.leases.store import Entry
from coveport.sidecar.recording import Recording
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.endpoint import EndpointAddress
from coveport.sidecar.reducer.phases import Lifecycle, Phase
from coveport.sidecar.service import serve
from coveport.sidecar.singletons.drill import Drill
from coveport.sidecar.singletons.health_checking import RESULT_PREFIX, HealthCheckResult, SharedHealthChecks
from coveport.sidecar.singletons.rollout import Rollout
from coveport.sidecar.singletons.rollout_follower import RolloutFollower
from coveport.sidecar.singletons.rollout_plan import is_rollout_active
from coveport.sidecar.singletons.singleton import SingletonRole, Step
from coveport.sidecar.singletons.singleton_runner import SingletonRunner
from coveport.sidecar.singletons.slow_start_client import CapacityClient
from coveport.sidecar.singletons.slow_start_coordinator import SlowStartCoordinator
from coveport.sidecar.singletons.slow_start_messages import GRANT_PREFIX, REQUEST_PREFIX, SafeLoad
from coveport.sidecar.supervisor.errors import NameLockedError
from coveport.sidecar.supervisor.instance_agent import InstanceAgent
from coveport.sidecar.supervisor.log_stream import StreamLog, stream_logger
from coveport.sidecar.telemetry.counters import ENDS, ended
from coveport.sidecar.telemetry.log import Log
from coveport.sidecar.upstream.attempt import AttemptResult

YIELD = "ask/yield/"
FARES_S = 1.0  # how often an instance looks how it fares
LATELY = 5  # over so many of those looks
WISH_S = 0.25  # how often it is looked whether there is a fresh node to wish for
LOOK_S = 0.5  # how often each node is looked at by whoever's turn it is
USELESS_S = 3.0  # no use as a holder: some destination was tried in this time, and none answered
REACHED = ("outcome_ok", "outcome_full", "outcome_error", "probe_ok")
MISSED = ("connects_failed", "outcome_connect_failed", "outcome_reset", "outcome_timeout")
LEAVE_S = 2.0
TELLING = frozenset(
    {
        balancing.Outcome.OK,
        balancing.Outcome.FULL,
        balancing.Outcome.CONNECT_FAILED,
        balancing.Outcome.TIMEOUT,
        balancing.Outcome.RESET,
    }
)  # outcomes that say whether a destination lives


def logger(told: OperatorFile, name: str, incarnation: str, agent: InstanceAgent | None) -> Any:
    """Return the logger of this instance's events, in JSON lines."""
    if agent is not None and not told.log.path:
        return stream_logger(told.fleet_folder, told.log.level, instance=name, incarnation=incarnation)
    file: TextIO = sys.stderr
    if told.log.path:
        file = open(told.folder / told.log.path, "a", encoding="utf-8")  # noqa: SIM115 - as long as we live
    level = logging.DEBUG if told.log.level == "debug" else logging.INFO
    made = structlog.wrap_logger(
        structlog.PrintLogger(file),
        processors=[structlog.processors.add_log_level, structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(level),
    )
    return made.bind(instance=name, incarnation=incarnation)


class Beside:
    """What stands beside one sidecar: its keeper, its duties, and its part in others' duties."""

    def __init__(
        self, told: OperatorFile, config: configuration.Config, log: Log, agent: InstanceAgent | None = None
    ) -> None:
        self._told = told
        self._config = config
        self._log = log
        self._agent = agent
        self.name = told.instance.name or config.name
        self.incarnation = f"{self.name}#{uuid.uuid4().hex[:12]}"
        self._lines = logger(told, self.name, self.incarnation, agent)
        chance = random.Random(uuid.uuid4().int)
        zone = config.settings.zone
        self._wished = told.duties.contended_roles(zone)
        self.lease_client = LeaseClient(
            open_store(told),
            name=self.name,
            incarnation=self.incarnation,
            roles=self._wished,
            terms=told.terms,
            now_s=boot_s,
            unix_s=time.time,
            history=self.history,
            rng=chance,
            prefix=told.store.prefix,
        )
        made: dict[str, SingletonRole] = {
            "drill": Drill(self.incarnation),
            "rollout": Rollout(),
            f"warden@{zone}": SlowStartCoordinator(
                zone, self.incarnation, _safe(config.settings), told.leases.drift
            ),
        }
        self._runners = {
            name: SingletonRunner(self.lease_client, made[name], boot_s, self._did) for name in self._wished
        }
        self.lease_client.on_acquired = lambda duty, token: self._runners[duty].start(token)
        self.lease_client.on_lost = lambda duty, token, why: self._runners[duty].stop()
        self.lease_client.on_change = self._changed
        self._recording: Recording | None = None
        if told.work.record:
            self._recording = Recording(
                told, config, self.lease_client, self.incarnation, self.history, chance
            )
        self._follower = RolloutFollower(self.name)
        self._health_checks = SharedHealthChecks(self.name, self.incarnation) if told.duties.looking else None
        self._capacity = CapacityClient(self.incarnation) if told.duties.warden else None
        self._operations: deque[tuple[float, int]] = deque(maxlen=9)  # when, and how many had come
        self._effects: Effects | None = None
        self._text: str | None = None  # settings that a roll-out has given us; None: our own file's
        self._taking: tuple[str, str | None] | None = None  # settings under way, and what ran before them
        self._ended: deque[tuple[int, int]] = deque(maxlen=LATELY + 1)  # served, all; so far
        self._reached: deque[tuple[int, int]] = deque(maxlen=int(USELESS_S / FARES_S) + 1)
        self._tasks: list[asyncio.Task[None]] = []
        self._leaving: asyncio.Task[None] | None = None

    def history(self, event: str, **fields: object) -> None:
        """Write down what we believe and do."""
        now = round(boot_s(), 4)
        line = self._lines.debug if event in DEBUG_EVENTS else self._lines.info
        line(event, at=now, clock=now, unix=round(time.time(), 3), **fields)

    def _did(self, step: Step, token: int, revision: int) -> None:
        if self._effects is not None:
            self._effects.counters.add("duty_steps")

    # Life.

    def joined(self, effects: Effects, life: Lifecycle) -> None:
        """Attach to the sidecar's parts, before anything is opened."""
        self._effects = effects
        counters = effects.counters
        counters.gauge(
            "duties_held",
            lambda: sum(
                bool(self.lease_client.lease_state.valid_token(boot_s(), name)) for name in self._wished
            ),
        )
        counters.gauge("store_calls", lambda: sum(self.lease_client.call_counts.values()))
        counters.gauge(
            "store_unknown",
            lambda: sum(
                count for name, count in self.lease_client.call_counts.items() if name.endswith("_unknown")
            ),
        )
        if self._recording is not None:
            self._recording.attach(effects)
        life.listen(self._phase)
        if self._health_checks is not None:
            effects.health_checks = self
        if self._agent is not None:
            self._agent.attach(effects, life, lambda: effects.connection_pool.endpoints)
        self.lease_client.publish_status(self._fares())

    def _phase(self, phase: Phase) -> None:
        if phase is Phase.SERVING and not self._tasks:
            self.lease_client.start()
            if self._recording is not None:
                self._recording.start()
            self._tasks = [asyncio.ensure_future(self._watch_ourselves())]
            if self._health_checks is not None:
                self._tasks.append(asyncio.ensure_future(self._look_by_turns(self._health_checks)))
            if self._capacity is not None:
                self._tasks.append(asyncio.ensure_future(self._wish_for_grants(self._capacity)))
        elif phase in (Phase.SERVING, Phase.LAMEDUCK):
            for duty in self._wished:
                self.lease_client.set_contending(duty, contending=phase is Phase.SERVING, reason="lame duck")
        elif phase is Phase.DRAINING:
            # Handed on before the first connection is closed: the rest of the end may take seconds.
            self._leaving = asyncio.ensure_future(self._leave())

    async def _leave(self) -> None:
        if self._recording is not None:
            await self._recording.drain()  # else others would take what we are still at
        await self.lease_client.close()

    async def leave(self) -> None:
        """Stop, as the sidecar has ended."""
        for task in self._tasks:
            task.cancel()
        if self._leaving is None:
            self._leaving = asyncio.ensure_future(self._leave())
        await asyncio.wait([self._leaving], timeout=LEAVE_S)
        if self._recording is not None:
            await asyncio.wait([asyncio.ensure_future(self._recording.close())], timeout=LEAVE_S)

    # What stands in the store.

    def _changed(self, key: str, entry: Entry | None) -> None:
        if self._recording is not None:
            self._recording.on_store_change(key, entry)
        if self._agent is not None and key.startswith(INSTANCE_PREFIX):
            self._agent.on_session_count(len(self.lease_client.instances))
        if key.startswith(YIELD) and entry is not None:
            duty = key[len(YIELD) :]
            held = self.lease_client.entries.get(ROLE_PREFIX + duty)
            if duty in self._runners and held is not None and entry.value == b"%d" % held.created:
                self.lease_client.step_down(duty, "staff")
        elif key.startswith(RESULT_PREFIX) and self._health_checks is not None:
            seen = self._health_checks.receive(boot_s(), time.time(), key[len(RESULT_PREFIX) :], entry)
            number = self._nodes().get(key[len(RESULT_PREFIX) :]) if seen is not None else None
            if seen is not None and number is not None and self._effects is not None:
                self._effects.counters.add("looks_heard")
                self._effects.feed(_as_probe(number, seen))
        elif key.startswith(("want/", "settings/")):
            self._follow()
        elif key.startswith(GRANT_PREFIX) and key.endswith(f"/{self.name}") and self._capacity is not None:
            self._take_grant(self._capacity, key[len(GRANT_PREFIX) :].partition("/")[0], entry)

    # Roll-out: our own part.

    def _follow(self) -> None:
        settings = self._follower.next_settings(self.lease_client.entries)
        if settings is None or self._effects is None or self._taking is not None:
            return
        self._taking = settings.id, self._text
        self._text = settings.text
        # As staff do it by hand: what is checked, kept and said is the same.
        signal.raise_signal(signal.SIGHUP)

    def _followed(self, fault: str) -> None:
        if self._taking is None:
            return
        (name, before), self._taking = self._taking, None
        if fault:
            self._text = before
            self._follower.record_rejected(name, fault)
        else:
            self._follower.record_applied(name)
        self.history("settings", wanted=name, fault=fault)
        self.lease_client.publish_status(self._fares())
        self._follow()  # the next may have come meanwhile

    def reread(self, running: configuration.Config) -> configuration.Config:
        """Return the configuration, read again; a rollout's settings replace those of the file."""
        loop = asyncio.get_running_loop()
        try:
            config = self._read(running)
        except PlatformFileError as problem:
            loop.call_soon(self._followed, str(problem))
            raise
        loop.call_soon(self._followed, "")
        return config if self._agent is None else self._agent.with_peer_count(config)

    def _read(self, running: configuration.Config) -> configuration.Config:
        if self._text is None:
            return configuration.load(os.environ, again=True, running=running)
        try:
            told = json.loads(self._told.platform.read_text(encoding="utf-8"))
            told["settings"] = json.loads(self._text)
        except (OSError, ValueError, TypeError) as problem:
            raise PlatformFileError(f"roll-out: {problem}") from problem
        return configuration.read(json.dumps(told), os.environ, again=True, running=running, where="roll-out")

    # How we fare.

    def _fares(self) -> bytes:
        served, all_ = 1.0, 0
        if len(self._ended) > 1:
            all_ = self._ended[-1][1] - self._ended[0][1]
            served = (self._ended[-1][0] - self._ended[0][0]) / all_ if all_ else 1.0
        return self._follower.status(self.incarnation, served, all_)

    async def _watch_ourselves(self) -> None:
        assert self._effects is not None
        counters = self._effects.counters
        while True:
            await asyncio.sleep(FARES_S)
            names = [one.name for one in self._config.settings.classes]
            served = sum(counters.get(ended(name, ENDS[0])) for name in names)
            self._ended.append(
                (served, sum(counters.get(ended(name, how)) for name in names for how in ENDS))
            )
            if is_rollout_active(self.lease_client.entries):
                self.lease_client.publish_status(
                    self._fares()
                )  # else nobody reads it, and nobody pays for it
            self._reached.append((sum(map(counters.get, REACHED)), sum(map(counters.get, MISSED))))
            first, last = self._reached[0], self._reached[-1]
            useless = (
                len(self._reached) == self._reached.maxlen and last[1] > first[1] and last[0] == first[0]
            )
            self.lease_client.set_unhealthy("no destination can be reached" if useless else "")

    # Grants of fresh nodes.

    async def _wish_for_grants(self, capacity: CapacityClient) -> None:
        assert self._effects is not None
        while True:
            await asyncio.sleep(WISH_S)
            now, effects = boot_s(), self._effects
            self._operations.append((now, effects.counters.get("operations")))
            (first, had), (last, has) = self._operations[0], self._operations[-1]
            fresh = {
                self._name_of(number): (zone, age / 1000) for number, (zone, age) in effects.fresh().items()
            }
            fresh.pop("", None)
            request = capacity.request(
                now, (has - had) / max(last - first, WISH_S), effects.service_ms / 1000, fresh
            )
            if request is not None:
                self.lease_client.publish(REQUEST_PREFIX + self.name, request)

    def _take_grant(self, capacity: CapacityClient, zone: str, entry: Entry | None) -> None:
        now = boot_s()
        grant = capacity.accept(now, zone, entry)
        if grant is None or self._effects is None:
            return
        lasts_ms = (grant.expires_at - now) * 1000
        nodes = self._nodes()
        for node, count in grant.operations.items():
            if node in nodes:
                self._effects.counters.add("granted", count)
                self._effects.feed(core.SlowStartGranted(nodes[node], count, lasts_ms))

    # Looking by turns.

    def _nodes(self) -> dict[str, int]:
        """Names that all instances give to the destinations, and our own numbers of them."""
        assert self._effects is not None
        return {_named(place): number for number, place in self._effects.connection_pool.endpoints.items()}

    async def _look_by_turns(self, health_checks: SharedHealthChecks) -> None:
        while True:
            await asyncio.sleep(LOOK_S / 2)
            nodes = self._nodes()
            health_checks.retain(nodes)
            for node in health_checks.checks_to_start(boot_s(), nodes, self.lease_client.entries, LOOK_S):
                self._probe(health_checks, node, nodes[node])

    def _probe(self, health_checks: SharedHealthChecks, node: str, number: int) -> None:
        effects = self._effects
        assert effects is not None
        started = boot_s()
        timeout_s = 2 * self._config.settings.limits.connect_timeout_ms / 1000
        health_checks.check_started(started, node)

        def done(result: AttemptResult) -> None:
            took = (boot_s() - started) * 1000
            effects.feed(core.HealthCheckEnded(number, result.outcome, took, result.load))
            ok = result.outcome is balancing.Outcome.OK
            published = health_checks.check_finished(boot_s(), time.time(), node, ok=ok, latency_ms=took)
            if published is not None:
                self.lease_client.publish(RESULT_PREFIX + node, published)

        effects.counters.add("probes_by_turn")
        effects.connection_pool.send(number, None, timeout_s, done)

    def shared_result(self, destination: int) -> core.HealthCheckEnded | None:
        """Another's look at a destination that the module wishes to look at; None: look yourself."""
        node = self._name_of(destination)
        if self._health_checks is None or not node:
            return None
        result = self._health_checks.recent_result(boot_s(), node)
        return None if result is None else _as_probe(destination, result)

    def observed(self, destination: int, outcome: balancing.Outcome) -> None:
        """Note the outcome of an attempt of this instance."""
        node = self._name_of(destination)
        if self._health_checks is not None and node and outcome in TELLING:
            ok = outcome in (balancing.Outcome.OK, balancing.Outcome.FULL)
            self._health_checks.operation_observed(boot_s(), node, ok=ok)

    def _name_of(self, destination: int) -> str:
        assert self._effects is not None
        place = self._effects.connection_pool.endpoints.get(destination)
        return "" if place is None else _named(place)


def _safe(settings: balancing.Settings) -> SafeLoad:
    rules = settings.rules
    return SafeLoad(rules.cold_from, rules.warm_after_ms / 1000, rules.overload_factor, rules.fall_ms / 1000)


def _named(endpoint: EndpointAddress) -> str:
    """Return the name that all instances use for a destination: its address and start time."""
    (host, port), started_ms = endpoint
    return f"{host}:{port}@{started_ms:.0f}"


def _as_probe(destination: int, seen: HealthCheckResult) -> core.HealthCheckEnded:
    return core.HealthCheckEnded(
        destination, balancing.Outcome.OK if seen.ok else balancing.Outcome.CONNECT_FAILED, seen.latency_ms
    )


async def _serve(
    told: OperatorFile, config: configuration.Config, log: Log, agent: InstanceAgent | None
) -> int:
    try:
        beside = Beside(told, config, log, agent)
    except EncryptionError as problem:
        log.say(str(problem))
        return 2
    given = None if agent is None else agent.inherited_listener()
    try:
        return await serve(
            config, Net(asyncio.get_running_loop(), given), log, reread=beside.reread, joined=beside.joined
        )
    finally:
        await beside.leave()


def main(told: OperatorFile, name: str = "") -> int:
    """Run it until SIGTERM; the exit code as the plain one's, and 3 where another has its name.

    `name`: of an instance of the file's fleet.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if not name:
        return _run(told, Log(time.monotonic), None)
    # Guards against a SIGTERM before there is a handler, which would end us as a crash does.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    log = StreamLog(time.monotonic, stream_logger(told.fleet_folder, instance=name))
    try:
        agent = InstanceAgent(told, name, os.environ)
    except NameLockedError as problem:
        log.say(str(problem))
        return 3
    os.environ["LB_NAME"], os.environ["LB_LISTEN"] = name, told.fleet.address(name)
    code = 1
    try:
        code = _run(told, log, agent)
        return code
    finally:
        agent.leave(code)


def _run(told: OperatorFile, log: Log, agent: InstanceAgent | None) -> int:
    os.environ["LB_CONFIG"] = str(told.platform)
    if told.instance.name:
        os.environ["LB_NAME"] = told.instance.name
    try:
        config = configuration.load(os.environ)
    except PlatformFileError as problem:
        log.say(str(problem))
        return 2
    unknown = set(told.work.record) - {one.name for one in config.settings.classes}
    if unknown:
        log.say(f"[work] record: there is no class {', '.join(sorted(unknown))}")
        return 2
    if agent is not None:
        config = agent.instance_config(config)
        if agent.snapshots.restored is not None or agent.snapshots.error:
            log.say(f"{config.name}: snapshot: {agent.snapshots.error or 'begins from it'}")
    return asyncio.run(_serve(told, config, log, agent))
