"""Reads the files that are named on the command line."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from cyclopts import Parameter

from coveport.serving.cli.output import print_error

SettingsFile = Annotated[Path, Parameter(help="The settings file (TOML).")]
ConfigurationFile = Annotated[Path, Parameter(help="The configuration (JSON).")]


def read_text(file: Path) -> str | None:
    """Return a file's text (UTF-8); print the reason on standard error and return None if unreadable."""
    try:
        return file.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as error:
        print_error(f"{file}: can't be read: {error}")
        return None
