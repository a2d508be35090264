"""Exit codes of the operators' verbs, for scripts."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """The codes, as docs/operators/command-line.md lists them."""

    DONE = 0
    REFUSED = 1  # the core said no, or `diff` found differences
    WRONG_INPUT = 2  # an argument or a file is at fault: nothing was sent
    UNCLEAR = 3  # no clear answer: the change may have been taken or not
