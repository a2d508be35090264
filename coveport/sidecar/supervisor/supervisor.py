"""Supervises the instances of a host: carries out the instance set's commands under the role's lease.

A supervisor stands by while another one holds the role. When it acquires the role, it finds the running
instances by their locks; they keep running.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.config.operator_sections import MAX_INSTANCES
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.singletons.singleton import Step
from coveport.sidecar.singletons.singleton_runner import SingletonRunner
from coveport.sidecar.supervisor import log_events
from coveport.sidecar.supervisor.commands import Command, Drain, Kill, Start
from coveport.sidecar.supervisor.desired_state import DesiredState
from coveport.sidecar.supervisor.desired_state_role import DesiredStateRole, RequestResult
from coveport.sidecar.supervisor.fleet_request import Action, FleetRequest
from coveport.sidecar.supervisor.instance_health import SuccessRate
from coveport.sidecar.supervisor.instance_set import InstanceSet
from coveport.sidecar.supervisor.instance_state import ExitReason, InstanceState
from coveport.sidecar.supervisor.log_events import EventLog
from coveport.sidecar.supervisor.process_control import ProcessControl
from coveport.sidecar.supervisor.status import fleet_status

TICK_S = 0.05
STALL_S = 0.5  # delay of a tick after which notifications may have been lost
SCAN_INTERVAL_S = 1.0  # interval of scanning the locks for unreported processes
REQUEST_TIMEOUT_S = 10.0  # until the change of a request is stored


class Supervisor:
    """One supervisor of a host.

    `check_files` returns the error in the operator's files, empty if there is none; it is called before the
    files are used. `on_role_changed` is called with whether the role is held.
    """

    def __init__(
        self,
        operator_file: OperatorFile,
        lease_client: LeaseClient,
        processes: ProcessControl,
        *,
        now_s: Callable[[], float],
        rng: random.Random,
        log: EventLog,
        check_files: Callable[[], str],
        max_instances: int = MAX_INSTANCES,
    ) -> None:
        self.operator_file = operator_file
        self.lease_client = lease_client
        self.processes = processes
        self._now_s = now_s
        self._log = log
        self._check_files = check_files
        self.instances = InstanceSet(operator_file.fleet, rng)
        self.role = DesiredStateRole(
            operator_file.fleet,
            lambda: self.instances.health(self._now_s()),
            self._on_desired_state,
            max_instances,
        )
        self._runner = SingletonRunner(lease_client, self.role, now_s, self._on_step_committed)
        lease_client.on_acquired = self._on_acquired
        lease_client.on_lost = self._on_lost
        processes.on_exit = self._on_exit
        self.holds_role = False
        self.on_role_changed: Callable[[bool], Awaitable[None]] | None = None
        self._token = 0
        self._ticked_at = 0.0
        self._scanned_at = 0.0
        self._logged_states: dict[str, InstanceState] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopping = False

    # Start and stop.

    def start(self) -> None:
        """Start the supervisor; needs a running event loop."""
        self._ticked_at = self._now_s()
        self.lease_client.start()
        self._tasks.append(asyncio.ensure_future(self._run()))

    async def leave(self) -> None:
        """Release the role; the instances keep running."""
        self._is_stopping = True
        await self.lease_client.close()
        for task in self._tasks:
            task.cancel()
        self.processes.stop_watching()

    async def stop_all(self, timeout_s: float) -> bool:
        """Drain all instances; return whether all exited in time."""
        self._is_stopping = True
        deadline = self._now_s() + timeout_s
        commands: list[Command] = []
        now = self._now_s()
        for name in sorted(self.instances.by_name, key=self.operator_file.fleet.number, reverse=True):
            commands += self.instances.by_name[name].set_desired(now, False)
        self._carry_out(commands)
        while not self.instances.has_no_process and self._now_s() < deadline:
            now = self._now_s()
            self._carry_out(
                [command for instance in self.instances.by_name.values() for command in instance.tick(now)]
            )
            self._handle_state_changes()
            await asyncio.sleep(TICK_S)
        return self.instances.has_no_process

    def update_settings(self, operator_file: OperatorFile) -> None:
        """Use a reloaded operator's file."""
        self.operator_file = operator_file
        self.role.fleet = operator_file.fleet
        self.instances.update_settings(self._now_s(), operator_file.fleet)

    # The role.

    @property
    def is_only_supervisor(self) -> bool:
        """Whether no other supervisor is registered."""
        return all(name == self.lease_client.name for name in self.lease_client.instances)

    @property
    def may_act(self) -> bool:
        """Whether commands may be carried out now: the role is held, and its lease is valid."""
        return self.holds_role and self.lease_client.usable_token(self.role.name) == self._token

    def _on_acquired(self, role: str, token: int) -> None:
        self.holds_role = True
        self._token = token
        now = self._now_s()
        running = self.processes.find_running()
        self.instances.acquire(now, running)
        self._logged_states = {}
        self._log(log_events.FLEET_ACQUIRED, duty=role, token=token, found=sorted(running))
        self._runner.start(token)
        if self.on_role_changed is not None:
            self._tasks.append(asyncio.ensure_future(self._report_role(True)))

    def _on_lost(self, role: str, token: int, reason: str) -> None:
        self.holds_role = False
        self._runner.stop()
        self.role.on_role_lost()
        if not self._is_stopping:
            self.instances.release()
            self.processes.stop_watching()
        self._log(log_events.FLEET_RELEASED, duty=role, token=token, why=reason)
        if self.on_role_changed is not None:
            self._tasks.append(asyncio.ensure_future(self._report_role(False)))

    async def _report_role(self, holds_role: bool) -> None:
        # The role may have changed again before this task runs.
        if self.on_role_changed is not None and holds_role is self.holds_role:
            await self.on_role_changed(holds_role)

    def _on_desired_state(self, desired: DesiredState) -> None:
        if self.may_act and not self._is_stopping:
            self._carry_out(self.instances.apply(self._now_s(), desired))

    def _on_step_committed(self, step: Step, token: int, revision: int) -> None:
        self._log(log_events.DESIRED_STATE_CHANGED, token=token, revision=revision, what=step.description)
        self.role.on_step_committed(step)

    # The loop.

    async def _run(self) -> None:
        while True:
            now = self._now_s()
            if now - self._ticked_at > TICK_S + STALL_S:
                self._log(log_events.SUPERVISOR_STALLED, lasted=round(now - self._ticked_at, 2))
                self.instances.on_stalled(now)
                await asyncio.sleep(0)  # pending notifications are read first
            self._ticked_at = now
            if self.may_act and not self._is_stopping:
                if now - self._scanned_at >= SCAN_INTERVAL_S:
                    self._scan(now)
                self._carry_out(self.instances.tick(now))
            self._handle_state_changes()
            await asyncio.sleep(TICK_S)

    def _scan(self, now: float) -> None:
        """Adopt unknown processes that hold a lock."""
        self._scanned_at = now
        for name, incarnation in self.processes.find_running().items():
            self._carry_out(self.instances.on_running(now, name, incarnation))

    def _handle_state_changes(self) -> None:
        """Log each changed state; close the listeners of instances that should not serve."""
        for name, instance in self.instances.by_name.items():
            state = instance.state
            if self._logged_states.get(name) is state:
                continue
            self._logged_states[name] = state
            is_broken = state is InstanceState.BROKEN
            self._log(
                log_events.INSTANCE_BROKEN if is_broken else log_events.INSTANCE_STATE_CHANGED,
                name=name,
                state=state.value,
                life=instance.incarnation,
                why=instance.reason,
            )
            if state in (InstanceState.DOWN, InstanceState.BROKEN):
                self.processes.close_listener(name)
        for name in [name for name in self._logged_states if name not in self.instances.by_name]:
            del self._logged_states[name]
            self.processes.close_listener(name)

    # Commands.

    def _carry_out(self, commands: list[Command]) -> None:
        for position, command in enumerate(commands):
            # Checked before each command: the lease may have lapsed during a slow command.
            if not self.may_act:
                # Not kept for later: once the lease is renewed, the commands due then are given.
                self.instances.on_commands_dropped(commands[position:])
                return
            if isinstance(command, Start):
                self._start(command.name)
            elif isinstance(command, Drain):
                self._log(log_events.INSTANCE_DRAINING, name=command.name, life=command.incarnation)
                self.processes.drain(command.incarnation)
            elif isinstance(command, Kill):
                reason = self.instances.by_name[command.name].reason
                self._log(log_events.INSTANCE_KILLED, name=command.name, life=command.incarnation, why=reason)
                self.processes.kill(command.incarnation)

    def _start(self, name: str) -> None:
        now = self._now_s()
        fault = self._check_files()
        if fault:
            # Guards against files with which each process would exit at its start: no process is started.
            self.instances.on_unusable_files(now, name, fault)
            return
        try:
            incarnation = self.processes.start(name)
        except OSError as error:
            self.instances.on_start_failed(now, name, error.strerror or str(error))
            return
        self._log(log_events.INSTANCE_STARTED, name=name, life=incarnation)
        self._carry_out(self.instances.on_started(now, name, incarnation))

    def _on_exit(self, name: str, incarnation: str, reason: ExitReason) -> None:
        self._log(log_events.INSTANCE_EXITED, name=name, life=incarnation, how=reason.value)
        self.instances.on_exit(self._now_s(), name, incarnation, reason)

    def on_notification(self, pid: int, variables: Mapping[str, str]) -> None:
        """Handle a notification from an instance."""
        process = self.processes.identify(pid)
        if process is None:
            return
        now = self._now_s()
        if variables.get("STOPPING") == "1":
            self.instances.on_stopping(now, process.name, process.incarnation)
        if variables.get("READY") == "1":
            self.instances.on_ready(now, process.name, process.incarnation)
        if variables.get("WATCHDOG") == "1" or "X_SERVED" in variables:
            success = SuccessRate.parse(variables.get("X_SERVED", ""))
            self.instances.on_heartbeat(now, process.name, process.incarnation, success)

    # Requests of the operators.

    async def handle_request(self, message: dict[str, Any]) -> dict[str, Any]:
        """Carry out a request from the control socket; return its answer."""
        if message.get("do") == "status":
            return {"ok": True, **self.status()}
        if not self.may_act:
            return {"ok": False, "said": "refused: this supervisor does not hold the duty"}
        request = _parse_request(message)
        if request is None:
            return {"ok": False, "said": "refused: not a request that there is"}
        fault = self._check_files() if request.action in (Action.RESTART, Action.RESUME_RESTART) else ""
        if fault:
            return {"ok": False, "said": f"refused: {fault}"}
        done: asyncio.Future[RequestResult] = asyncio.get_running_loop().create_future()
        self.role.submit(request, lambda result: None if done.done() else done.set_result(result))
        try:
            result = await asyncio.wait_for(done, REQUEST_TIMEOUT_S)
        except TimeoutError:
            return {"ok": False, "said": "the store does not answer: it may be taken up yet"}
        return {"ok": result.is_done, "said": result.message}

    def status(self) -> dict[str, Any]:
        """Return the status that `coveport fleet status` shows."""
        return fleet_status(
            self.operator_file.fleet,
            self.instances,
            now=self._now_s(),
            supervisor=self.lease_client.name,
            holds_role=self.may_act,
            token=self._token if self.holds_role else 0,
        )


def _parse_request(message: Mapping[str, Any]) -> FleetRequest | None:
    """Return the request of a message; None if it is malformed."""
    try:
        return FleetRequest(
            id=str(message["id"]),
            action=str(message.get("do")),
            count=int(message.get("count", 0)),
            names=tuple(str(name) for name in message.get("names", ())),
            at_once=int(message.get("at_once", 1)),
        )
    except (KeyError, TypeError, ValueError):
        return None
