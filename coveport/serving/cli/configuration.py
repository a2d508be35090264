"""`config`: read, change and compare the configuration of a running core."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any, Final

import cyclopts
from cyclopts import Parameter

from coveport.serving.cli.core_client import CoreResponse
from coveport.serving.cli.core_options import DEFAULT_WITHIN_S, AsJson, Core, Within
from coveport.serving.cli.core_requests import decode_body, report_rejection, request_core
from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.cli.input_files import ConfigurationFile, read_text
from coveport.serving.cli.output import print_error, print_findings, print_json
from coveport.serving.model.findings import Refusal
from coveport.serving.web.http_client import HttpRequest
from coveport.serving.wire.names import Config
from coveport.serving.wire.names import Path as WirePath

PatchFile = Annotated[Path, Parameter(help="The patch (JSON): Edition, Upsert and Remove.")]
IfMatch = Annotated[
    int | None,
    Parameter(
        name="--if-match",
        help="The edition that the change builds on (0: the first). Without it, the one that is current.",
    ),
]
_NOT_FOUND: Final = 404
_IF_MATCH: Final = "If-Match"

app = cyclopts.App(name="config", help="Read or change the configuration of a running core.")


@app.command
def get(*, core: Core = None, within: Within = DEFAULT_WITHIN_S) -> int:
    """Print the newest configuration, as JSON.

    Exit codes: 0 printed, 1 refused (there may be none yet), 3 no clear answer.
    """
    response = request_core(core, HttpRequest("GET", WirePath.CONFIG), within)
    if not isinstance(response, CoreResponse):
        return response
    if not response.is_success:
        return report_rejection(response)
    print_json(decode_body(response))
    return ExitCode.DONE


@app.command
def put(
    file: ConfigurationFile,
    /,
    *,
    core: Core = None,
    if_match: IfMatch = None,
    within: Within = DEFAULT_WITHIN_S,
) -> int:
    """Replace the whole configuration. It is checked first; findings have lines.

    Exit codes: 0 taken, 1 refused, 2 wrong input, 3 no clear answer.
    """
    from coveport.serving.configuration.reader import read_configuration

    text = read_text(file)
    if text is None:
        return ExitCode.WRONG_INPUT
    checked = read_configuration(text.encode())
    if isinstance(checked, Refusal):
        return _report_findings(file, text, checked)
    return _send_change("PUT", text, core, if_match, within)


@app.command
def patch(
    file: PatchFile, /, *, core: Core = None, if_match: IfMatch = None, within: Within = DEFAULT_WITHIN_S
) -> int:
    """Add, replace or remove named items of the configuration.

    Exit codes: 0 taken, 1 refused, 2 wrong input, 3 no clear answer.
    """
    from coveport.serving.configuration.json_text import read_object
    from coveport.serving.configuration.patch import apply_patch

    text = read_text(file)
    if text is None:
        return ExitCode.WRONG_INPUT
    change = read_object(text.encode())
    if isinstance(change, Refusal):
        return _report_findings(file, text, change)
    patched = apply_patch({}, change)  # finds faults of the patch itself, independent of the configuration
    if isinstance(patched, Refusal):
        return _report_findings(file, text, patched)
    return _send_change("PATCH", text, core, if_match, within)


@app.command
def diff(
    file: ConfigurationFile,
    /,
    *,
    core: Core = None,
    within: Within = DEFAULT_WITHIN_S,
    as_json: AsJson = False,
) -> int:
    """Compare a file with the configuration in force: what putting it would change.

    Exit codes: 0 no difference, 1 differences, 2 wrong input, 3 no clear answer.
    """
    from coveport.serving.cli.configuration_diff import find_differences
    from coveport.serving.configuration.json_text import read_object

    text = read_text(file)
    if text is None:
        return ExitCode.WRONG_INPUT
    wanted = read_object(text.encode())
    if isinstance(wanted, Refusal):
        return _report_findings(file, text, wanted)
    current = _read_current(core, within)
    if not isinstance(current, dict):
        return current
    differences = find_differences(current, wanted)
    if as_json:
        print_json([difference.as_json() for difference in differences])
    else:
        for difference in differences:
            print(difference)
    return ExitCode.REFUSED if differences else ExitCode.DONE


def _report_findings(file: Path, text: str, refusal: Refusal) -> ExitCode:
    from coveport.serving.cli.line_numbers import json_lines

    print_findings(str(file), refusal.findings, json_lines(text))
    return ExitCode.WRONG_INPUT


def _read_current(core: Core, within_s: float) -> dict[str, Any] | ExitCode:
    """Return the configuration in force, or an empty one if there is none yet."""
    response = request_core(core, HttpRequest("GET", WirePath.CONFIG), within_s)
    if not isinstance(response, CoreResponse):
        return response
    if response.status == _NOT_FOUND:
        return {}
    current = decode_body(response)
    if response.is_success and isinstance(current, dict):
        return current
    return report_rejection(response)


def _send_change(method: str, text: str, core: Core, if_match: int | None, within_s: float) -> int:
    """Send a change based on edition `if_match`; None: read the current edition first and use it."""
    if if_match is None:
        current = _read_current(core, within_s)
        if not isinstance(current, dict):
            return current
        if_match = int(current.get(Config.EDITION, 0))
    headers = ((_IF_MATCH, str(if_match)), ("Content-Type", "application/json"))
    response = request_core(core, HttpRequest(method, WirePath.CONFIG, headers, text.encode()), within_s)
    if not isinstance(response, CoreResponse):
        print_error(f"to send the same change again: --if-match {if_match}")
        return response
    if not response.is_success:
        return report_rejection(response)
    print(f"taken: edition {json.loads(text)[Config.EDITION]}, on top of {if_match}")
    return ExitCode.DONE
