"""Supervisors with one deliberate fault each, to show that the judge finds it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from typing import Any
from unittest import mock

import msgspec

from coveport.sidecar.supervisor import desired_state_role
from coveport.sidecar.supervisor.commands import Command
from coveport.sidecar.supervisor.desired_state import Change, DesiredState, RestartPhase
from coveport.sidecar.supervisor.instance import Instance
from coveport.sidecar.supervisor.instance_health import InstanceHealth
from coveport.sidecar.supervisor.instance_set import InstanceSet
from coveport.sidecar.supervisor.instance_state import InstanceState
from coveport.sidecar.supervisor.supervisor import Supervisor


@dataclass(frozen=True)
class FleetVariant:
    """A faulty supervisor. `rules`: the judge's rules of which at least one must find it.

    `are_names_locked`: whether names have locks. `while_played`: patches in force during the trial.
    """

    name: str
    description: str
    rules: tuple[str, ...] = ()
    supervisor: type[Supervisor] = Supervisor
    instance_set: Callable[..., InstanceSet] | None = None
    are_names_locked: bool = True
    while_played: Callable[[], AbstractContextManager[Any]] = nullcontext


class _StartsAllAtOnce(InstanceSet):
    """Starts all waiting instances without a token bucket."""

    def _start_waiting(self, now: float) -> list[Command]:
        return [
            command
            for instance in self.by_name.values()
            if instance.can_start(now)
            for command in instance.start(now)
        ]


class _IgnoresOwnStall(InstanceSet):
    """Takes heartbeats that it could not receive for missing ones."""

    def on_stalled(self, now: float) -> None:
        self._refilled_at = now


class _KillsAllUnresponsive(InstanceSet):
    """Replaces every silent instance, however many are silent."""

    def _replace_hung(self, now: float) -> list[Command]:
        return [
            command
            for instance in self.by_name.values()
            if instance.heartbeat_age_s(now) > self.fleet.hung_s
            for command in instance.kill_hung(now)
        ]


class _ActsWithoutRole(Supervisor):
    """Continues after it lost the role."""

    @property
    def may_act(self) -> bool:
        return bool(self._token) and self.instances.desired is not None

    def _on_lost(self, role: str, token: int, reason: str) -> None:
        self.holds_role = False
        self._runner.stop()


class _AdoptsNothing(Supervisor):
    """Does not take over running instances."""

    def _on_acquired(self, role: str, token: int) -> None:
        find_running = self.processes.find_running
        self.processes.find_running = dict  # type: ignore[method-assign]
        super()._on_acquired(role, token)
        self._scanned_at = float("inf")
        self.processes.find_running = find_running  # type: ignore[method-assign]


class _DrainsBeforeStep(Supervisor):
    """Drains an instance to be restarted on the request, before its step stands in the store."""

    async def handle_request(self, message: dict[str, Any]) -> dict[str, Any]:
        if message.get("do") == "restart" and self.may_act:
            now = self._now_s()
            for instance in list(self.instances.by_name.values())[:1]:
                self._carry_out(instance.replace(now, instance.incarnation))
        return await super().handle_request(message)


class _AnswersEarly(Supervisor):
    """Answers that a request is done before it is."""

    async def handle_request(self, message: dict[str, Any]) -> dict[str, Any]:
        if message.get("do") == "scale":
            return {"ok": True, "said": "done"}
        return await super().handle_request(message)


def _patched(target: Any, name: str, replacement: Any) -> Callable[[], AbstractContextManager[Any]]:
    return lambda: mock.patch.object(target, name, replacement)


def _restart_without_waiting(
    desired: DesiredState, health: Mapping[str, InstanceHealth], min_serving_s: float
) -> Change | None:
    restart = desired.restart
    if restart is None or restart.phase is not RestartPhase.RUNNING:
        return None
    name = next((name for name in restart.remaining if name in health), None)
    after = (
        restart.with_phase(RestartPhase.DONE)
        if name is None
        else msgspec.structs.replace(restart, replaced={**restart.replaced, name: health[name].incarnation})
    )
    return Change(msgspec.structs.replace(desired, restart=after), "on")


_REPLACE = Instance.replace


def _replace_any_incarnation(instance: Instance, now: float, incarnation: str) -> list[Command]:
    """Drain the present incarnation, whichever one the step names."""
    return _REPLACE(instance, now, instance.incarnation)


def _without_backoff(instance: Instance, now: float, is_failure: bool, reason: str) -> None:
    """Start again at once, however often it failed."""
    _wait_or_go_down(instance, now, reason)
    instance.wait_until = now


def _without_restart(instance: Instance, now: float, is_failure: bool, reason: str) -> None:
    """Never start again what exited by itself."""
    _wait_or_go_down(instance, now, reason)
    instance.wait_until = now if not is_failure else float("inf")


def _wait_or_go_down(instance: Instance, now: float, reason: str) -> None:
    instance.replacing = ""
    instance._transition(now, InstanceState.WAITING if instance.desired else InstanceState.DOWN, reason)


SOUND = FleetVariant("sound", "the shipped program")

VARIANTS: dict[str, FleetVariant] = {
    variant.name: variant
    for variant in (
        FleetVariant(
            "no-lock", "names have no locks", ("two",), supervisor=_AdoptsNothing, are_names_locked=False
        ),
        FleetVariant(
            "forgets-lives",
            "adopts no running instance",
            ("back", "loop", "flood", "step"),
            supervisor=_AdoptsNothing,
        ),
        FleetVariant(
            "spends-at-once",
            "starts all waiting instances at once",
            ("flood",),
            instance_set=_StartsAllAtOnce,
        ),
        FleetVariant(
            "deaf", "counts its own stall as missing heartbeats", ("healthy",), instance_set=_IgnoresOwnStall
        ),
        FleetVariant(
            "rash",
            "kills all silent instances though the host stalled",
            ("mass", "healthy"),
            instance_set=_KillsAllUnresponsive,
        ),
        FleetVariant(
            "acts-on", "continues without the role", ("holder", "back"), supervisor=_ActsWithoutRole
        ),
        FleetVariant(
            "before-the-step",
            "drains for a restart before the step is stored",
            ("step",),
            supervisor=_DrainsBeforeStep,
        ),
        FleetVariant(
            "promises", "answers that a request is done before it is", ("verb",), supervisor=_AnswersEarly
        ),
        FleetVariant(
            "in-one-go",
            "a rolling restart that waits for no instance",
            ("turns",),
            while_played=_patched(desired_state_role, "next_restart_step", _restart_without_waiting),
        ),
        FleetVariant(
            "whoever",
            "a restart's step drains any incarnation of the name",
            ("step", "back"),
            while_played=_patched(Instance, "replace", _replace_any_incarnation),
        ),
        FleetVariant(
            "at-once",
            "restarts without backoff",
            ("loop",),
            while_played=_patched(Instance, "_after_exit", _without_backoff),
        ),
        FleetVariant(
            "gives-up",
            "never restarts a crashed instance",
            ("back",),
            while_played=_patched(Instance, "_after_exit", _without_restart),
        ),
        FleetVariant(
            "hopes",
            "never replaces a hung instance",
            ("back",),
            while_played=_patched(InstanceSet, "_replace_hung", lambda self, now: []),
        ),
    )
}
