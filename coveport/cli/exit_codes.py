"""Exit codes of the verbs, for scripts."""

from __future__ import annotations

from enum import IntEnum


class ExitCode(IntEnum):
    """The codes; the help of the root explains them."""

    DONE = 0
    FAILED = 1  # a rule or an expectation didn't hold, or a request wasn't carried out
    UNUSABLE = 2  # a file or the call
    VOID = 3  # the machine ran late: a played day says nothing
    INTERNAL_ERROR = 70  # EX_SOFTWARE of sysexits.h
    INTERRUPTED = 130  # 128 + SIGINT, as shells have it
