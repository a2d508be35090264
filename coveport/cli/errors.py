"""Errors that end a verb with one line."""

from __future__ import annotations

import click

from coveport.cli.exit_codes import ExitCode


class UnusableError(click.ClickException):
    """A file or the call can't be used; the text becomes one line on standard error."""

    exit_code = ExitCode.UNUSABLE
