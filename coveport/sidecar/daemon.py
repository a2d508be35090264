"""Runs a sidecar with an operator's file: the plain sidecar, and the extensions that the file enables.

No operation waits for an extension. If the store is unavailable, the sidecar serves as it does without one.
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
from coveport.net.reload_signal import hold_reload_signal
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
from coveport.sidecar.telemetry.counters import RESULTS, result_counter
from coveport.sidecar.telemetry.log import Log
from coveport.sidecar.upstream.attempt import AttemptResult

STEP_DOWN_PREFIX = "ask/yield/"
STATUS_INTERVAL_S = 1.0  # time between samples of an instance's own success
STATUS_SAMPLES = 5  # number of samples from which an instance computes the success that it publishes
CAPACITY_REQUEST_INTERVAL_S = 0.25  # time between checks for destinations in slow start
CHECK_INTERVAL_S = 0.5  # time between shared health checks of a destination, by the instance whose turn it is
# An instance is unfit as a lease holder if in this time attempts failed and no destination answered.
UNREACHABLE_S = 3.0
REACHED = ("outcome_ok", "outcome_full", "outcome_error", "probe_ok")
UNREACHED = ("connects_failed", "outcome_connect_failed", "outcome_reset", "outcome_timeout")
CLOSE_TIMEOUT_S = 2.0
CONCLUSIVE_OUTCOMES = frozenset(
    {
        balancing.Outcome.OK,
        balancing.Outcome.FULL,
        balancing.Outcome.CONNECT_FAILED,
        balancing.Outcome.TIMEOUT,
        balancing.Outcome.RESET,
    }
)  # outcomes that show whether a destination is alive


def event_logger(
    operator_file: OperatorFile, name: str, incarnation: str, agent: InstanceAgent | None
) -> Any:
    """Return the logger of this instance's events, in JSON lines."""
    if agent is not None and not operator_file.log.path:
        return stream_logger(
            operator_file.fleet_folder, operator_file.log.level, instance=name, incarnation=incarnation
        )
    file: TextIO = sys.stderr
    if operator_file.log.path:
        file = open(operator_file.folder / operator_file.log.path, "a", encoding="utf-8")  # noqa: SIM115 - until the exit
    level = logging.DEBUG if operator_file.log.level == "debug" else logging.INFO
    event_log = structlog.wrap_logger(
        structlog.PrintLogger(file),
        processors=[structlog.processors.add_log_level, structlog.processors.JSONRenderer()],
        wrapper_class=structlog.make_filtering_bound_logger(level),
    )
    return event_log.bind(instance=name, incarnation=incarnation)


