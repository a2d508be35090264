"""A wish to stop, kept until somebody looks.

What a signal's handler raises comes up in whatever code runs just then; where that is a finalizer or a
weakref's callback, Python prints it and goes on, and the wish is lost. So handlers ask here, and loops look.
"""

from __future__ import annotations

_asked: list[BaseException] = []


def ask(problem: BaseException) -> None:
    """Have `look` raise this; the first wish counts."""
    if not _asked:
        _asked.append(problem)


def look() -> None:
    """Raise what was asked for, once."""
    if _asked:
        raise _asked.pop()


def forget() -> None:
    """Nobody wishes to stop any more."""
    _asked.clear()
