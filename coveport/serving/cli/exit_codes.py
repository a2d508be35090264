"""What the operators' verbs tell scripts by their exit code."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """The meaning of each code; `docs/operators/command-line.md` has them too."""

    DONE = 0
    REFUSED = 1  # the core said no, or `diff` found differences
    WRONG_INPUT = 2  # an argument or a file is at fault: nothing was sent
    UNCLEAR = 3  # no clear answer: the change may have been taken or not
