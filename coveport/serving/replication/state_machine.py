"""The interface of the replicated state machine."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from coveport.serving.replication.errors import DivergedStateError


@dataclass(frozen=True, slots=True)
class Applied:
    """The outcome of a valid command: the state after the command, and the result for the caller."""

    state: Any
    result: Any


@dataclass(frozen=True, slots=True)
class Refused:
    """The outcome of a command that the state does not allow; `result` is the reason, for the caller."""

    result: Any


Apply = Callable[[Any, bytes], "Applied | Refused"]  # deterministic: depends on its arguments alone


@dataclass(frozen=True, slots=True)
class StateMachine:
    """The functions that apply commands and encode states. `decode` raises UnreadableStateError."""

    apply: Apply
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Any]

    def replay(self, state: Any, command: bytes) -> Any:
        """Return the state after a command that another replica applied.

        Raises DivergedStateError if the command is refused here.
        """
        applied = self.apply(state, command)
        if not isinstance(applied, Applied):
            raise DivergedStateError(
                f"expected a command that every replica applies, but it was refused: {applied.result!r}"
            )
        return applied.state
