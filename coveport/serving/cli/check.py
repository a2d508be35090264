"""`check`: report all faults of a file, with their lines, before a process or a core reads it."""

from __future__ import annotations

import cyclopts

from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.cli.input_files import ConfigurationFile, SettingsFile, read_text
from coveport.serving.cli.output import print_findings

app = cyclopts.App(name="check", help="Check a file: all findings with their lines; exit code 2 if any.")


@app.command
def settings(file: SettingsFile, /) -> int:
    """Check the boot settings (TOML) of a process."""
    from coveport.serving.cli.line_numbers import toml_lines
    from coveport.serving.model.findings import Refusal
    from coveport.serving.settings.reader import parse_boot_settings

    text = read_text(file)
    if text is None:
        return ExitCode.WRONG_INPUT
    checked = parse_boot_settings(text)
    if isinstance(checked, Refusal):
        print_findings(str(file), checked.findings, toml_lines(text))
        return ExitCode.WRONG_INPUT
    roles = " ".join(checked.serves) or "nothing"
    print(f"{file}: sound, {checked.name} in zone {checked.zone}, serves {roles}")
    return ExitCode.DONE


@app.command
def configuration(file: ConfigurationFile, /) -> int:
    """Check a whole configuration (JSON)."""
    from coveport.serving.cli.line_numbers import json_lines
    from coveport.serving.configuration.reader import read_configuration
    from coveport.serving.model.findings import Refusal

    text = read_text(file)
    if text is None:
        return ExitCode.WRONG_INPUT
    checked = read_configuration(text.encode())
    if isinstance(checked, Refusal):
        print_findings(str(file), checked.findings, json_lines(text))
        return ExitCode.WRONG_INPUT
    counts = f"{len(checked.routes)} routes, {len(checked.services)} services"
    print(f"{file}: sound, edition {checked.edition}, {counts}")
    return ExitCode.DONE
