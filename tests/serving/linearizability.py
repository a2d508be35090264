"""Checks histories of a configuration that operators change and read for linearizability.

It knows nothing of the judged programs, and shares no code with them or with their other judges. The object
is one register with a version: a change names the version that it builds on and takes effect only there. Wing
and Gong's search with the memory of Lowe ("Testing for linearizability", 2017): operations are placed one by
one in an order that real time allows, and a pair of placed operations and state is never tried twice.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from math import inf

EMPTY = (0, "")  # version and content before any change


class Result(Enum):
    """What the caller was told."""

    DONE = "done"  # a change took effect, a read returned `version` and `content`
    CONFLICT = "conflict"  # of a change: another version was current
    UNKNOWN = "unknown"  # no clear answer: it may take effect at any later time, or never


@dataclass(frozen=True, slots=True)
class Operation:
    """A change (with `base`) or a read, from its first send to its answer, in seconds of one clock."""

    began_s: float
    ended_s: float
    result: Result
    version: int  # that a change brings, or that a read returned
    content: str  # the same
    base: int | None = None  # the version that a change builds on; None: a read

    @property
    def is_change(self) -> bool:
        """Whether it writes."""
        return self.base is not None


def is_linearizable(history: Iterable[Operation]) -> bool:
    """Return whether some order that real time allows explains all answers."""
    operations = [one for one in history if one.is_change or one.result is Result.DONE]
    operations.sort(key=lambda one: one.began_s)
    return _Search(operations).run()


class _Search:
    """Depth-first, over pairs of what is placed (bits by operation) and the state that it led to."""

    def __init__(self, operations: Sequence[Operation]) -> None:
        self._operations = operations
        must = [one.result is not Result.UNKNOWN for one in operations]
        self._required = sum(1 << at for at, is_required in enumerate(must) if is_required)

    def run(self) -> bool:
        stack = [(0, EMPTY)]
        seen = {stack[0]}
        while stack:
            placed, state = stack.pop()
            if placed & self._required == self._required:
                return True
            for following in self._following(placed, state):
                if following not in seen:
                    seen.add(following)
                    stack.append(following)
        return False

    def _following(self, placed: int, state: tuple[int, str]) -> list[tuple[int, tuple[int, str]]]:
        """Return what one more operation leads to, of those that may come next."""
        found = []
        first_end_s = self._first_end_s(placed)
        for at, operation in enumerate(self._operations):
            if operation.began_s > first_end_s:
                break  # one that has ended before it began must be placed first
            if placed >> at & 1:
                continue
            after = _apply(operation, state)
            if after is not None:
                found.append((placed | 1 << at, after))
        return found

    def _first_end_s(self, placed: int) -> float:
        """Return when the first operation that must still be placed ended."""
        return min(
            (
                operation.ended_s
                for at, operation in enumerate(self._operations)
                if not placed >> at & 1 and operation.result is not Result.UNKNOWN
            ),
            default=inf,
        )


def _apply(operation: Operation, state: tuple[int, str]) -> tuple[int, str] | None:
    """Return the state after an operation; None where its answer doesn't fit the state before."""
    version, content = state
    if not operation.is_change:
        return state if (version, content) == (operation.version, operation.content) else None
    if operation.result is Result.CONFLICT:
        return state if version != operation.base else None
    is_applicable = version == operation.base and operation.version > version
    return (operation.version, operation.content) if is_applicable else None