class SidecarExtensions:
    """The optional parts of one sidecar: lease client, singleton roles, part in other instances' roles."""

    def __init__(
        self,
        operator_file: OperatorFile,
        config: configuration.Config,
        log: Log,
        agent: InstanceAgent | None = None,
    ) -> None:
        self._operator_file = operator_file
        self._config = config
        self._log = log
        self._agent = agent
        self.name = operator_file.instance.name or config.name
        self.incarnation = f"{self.name}#{uuid.uuid4().hex[:12]}"
        self._event_log = event_logger(operator_file, self.name, self.incarnation, agent)
        rng = random.Random(uuid.uuid4().int)
        zone = config.settings.zone
        self._roles = operator_file.duties.contended_roles(zone)
        self.lease_client = LeaseClient(
            open_store(operator_file),
            name=self.name,
            incarnation=self.incarnation,
            roles=self._roles,
            terms=operator_file.terms,
            now_s=boot_s,
            unix_s=time.time,
            history=self.history,
            rng=rng,
            prefix=operator_file.store.prefix,
        )
        roles: dict[str, SingletonRole] = {
            "drill": Drill(self.incarnation),
            "rollout": Rollout(),
            f"warden@{zone}": SlowStartCoordinator(
                zone, self.incarnation, _safe_load(config.settings), operator_file.leases.drift
            ),
        }
        self._runners = {
            name: SingletonRunner(self.lease_client, roles[name], boot_s, self._on_role_step)
            for name in self._roles
        }
        self.lease_client.on_acquired = lambda role, token: self._runners[role].start(token)
        self.lease_client.on_lost = lambda role, token, why: self._runners[role].stop()
        self.lease_client.on_change = self._on_store_change
        self._recording: Recording | None = None
        if operator_file.work.record:
            self._recording = Recording(
                operator_file, config, self.lease_client, self.incarnation, self.history, rng
            )
        self._follower = RolloutFollower(self.name)
        self._health_checks = (
            SharedHealthChecks(self.name, self.incarnation) if operator_file.duties.looking else None
        )
        self._capacity = CapacityClient(self.incarnation) if operator_file.duties.warden else None
        # Samples: time in s, and operations received until then.
        self._operations: deque[tuple[float, int]] = deque(maxlen=9)
        self._effects: Effects | None = None
        self._rollout_settings: str | None = None  # None: the settings of the platform's file
        # Id of the rollout's settings being applied, and the rollout's settings before.
        self._applying: tuple[str, str | None] | None = None
        # Samples: operations completed so far, and operations ended so far.
        self._ended: deque[tuple[int, int]] = deque(maxlen=STATUS_SAMPLES + 1)
        # Samples: attempts that reached a destination so far, and attempts that did not.
        self._reached: deque[tuple[int, int]] = deque(maxlen=int(UNREACHABLE_S / STATUS_INTERVAL_S) + 1)
        self._tasks: list[asyncio.Task[None]] = []
        self._closing: asyncio.Task[None] | None = None

    def history(self, event: str, **fields: object) -> None:
        """Log an event of this instance."""
        now = round(boot_s(), 4)
        line = self._event_log.debug if event in DEBUG_EVENTS else self._event_log.info
        line(event, at=now, clock=now, unix=round(time.time(), 3), **fields)

    def _on_role_step(self, step: Step, token: int, revision: int) -> None:
        if self._effects is not None:
            self._effects.counters.add("duty_steps")

    # Lifecycle.

    def attach(self, effects: Effects, lifecycle: Lifecycle) -> None:
        """Attach to the sidecar's parts; called before any address is opened."""
        self._effects = effects
        counters = effects.counters
        counters.gauge(
            "duties_held",
            lambda: sum(
                bool(self.lease_client.lease_state.valid_token(boot_s(), name)) for name in self._roles
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
        lifecycle.listen(self._on_phase)
        if self._health_checks is not None:
            effects.health_checks = self
        if self._agent is not None:
            self._agent.attach(effects, lifecycle, lambda: effects.connection_pool.endpoints)
        self.lease_client.publish_status(self._status())

    def _on_phase(self, phase: Phase) -> None:
        if phase is Phase.SERVING and not self._tasks:
            self.lease_client.start()
            if self._recording is not None:
                self._recording.start()
            self._tasks = [asyncio.ensure_future(self._publish_status())]
            if self._health_checks is not None:
                self._tasks.append(asyncio.ensure_future(self._share_health_checks(self._health_checks)))
            if self._capacity is not None:
                self._tasks.append(asyncio.ensure_future(self._request_capacity(self._capacity)))
        elif phase in (Phase.SERVING, Phase.LAMEDUCK):
            for role in self._roles:
                self.lease_client.set_contending(role, contending=phase is Phase.SERVING, reason="lame duck")
        elif phase is Phase.DRAINING:
            # Release the roles before the first connection is closed: the shutdown may take seconds more.
            self._closing = asyncio.ensure_future(self._release_session())

    async def _release_session(self) -> None:
        if self._recording is not None:
            # Comes before the session ends: other instances would take over operations still in flight.
            await self._recording.drain()
        await self.lease_client.close()

    async def close(self) -> None:
        """Stop all extensions after the sidecar has ended."""
        for task in self._tasks:
            task.cancel()
        if self._closing is None:
            self._closing = asyncio.ensure_future(self._release_session())
        await asyncio.wait([self._closing], timeout=CLOSE_TIMEOUT_S)
        if self._recording is not None:
            await asyncio.wait([asyncio.ensure_future(self._recording.close())], timeout=CLOSE_TIMEOUT_S)

    # Changes in the store.

    def _on_store_change(self, key: str, entry: Entry | None) -> None:
        if self._recording is not None:
            self._recording.on_store_change(key, entry)
        if self._agent is not None and key.startswith(INSTANCE_PREFIX):
            self._agent.on_session_count(len(self.lease_client.instances))
        if key.startswith(STEP_DOWN_PREFIX) and entry is not None:
            role = key[len(STEP_DOWN_PREFIX) :]
            lease = self.lease_client.entries.get(ROLE_PREFIX + role)
            if role in self._runners and lease is not None and entry.value == b"%d" % lease.created:
                self.lease_client.step_down(role, "staff")
        elif key.startswith(RESULT_PREFIX) and self._health_checks is not None:
            result = self._health_checks.receive(boot_s(), time.time(), key[len(RESULT_PREFIX) :], entry)
            number = self._nodes().get(key[len(RESULT_PREFIX) :]) if result is not None else None
            if result is not None and number is not None and self._effects is not None:
                self._effects.counters.add("looks_heard")
                self._effects.feed(_as_health_check(number, result))
        elif key.startswith(("want/", "settings/")):
            self._apply_next_settings()
        elif key.startswith(GRANT_PREFIX) and key.endswith(f"/{self.name}") and self._capacity is not None:
            self._take_grant(self._capacity, key[len(GRANT_PREFIX) :].partition("/")[0], entry)

    # Rollout: this instance's settings.

    def _apply_next_settings(self) -> None:
        settings = self._follower.next_settings(self.lease_client.entries)
        if settings is None or self._effects is None or self._applying is not None:
            return
        self._applying = settings.id, self._rollout_settings
        self._rollout_settings = settings.text
        # As on a reload by an operator: the checks, their effect and the log lines are the same.
        signal.raise_signal(signal.SIGHUP)

    def _on_reloaded(self, fault: str) -> None:
        if self._applying is None:
            return
        (name, before), self._applying = self._applying, None
        if fault:
            self._rollout_settings = before
            self._follower.record_rejected(name, fault)
        else:
            self._follower.record_applied(name)
        self.history("settings", wanted=name, fault=fault)
        self.lease_client.publish_status(self._status())
        self._apply_next_settings()  # the next settings may have arrived meanwhile

    def reload_config(self, running: configuration.Config) -> configuration.Config:
        """Return the configuration, read again; a rollout's settings replace those of the file."""
        loop = asyncio.get_running_loop()
        try:
            config = self._read(running)
        except PlatformFileError as error:
            loop.call_soon(self._on_reloaded, str(error))
            raise
        loop.call_soon(self._on_reloaded, "")
        return config if self._agent is None else self._agent.with_peer_count(config)

    def _read(self, running: configuration.Config) -> configuration.Config:
        if self._rollout_settings is None:
            return configuration.load(os.environ, is_reload=True, running=running)
        try:
            platform = json.loads(self._operator_file.platform.read_text(encoding="utf-8"))
            platform["settings"] = json.loads(self._rollout_settings)
        except (OSError, ValueError, TypeError) as error:
            raise PlatformFileError(f"roll-out: {error}") from error
        return configuration.read(
            json.dumps(platform), os.environ, is_reload=True, running=running, where="roll-out"
        )

    # This instance's status.

    def _status(self) -> bytes:
        success_ratio, ended = 1.0, 0
        if len(self._ended) > 1:
            ended = self._ended[-1][1] - self._ended[0][1]
            success_ratio = (self._ended[-1][0] - self._ended[0][0]) / ended if ended else 1.0
        return self._follower.status(self.incarnation, success_ratio, ended)

    async def _publish_status(self) -> None:
        assert self._effects is not None
        counters = self._effects.counters
        while True:
            await asyncio.sleep(STATUS_INTERVAL_S)
            names = [request_class.name for request_class in self._config.settings.classes]
            completed = sum(counters.get(result_counter(name, RESULTS[0])) for name in names)
            self._ended.append(
                (
                    completed,
                    sum(counters.get(result_counter(name, result)) for name in names for result in RESULTS),
                )
            )
            if is_rollout_active(self.lease_client.entries):
                # The status is read during a rollout only; without one a write to the store would be wasted.
                self.lease_client.publish_status(self._status())
            self._reached.append((sum(map(counters.get, REACHED)), sum(map(counters.get, UNREACHED))))
            first, last = self._reached[0], self._reached[-1]
            is_unreachable = (
                len(self._reached) == self._reached.maxlen and last[1] > first[1] and last[0] == first[0]
            )
            self.lease_client.set_unhealthy("no destination can be reached" if is_unreachable else "")

    # Capacity of destinations in slow start.

    async def _request_capacity(self, capacity: CapacityClient) -> None:
        assert self._effects is not None
        while True:
            await asyncio.sleep(CAPACITY_REQUEST_INTERVAL_S)
            now, effects = boot_s(), self._effects
            self._operations.append((now, effects.counters.get("operations")))
            (first_at, first_count), (last_at, last_count) = self._operations[0], self._operations[-1]
            warming_up = {
                self._name_of(number): (zone, age / 1000)
                for number, (zone, age) in effects.in_slow_start().items()
            }
            warming_up.pop("", None)
            request = capacity.request(
                now,
                (last_count - first_count) / max(last_at - first_at, CAPACITY_REQUEST_INTERVAL_S),
                effects.service_ms / 1000,
                warming_up,
            )
            if request is not None:
                self.lease_client.publish(REQUEST_PREFIX + self.name, request)

    def _take_grant(self, capacity: CapacityClient, zone: str, entry: Entry | None) -> None:
        now = boot_s()
        grant = capacity.accept(now, zone, entry)
        if grant is None or self._effects is None:
            return
        valid_ms = (grant.expires_at - now) * 1000
        nodes = self._nodes()
        for node, count in grant.operations.items():
            if node in nodes:
                self._effects.counters.add("granted", count)
                self._effects.feed(core.SlowStartGranted(nodes[node], count, valid_ms))

    # Shared health checks.

    def _nodes(self) -> dict[str, int]:
        """Return the destinations' shared names, and their numbers in this instance."""
        assert self._effects is not None
        return {
            _endpoint_name(endpoint): number
            for number, endpoint in self._effects.connection_pool.endpoints.items()
        }

    async def _share_health_checks(self, health_checks: SharedHealthChecks) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S / 2)
            nodes = self._nodes()
            health_checks.retain(nodes)
            for node in health_checks.checks_to_start(
                boot_s(), nodes, self.lease_client.entries, CHECK_INTERVAL_S
            ):
                self._check_health(health_checks, node, nodes[node])

    def _check_health(self, health_checks: SharedHealthChecks, node: str, number: int) -> None:
        effects = self._effects
        assert effects is not None
        started = boot_s()
        timeout_s = 2 * self._config.settings.limits.connect_timeout_ms / 1000
        health_checks.check_started(started, node)

        def on_ended(result: AttemptResult) -> None:
            latency_ms = (boot_s() - started) * 1000
            effects.feed(core.HealthCheckEnded(number, result.outcome, latency_ms, result.load))
            ok = result.outcome is balancing.Outcome.OK
            published = health_checks.check_finished(
                boot_s(), time.time(), node, ok=ok, latency_ms=latency_ms
            )
            if published is not None:
                self.lease_client.publish(RESULT_PREFIX + node, published)

        effects.counters.add("probes_by_turn")
        effects.connection_pool.send(number, None, timeout_s, on_ended)

    def shared_result(self, destination: int) -> core.HealthCheckEnded | None:
        """Return another instance's recent result for a destination; None: this instance must check."""
        node = self._name_of(destination)
        if self._health_checks is None or not node:
            return None
        result = self._health_checks.recent_result(boot_s(), node)
        return None if result is None else _as_health_check(destination, result)

    def observed(self, destination: int, outcome: balancing.Outcome) -> None:
        """Record the outcome of an attempt of this instance."""
        node = self._name_of(destination)
        if self._health_checks is not None and node and outcome in CONCLUSIVE_OUTCOMES:
            ok = outcome in (balancing.Outcome.OK, balancing.Outcome.FULL)
            self._health_checks.operation_observed(boot_s(), node, ok=ok)

    def _name_of(self, destination: int) -> str:
        assert self._effects is not None
        endpoint = self._effects.connection_pool.endpoints.get(destination)
        return "" if endpoint is None else _endpoint_name(endpoint)


def _safe_load(settings: balancing.Settings) -> SafeLoad:
    rules = settings.rules
    return SafeLoad(rules.cold_from, rules.warm_after_ms / 1000, rules.overload_factor, rules.fall_ms / 1000)


def _endpoint_name(endpoint: EndpointAddress) -> str:
    """Return the name that all instances use for a destination: its address and start time."""
    (host, port), started_ms = endpoint
    return f"{host}:{port}@{started_ms:.0f}"


def _as_health_check(destination: int, result: HealthCheckResult) -> core.HealthCheckEnded:
    return core.HealthCheckEnded(
        destination,
        balancing.Outcome.OK if result.ok else balancing.Outcome.CONNECT_FAILED,
        result.latency_ms,
    )


async def _serve(
    operator_file: OperatorFile, config: configuration.Config, log: Log, agent: InstanceAgent | None
) -> int:
    try:
        extensions = SidecarExtensions(operator_file, config, log, agent)
    except EncryptionError as error:
        log.write(str(error))
        return 2
    inherited_listener = None if agent is None else agent.inherited_listener()
    try:
        return await serve(
            config,
            Net(asyncio.get_running_loop(), inherited_listener),
            log,
            reload_config=extensions.reload_config,
            attach=extensions.attach,
        )
    finally:
        await extensions.close()


def main(operator_file: OperatorFile, name: str = "") -> int:
    """Run the sidecar until SIGTERM; return its exit code, 3 if another process has locked its name.

    `name`: the instance's name if it belongs to the file's fleet.
    """
    hold_reload_signal()
    if not name:
        return _run(operator_file, Log(time.monotonic), None)
    # Guards against a SIGTERM before its handler is installed: it would end the process like a crash.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    log = StreamLog(time.monotonic, stream_logger(operator_file.fleet_folder, instance=name))
    try:
        agent = InstanceAgent(operator_file, name, os.environ)
    except NameLockedError as error:
        log.write(str(error))
        return 3
    os.environ["LB_NAME"], os.environ["LB_LISTEN"] = name, operator_file.fleet.address(name)
    code = 1
    try:
        code = _run(operator_file, log, agent)
        return code
    finally:
        agent.leave(code)


def _run(operator_file: OperatorFile, log: Log, agent: InstanceAgent | None) -> int:
    os.environ["LB_CONFIG"] = str(operator_file.platform)
    if operator_file.instance.name:
        os.environ["LB_NAME"] = operator_file.instance.name
    try:
        config = configuration.load(os.environ)
    except PlatformFileError as error:
        log.write(str(error))
        return 2
    unknown = set(operator_file.work.record) - {
        request_class.name for request_class in config.settings.classes
    }
    if unknown:
        log.write(f"[work] record: there is no class {', '.join(sorted(unknown))}")
        return 2
    if agent is not None:
        config = agent.instance_config(config)
        if agent.snapshots.restored is not None or agent.snapshots.error:
            log.write(f"{config.name}: snapshot: {agent.snapshots.error or 'restored'}")
    return asyncio.run(_serve(operator_file, config, log, agent))
