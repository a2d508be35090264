"""What ends a verb, and the exit codes."""

from __future__ import annotations

import click

OK = 0
NOT_HELD = 1  # a rule or an expectation
UNUSABLE = 2  # a file or the call
VOID = 3  # the machine ran late
OWN_FAULT = 70  # EX_SOFTWARE of sysexits.h
INTERRUPTED = 130  # 128 + SIGINT, as shells have it


class Unusable(click.ClickException):
    """A file or the call can't be used; its text becomes one line."""

    exit_code = UNUSABLE
