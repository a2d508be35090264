"""`check`: what is wrong with a file, all at once and with lines, before a process or a core reads it."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import cyclopts
from cyclopts import Parameter

from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.cli.output import print_error, print_findings

SettingsFile = Annotated[Path, Parameter(help="The settings file (TOML).")]
ConfigurationFile = Annotated[Path, Parameter(help="The configuration (JSON).")]

app = cyclopts.App(name="check", help="Check a file: all findings with their lines; exit code 2 if any.")


@app.command
def settings(file: SettingsFile, /) -> int:
    """Check the boot settings (TOML) of a process."""
    from coveport.serving.cli.positions import toml_lines
    from coveport.serving.model.findings import Refusal
    from coveport.serving.settings.reader import parse_boot_settings

    text = read_text(file)
    if text is None:
        return ExitCode.WRONG_INPUT
    read = parse_boot_settings(text)
    if isinstance(read, Refusal):
        print_findings(str(file), read.findings, toml_lines(text))
        return ExitCode.WRONG_INPUT
    print(f"{file}: sound, {read.name} in zone {read.zone}, serves {' '.join(read.serves) or 'nothing'}")
    return ExitCode.DONE


@app.command
def configuration(file: ConfigurationFile, /) -> int:
    """Check a whole configuration (JSON)."""
    from coveport.serving.cli.positions import json_lines
    from coveport.serving.configuration.reader import read_configuration
    from coveport.serving.model.findings import Refusal

    text = read_text(file)
    if text is None:
        return ExitCode.WRONG_INPUT
    read = read_configuration(text.encode())
    if isinstance(read, Refusal):
        print_findings(str(file), read.findings, json_lines(text))
        return ExitCode.WRONG_INPUT
    counts = f"{len(read.routes)} routes, {len(read.services)} services"
    print(f"{file}: sound, edition {read.edition}, {counts}")
    return ExitCode.DONE


def read_text(file: Path) -> str | None:
    """A file's text; None, and the reason on standard error, where it can't be read."""
    try:
        return file.read_bytes().decode()
    except (OSError, UnicodeDecodeError) as problem:
        print_error(f"{file}: can't be read: {problem}")
        return None
