"""The states that a supervisor assigns to an instance, and the transitions between them. Pure.

The usual transitions (`TRANSITIONS` lists all allowed ones):

    DOWN -> WAITING -> STARTING -> SERVING -> STOPPING -> DOWN | WAITING
    STARTING, SERVING -> WAITING (it exited by itself) | BROKEN (too often, or its files are unusable)
    STARTING, SERVING, STOPPING -> KILLING (time-out, or hung) -> DOWN | WAITING | BROKEN
    BROKEN -> WAITING (one attempt after a long rest)

The values are shown by `coveport fleet status` and written to the log stream; they must not change.
"""

from __future__ import annotations

from enum import Enum


class InstanceState(Enum):
    """The state of an instance."""

    DOWN = "down"  # not desired, and without a process
    WAITING = "waiting"  # desired; waits for a start token, or for its backoff to pass
    STARTING = "starting"  # its process runs, or is being started, and has not reported ready
    SERVING = "serving"
    STOPPING = "stopping"  # draining: it was sent SIGTERM, or stops by itself
    KILLING = "killing"
    BROKEN = "broken"  # in a crash loop, or its files are unusable: not restarted for `rest_s`


TRANSITIONS: dict[InstanceState, frozenset[InstanceState]] = {
    InstanceState.DOWN: frozenset({InstanceState.WAITING, InstanceState.STARTING}),
    InstanceState.WAITING: frozenset({InstanceState.DOWN, InstanceState.STARTING}),
    InstanceState.STARTING: frozenset(
        {
            InstanceState.SERVING,
            InstanceState.STOPPING,
            InstanceState.KILLING,
            InstanceState.WAITING,
            InstanceState.BROKEN,
            InstanceState.DOWN,
        }
    ),
    InstanceState.SERVING: frozenset(
        {
            InstanceState.STOPPING,
            InstanceState.KILLING,
            InstanceState.WAITING,
            InstanceState.BROKEN,
            InstanceState.DOWN,
        }
    ),
    InstanceState.STOPPING: frozenset({InstanceState.KILLING, InstanceState.WAITING, InstanceState.DOWN}),
    InstanceState.KILLING: frozenset({InstanceState.WAITING, InstanceState.DOWN, InstanceState.BROKEN}),
    InstanceState.BROKEN: frozenset({InstanceState.WAITING, InstanceState.DOWN, InstanceState.STARTING}),
}

# A process runs, or its start was commanded.
ACTIVE_STATES = frozenset(
    {InstanceState.STARTING, InstanceState.SERVING, InstanceState.STOPPING, InstanceState.KILLING}
)


class ExitReason(Enum):
    """Why a process exited, derived from its exit code."""

    CLEAN = "clean"  # by itself or by SIGTERM, with all requests answered
    UNUSABLE_FILES = "unusable"
    NAME_LOCKED = "held"  # another incarnation holds the lock of its name
    CRASH = "crash"
