"""Exit codes of the operators' verbs, for scripts."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """The codes, as docs/operators/command-line.md lists them."""

    DONE = 0
    REFUSED = 1  # the core rejected the request, or `diff` found differences
    WRONG_INPUT = 2  # an argument or a file is invalid; nothing was sent
    UNCLEAR = 3  # no final response: the change may or may not have been made
