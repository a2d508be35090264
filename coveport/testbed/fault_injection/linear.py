"""Whether a history of calls could have come from one store that does one thing after the other.

After Wing and Gong (1993), with the memo of Lowe (2017): registers with compare-and-put, each key by
itself, as linearizability is local. A call whose end is unknown may have been carried out at any time after
it was sent, or never.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf


@dataclass(frozen=True, slots=True)
class Call:
    """A call at one register.

    `kind`: read, put, or swap (compare-and-put). `value`: what a read found, or what was put. `expected`:
    what a swap compared with. `end` inf: no answer came. `done` False: a swap that was refused.
    """

    start: float
    end: float
    kind: str
    value: int | None
    expected: int | None = None
    done: bool = True


class TooHardError(Exception):
    """The search would take too long; nothing is said of the history."""


def after(state: int | None, call: Call) -> tuple[bool, int | None]:
    """Whether a call could have ended so at this state, and the state after it."""
    if call.kind == "read":
        return call.value == state or call.end == inf, state
    if call.kind == "put":
        return True, call.value
    if call.end == inf:
        return True, call.value if state == call.expected else state
    return (state == call.expected) is call.done, call.value if call.done else state


def linearizable(calls: Sequence[Call], first: int | None = None, most: int = 2_000_000) -> bool:
    """Whether some order explains all answers; TooHardError after `most` steps of the search."""
    # Reads without an answer say nothing.
    line = sorted(
        (call for call in calls if not (call.kind == "read" and call.end == inf)), key=lambda one: one.start
    )
    ends = [call.end for call in line]
    must = frozenset(number for number, end in enumerate(ends) if end < inf)
    seen: set[tuple[frozenset[int], int | None]] = set()
    stack: list[tuple[frozenset[int], int | None]] = [(frozenset(), first)]
    steps = 0
    while stack:
        done, state = stack.pop()
        if must <= done:
            return True
        if (done, state) in seen:
            continue
        seen.add((done, state))
        # The next one began before the first of those that are left had its answer.
        bound = min(ends[number] for number in must - done)
        for number, call in enumerate(line):
            if call.start > bound:
                break
            steps += 1
            if steps > most:
                raise TooHardError(f"{len(line)} calls")
            if number not in done:
                fine, next_ = after(state, call)
                if fine:
                    stack.append((done | {number}, next_))
    return False
