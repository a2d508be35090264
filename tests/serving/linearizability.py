"""Checks whether a history of changes and reads of the configuration is linearizable.

The checker shares no code with the programs under test or with their other checkers. The object is one
register with a version: a change names its base version, and is applied only if that version is current. The
algorithm is Wing and Gong's search with the cache of Lowe ("Testing for linearizability", 2017): operations
are placed one by one in an order that real time allows, and no pair of placed operations and state is
explored twice.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from math import inf

EMPTY = (0, "")  # version and content before any change


class Result(Enum):
    """The answer that the caller got."""

    DONE = "done"  # a change was applied, or a read returned `version` and `content`
    CONFLICT = "conflict"  # a change was rejected: another version was current
    UNKNOWN = "unknown"  # no clear answer: the change may be applied at any later time, or never


@dataclass(frozen=True, slots=True)
class Operation:
    """A change or a read, from its first attempt to its answer, with times of one clock."""

    began_s: float
    ended_s: float
    result: Result
    version: int  # that a change creates, or that a read returned
    content: str  # of that version
    base: int | None = None  # base version of a change; None for a read

    @property
    def is_change(self) -> bool:
        """Whether the operation is a change."""
        return self.base is not None


def is_linearizable(history: Iterable[Operation]) -> bool:
    """Return whether all answers fit one order of the operations that real time allows."""
    operations = [
        operation for operation in history if operation.is_change or operation.result is Result.DONE
    ]
    operations.sort(key=lambda operation: operation.began_s)
    return _Search(operations).run()


class _Search:
    """A depth-first search over pairs of the placed operations (one bit each) and the resulting state."""

    def __init__(self, operations: Sequence[Operation]) -> None:
        self._operations = operations
        is_answered = [operation.result is not Result.UNKNOWN for operation in operations]
        self._required = sum(1 << index for index, is_required in enumerate(is_answered) if is_required)

    def run(self) -> bool:
        stack = [(0, EMPTY)]
        seen = {stack[0]}
        while stack:
            placed, state = stack.pop()
            if placed & self._required == self._required:
                return True
            for successor in self._successors(placed, state):
                if successor not in seen:
                    seen.add(successor)
                    stack.append(successor)
        return False

    def _successors(self, placed: int, state: tuple[int, str]) -> list[tuple[int, tuple[int, str]]]:
        """Return the pairs that result from placing one more of the operations that may come next."""
        successors = []
        first_end_s = self._first_end_s(placed)
        for index, operation in enumerate(self._operations):
            if operation.began_s > first_end_s:
                break  # an operation that ended before this one began must be placed first
            if placed >> index & 1:
                continue
            next_state = _apply(operation, state)
            if next_state is not None:
                successors.append((placed | 1 << index, next_state))
        return successors

    def _first_end_s(self, placed: int) -> float:
        """Return the earliest end of the operations that must still be placed."""
        return min(
            (
                operation.ended_s
                for index, operation in enumerate(self._operations)
                if not placed >> index & 1 and operation.result is not Result.UNKNOWN
            ),
            default=inf,
        )


def _apply(operation: Operation, state: tuple[int, str]) -> tuple[int, str] | None:
    """Return the state after an operation; None if its answer doesn't fit the state before."""
    version, content = state
    if not operation.is_change:
        return state if (version, content) == (operation.version, operation.content) else None
    if operation.result is Result.CONFLICT:
        return state if version != operation.base else None
    is_applicable = version == operation.base and operation.version > version
    return (operation.version, operation.content) if is_applicable else None
