"""Judges what operators saw and what coordinators took for committed. Knows nothing of the judged code.

The one order in which changes were taken is read at the end. Everything that was ever seen must fit it.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum


class Verdict(Enum):
    """How a call ended."""

    OPEN = "open"  # never a clear answer
    ACCEPTED = "taken"
    CONFLICT = "another version is in place"
    READ = "read"


@dataclass(slots=True)
class Call:
    """One call of one operator, with all its repeats."""

    operator: str
    change: str  # empty: a read
    began_s: float
    ended_s: float = float("inf")
    verdict: Verdict = Verdict.OPEN
    seen: tuple[str, ...] = ()  # what a read returned


@dataclass(frozen=True, slots=True)
class ObservedState:
    """A coordinator took this for committed."""

    where: str  # machine and incarnation
    at_s: float
    state: tuple[str, ...]


ORDER = "order|"  # begins what bears no version


def is_order(text: str) -> bool:
    """Whether it bears no version; copies of it may all have taken effect."""
    return text.startswith(ORDER)


def base_of(change: str) -> int:
    """The edition that a change builds on."""
    return int(change.split("|")[0])


def edition_of(change: str) -> int:
    """The edition that a change brings."""
    return int(change.split("|")[1])


def check_history(calls: Sequence[Call], seen: Iterable[ObservedState], final: tuple[str, ...]) -> list[str]:
    """All that doesn't fit, in words; empty: nothing."""
    chain = tuple(change for change in final if not is_order(change))
    violations = _chain_violations(chain)
    positions = {change: position for position, change in enumerate(final, start=1)}
    by_change = {call.change: call for call in calls if call.change}
    for call in calls:
        if call.verdict is Verdict.ACCEPTED and call.change not in positions:
            violations.append(f"lost: {call.change} of {call.operator}, acknowledged at {call.ended_s:.3f}")
        if call.verdict is Verdict.CONFLICT and call.change in positions:
            violations.append(f"in force though refused: {call.change} of {call.operator}")
    violations += [f"never sent: {change}" for change in final if change not in by_change]
    if violations:
        return violations
    violations += _order_violations(calls, positions)
    violations += _read_violations(calls, positions, by_change, final)
    violations += _refusal_violations(calls, chain, by_change)
    violations += _observed_state_violations(seen, final, by_change)
    return violations


def _chain_violations(final: tuple[str, ...]) -> list[str]:
    violations = []
    edition = 0
    for change in final:
        if base_of(change) != edition:
            violations.append(f"{change} was taken on top of {edition}")
        edition = edition_of(change)
    return violations


def _order_violations(calls: Sequence[Call], positions: dict[str, int]) -> list[str]:
    """A change acknowledged before another call began comes before that one's change, with all its copies."""
    taken = sorted(
        (call for call in calls if call.change in positions), key=lambda call: positions[call.change]
    )
    violations = []
    for position, call in enumerate(taken):
        violations += [
            f"{call.change} began after {later.change} ended, yet came before it"
            for later in taken[position + 1 :]
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
            violations.append(f"{name} saw what isn't part of the history")
            continue
        least = max((where for ended_s, where in acknowledged if ended_s < read.began_s), default=0)
        least = max([least, *(len(peer.seen) for peer in reads if peer.ended_s < read.began_s)])
        if len(read.seen) < least:
            violations.append(
                f"{name} saw {len(read.seen)} changes, {least} were acknowledged or read before"
            )
        if any(by_change[change].began_s > read.ended_s for change in read.seen):
            violations.append(f"{name} saw a change that was sent later")
    return violations


def _refusal_violations(
    calls: Sequence[Call], final: tuple[str, ...], by_change: dict[str, Call]
) -> list[str]:
    """A refusal needs a moment between call and answer at which another edition was in force."""
    successor = {base_of(change): change for change in final}
    violations = []
    for call in calls:
        if call.verdict is not Verdict.CONFLICT:
            continue
        base = base_of(call.change)
        next_change = successor.get(base)
        is_base_last = base == (edition_of(final[-1]) if final else 0)
        if is_base_last or (next_change and by_change[next_change].began_s > call.ended_s):
            violations.append(f"refused for nothing: {call.change} of {call.operator}")
    return violations


def _observed_state_violations(
    seen: Iterable[ObservedState], final: tuple[str, ...], by_change: dict[str, Call]
) -> list[str]:
    violations = []
    last: dict[str, int] = {}
    for item in seen:
        if item.state != final[: len(item.state)]:
            violations.append(
                f"{item.where} at {item.at_s:.3f} took for committed what isn't: {item.state[-1:]}"
            )
        if len(item.state) < last.get(item.where, 0):
            violations.append(f"{item.where} went back at {item.at_s:.3f}")
        last[item.where] = len(item.state)
    return violations
