"""Supervisors that are broken on purpose, to show that the judge sees it. Each leaves out a single thing."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from contextlib import AbstractContextManager, nullcontext
from dataclasses import dataclass
from typing import Any
from unittest import mock

import msgspec

from coveport.sidecar.supervisor import desired_state as desired_state_module
from coveport.sidecar.supervisor import instance_set as instance_set_module
from coveport.sidecar.supervisor.desired_state import DesiredState, InstanceHealth
from coveport.sidecar.supervisor.instance_set import InstanceSet
from coveport.sidecar.supervisor.instance_state import Command, Instance, State
from coveport.sidecar.supervisor.supervisor import Supervisor


@dataclass(frozen=True)
class FleetVariant:
    """What differs, and which of the judge's rules must find it."""

    name: str
    about: str
    rules: tuple[str, ...] = ()
    supervisor: type[Supervisor] = Supervisor
    instance_set: Callable[..., InstanceSet] | None = None
    locked: bool = True
    while_played: Callable[[], AbstractContextManager[Any]] = nullcontext


class _SpendsAtOnce(InstanceSet):
    """Starts all that wait."""

    def _start(self, now: float) -> list[Command]:
        return [order for one in self.by_name.values() if one.can_start(now) for order in one.start(now)]


class _Deaf(InstanceSet):
    """Takes what it could not hear for silence."""

    def stalled(self, now: float) -> None:
        self._spent_at = now


class _Rash(InstanceSet):
    """Replaces whoever is silent, however many are."""

    def _replace_hung(self, now: float) -> list[Command]:
        return [
            order
            for one in self.by_name.values()
            if one.heartbeat_age_s(now) > self.fleet.hung_s
            for order in one.hung(now)
        ]


class _Acts(Supervisor):
    """Goes on with what it was at, holder or not."""

    @property
    def acts(self) -> bool:
        return bool(self._token) and self.instances.plan is not None

    def _over(self, duty: str, token: int, why: str) -> None:
        self.holding = False
        self._runner.stop()


class _Forgets(Supervisor):
    """Takes nothing over: what runs is none of its business."""

    def _began(self, duty: str, token: int) -> None:
        found, self.processes.found = self.processes.found, dict  # type: ignore[method-assign]
        super()._began(duty, token)
        self._scan_at = float("inf")
        self.processes.found = found  # type: ignore[method-assign]


class _Before(Supervisor):
    """Ends who is to be restarted when it is asked, and writes the step down after that."""

    async def asked(self, told: dict[str, Any]) -> dict[str, Any]:
        if told.get("do") == "restart" and self.acts:
            now = self._now_s()
            for name in list(self.instances.by_name)[:1]:
                self._carry_out(self.instances.by_name[name].replace(now, self.instances.by_name[name].life))
        return await super().asked(told)


class _Promises(Supervisor):
    """Tells staff that it is done, and then does it."""

    async def asked(self, told: dict[str, Any]) -> dict[str, Any]:
        if told.get("do") == "scale":
            return {"ok": True, "said": "done"}
        return await super().asked(told)


def _patched(where: Any, name: str, other: Any) -> Callable[[], AbstractContextManager[Any]]:
    return lambda: mock.patch.object(where, name, other)


def _in_one_go(
    plan: DesiredState, health: Mapping[str, InstanceHealth], hold_s: float
) -> tuple[DesiredState, str] | None:
    restart = plan.restart
    if restart is None or restart.phase is not desired_state_module.RestartPhase.RUNNING:
        return None
    left = [name for name in restart.left if name in health][:1]
    after = (
        restart.to(desired_state_module.RestartPhase.DONE)
        if not left
        else msgspec.structs.replace(restart, lives={**restart.lives, left[0]: health[left[0]].life})
    )
    return msgspec.structs.replace(plan, restart=after), "on"


_REPLACE = Instance.replace


def _whoever(one: Instance, now: float, life: str) -> list[Command]:
    """Ends whoever has the name, whichever life the step names."""
    return _REPLACE(one, now, one.life)


def _at_once(one: Instance, now: float, failed: bool, why: str) -> None:
    """Starts again at once, however often."""
    one.replacing = ""
    one._to(now, State.WAITING if one.wanted else State.DOWN, why)
    one.wait_until = now


def _gives_up(one: Instance, now: float, failed: bool, why: str) -> None:
    """Never starts again what ended by itself."""
    one.replacing = ""
    one._to(now, State.WAITING if one.wanted else State.DOWN, why)
    one.wait_until = now if not failed else float("inf")


SOUND = FleetVariant("sound", "the shipped program")

VARIANTS: dict[str, FleetVariant] = {
    one.name: one
    for one in (
        FleetVariant("no-lock", "names have no locks", ("two",), supervisor=_Forgets, locked=False),
        FleetVariant(
            "forgets-lives",
            "takes nothing over from who was there before",
            ("back", "loop", "flood", "step"),
            supervisor=_Forgets,
        ),
        FleetVariant(
            "spends-at-once", "starts all that wait at once", ("flood",), instance_set=_SpendsAtOnce
        ),
        FleetVariant("deaf", "takes its own stall for theirs", ("healthy",), instance_set=_Deaf),
        FleetVariant(
            "rash",
            "ends all that are silent, though the host stood still",
            ("mass", "healthy"),
            instance_set=_Rash,
        ),
        FleetVariant("acts-on", "goes on without the duty", ("holder", "back"), supervisor=_Acts),
        FleetVariant(
            "before-the-step", "ends who is to be restarted before that stands", ("step",), supervisor=_Before
        ),
        FleetVariant("promises", "tells staff that it is done before it is", ("verb",), supervisor=_Promises),
        FleetVariant(
            "in-one-go",
            "a restart that waits for nobody",
            ("turns",),
            while_played=_patched(desired_state_module, "next_restart_step", _in_one_go),
        ),
        FleetVariant(
            "whoever",
            "a restart's step ends whoever has the name",
            ("step", "back"),
            while_played=_patched(Instance, "replace", _whoever),
        ),
        FleetVariant(
            "at-once",
            "starts again at once, however often it ends",
            ("loop",),
            while_played=_patched(Instance, "_after", _at_once),
        ),
        FleetVariant(
            "gives-up",
            "starts nothing again that ended by itself",
            ("back",),
            while_played=_patched(Instance, "_after", _gives_up),
        ),
        FleetVariant(
            "hopes",
            "waits for ever for one that gives no sign",
            ("back",),
            while_played=_patched(instance_set_module.InstanceSet, "_replace_hung", lambda self, now: []),
        ),
    )
}
