"""Checks a history of calls and committed states against the final state, without the code under test.

The final state lists all changes in the order in which they were applied. All earlier results must fit it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """The result of a call."""

    OPEN = "open"  # no clear answer: the change may or may not have been applied
    ACCEPTED = "taken"
    CONFLICT = "another version is in place"
    READ = "read"


@dataclass(slots=True)
class Call:
    """One call of one operator, with all its retries."""

    operator: str
    change: str  # empty for a read
    began_s: float
    ended_s: float = float("inf")
    verdict: Verdict = Verdict.OPEN
    seen: tuple[str, ...] = ()  # state that a read returned


@dataclass(frozen=True, slots=True)
class ObservedState:
    """A state that a coordinator reported as committed."""

    incarnation: str  # machine and number of its incarnation
    at_s: float
    state: tuple[str, ...]


UNVERSIONED_PREFIX = "order|"  # start of a command without a version


def is_unversioned(command: str) -> bool:
    """Return whether a command has no version; such a command may have been applied more than once."""
    return command.startswith(UNVERSIONED_PREFIX)


def base_of(change: str) -> int:
    """Return the edition that a change is based on."""
    return int(change.split("|")[0])


def edition_of(change: str) -> int:
    """Return the edition that a change creates."""
    return int(change.split("|")[1])


def check_history(
    calls: Sequence[Call], observed_states: Iterable[ObservedState], final: tuple[str, ...]
) -> list[str]:
    """Return a text for each violation; an empty list for a consistent history."""
    versioned = tuple(change for change in final if not is_unversioned(change))
    violations = _base_violations(versioned)
    positions = {change: position for position, change in enumerate(final, start=1)}
    by_change = {call.change: call for call in calls if call.change}
    for call in calls:
        if call.verdict is Verdict.ACCEPTED and call.change not in positions:
            violations.append(f"lost: {call.change} of {call.operator}, acknowledged at {call.ended_s:.3f}")
        if call.verdict is Verdict.CONFLICT and call.change in positions:
            violations.append(f"applied though rejected: {call.change} of {call.operator}")
    violations += [f"never sent: {change}" for change in final if change not in by_change]
    if violations:
        return violations
    violations += _order_violations(calls, positions)
    violations += _read_violations(calls, positions, by_change, final)
    violations += _rejection_violations(calls, versioned, by_change)
    violations += _observed_state_violations(observed_states, final, by_change)
    return violations


def _base_violations(versioned: tuple[str, ...]) -> list[str]:
    """Return the changes that were applied on another edition than their base."""
    violations = []
    edition = 0
    for change in versioned:
        if base_of(change) != edition:
            violations.append(f"{change} was applied on edition {edition}")
        edition = edition_of(change)
    return violations


def _order_violations(calls: Sequence[Call], positions: dict[str, int]) -> list[str]:
    """Return the changes that were applied before a change that was acknowledged before they were sent.

    A command that was applied more than once counts at its last position.
    """
    applied = sorted(
        (call for call in calls if call.change in positions), key=lambda call: positions[call.change]
    )
    violations = []
    for position, call in enumerate(applied):
        violations += [
            f"{call.change} began after {later.change} ended, but was applied before it"
            for later in applied[position + 1 :]
            if later.ended_s < call.began_s
        ]
    return violations


def _read_violations(
    calls: Sequence[Call], positions: dict[str, int], by_change: dict[str, Call], final: tuple[str, ...]
) -> list[str]:
    violations = []
    acknowledged = sorted(
        (call.ended_s, positions[call.change]) for call in calls if call.verdict is Verdict.ACCEPTED
    )
    reads = sorted((call for call in calls if call.verdict is Verdict.READ), key=lambda call: call.began_s)
    for read in reads:
        name = f"read of {read.operator} at {read.began_s:.3f} to {read.ended_s:.3f}"
        if read.seen != final[: len(read.seen)]:
            violations.append(f"{name} returned a state that isn't part of the history")
            continue
        min_length = max(
            (position for ended_s, position in acknowledged if ended_s < read.began_s), default=0
        )
        min_length = max([min_length, *(len(peer.seen) for peer in reads if peer.ended_s < read.began_s)])
        if len(read.seen) < min_length:
            violations.append(
                f"{name} returned {len(read.seen)} changes, {min_length} were acknowledged or read before"
            )
        if any(by_change[change].began_s > read.ended_s for change in read.seen):
            violations.append(f"{name} returned a change that was sent later")
    return violations


def _rejection_violations(
    calls: Sequence[Call], versioned: tuple[str, ...], by_change: dict[str, Call]
) -> list[str]:
    """Return the changes that were rejected though no other edition was current at any time of the call."""
    successor = {base_of(change): change for change in versioned}
    violations = []
    for call in calls:
        if call.verdict is not Verdict.CONFLICT:
            continue
        base = base_of(call.change)
        next_change = successor.get(base)
        is_base_last = base == (edition_of(versioned[-1]) if versioned else 0)
        if is_base_last or (next_change and by_change[next_change].began_s > call.ended_s):
            violations.append(f"rejected without a conflict: {call.change} of {call.operator}")
    return violations


def _observed_state_violations(
    observed_states: Iterable[ObservedState], final: tuple[str, ...], by_change: dict[str, Call]
) -> list[str]:
    violations = []
    last_lengths: dict[str, int] = {}
    for observed in observed_states:
        if observed.state != final[: len(observed.state)]:
            violations.append(
                f"{observed.incarnation} at {observed.at_s:.3f} reported an uncommitted change as committed: "
                f"{observed.state[-1:]}"
            )
        if len(observed.state) < last_lengths.get(observed.incarnation, 0):
            violations.append(f"{observed.incarnation} returned to an older state at {observed.at_s:.3f}")
        last_lengths[observed.incarnation] = len(observed.state)
    return violations
