"""`config`: the configuration of a running core."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any, Final

import cyclopts
from cyclopts import Parameter

from coveport.serving.cli.check import ConfigurationFile, read_text
from coveport.serving.cli.connecting import WITHIN_S, AsJson, Core, Within, ask, read_body, refuse
from coveport.serving.cli.core_caller import Answer
from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.cli.http_call import HttpCall
from coveport.serving.cli.output import print_error, print_findings, print_json
from coveport.serving.model.findings import Refusal
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
def get(*, core: Core = None, within: Within = WITHIN_S) -> int:
    """Print the newest configuration, as JSON.

    Exit codes: 0 printed, 1 refused (there may be none yet), 3 no clear answer.
    """
    answer = ask(core, HttpCall("GET", WirePath.CONFIG), within)
    if not isinstance(answer, Answer):
        return answer
    if not answer.is_success:
        return refuse(answer)
    print_json(read_body(answer))
    return ExitCode.DONE


@app.command
def put(
    file: ConfigurationFile, /, *, core: Core = None, if_match: IfMatch = None, within: Within = WITHIN_S
) -> int:
    """Replace the whole configuration. It is checked first; findings have lines.

    Exit codes: 0 taken, 1 refused, 2 wrong input, 3 no clear answer.
    """
    from coveport.serving.configuration.reader import read_configuration

    text = read_text(file)
    if text is None:
        return ExitCode.WRONG_INPUT
    read = read_configuration(text.encode())
    if isinstance(read, Refusal):
        return _refuse_file(file, text, read)
    return _change("PUT", text, core, if_match, within)


@app.command
def patch(
    file: PatchFile, /, *, core: Core = None, if_match: IfMatch = None, within: Within = WITHIN_S
) -> int:
    """Add, replace or remove named items of the configuration.

    Exit codes: 0 taken, 1 refused, 2 wrong input, 3 no clear answer.
    """
    from coveport.serving.configuration.json_text import read_object
    from coveport.serving.configuration.patch import patch as apply_patch

    text = read_text(file)
    if text is None:
        return ExitCode.WRONG_INPUT
    change = read_object(text.encode())
    if isinstance(change, Refusal):
        return _refuse_file(file, text, change)
    faults = apply_patch({}, change)
    if isinstance(faults, Refusal):
        return _refuse_file(file, text, faults)
    return _change("PATCH", text, core, if_match, within)


@app.command
def diff(
    file: ConfigurationFile, /, *, core: Core = None, within: Within = WITHIN_S, as_json: AsJson = False
) -> int:
    """Compare a file with the configuration in force: what putting it would change.

    Exit codes: 0 no difference, 1 differences, 2 wrong input, 3 no clear answer.
    """
    from coveport.serving.cli.differences import find_differences
    from coveport.serving.configuration.json_text import read_object

    text = read_text(file)
    if text is None:
        return ExitCode.WRONG_INPUT
    wanted = read_object(text.encode())
    if isinstance(wanted, Refusal):
        return _refuse_file(file, text, wanted)
    current = _current(core, within)
    if not isinstance(current, dict):
        return current
    differences = find_differences(current, wanted)
    if as_json:
        print_json([one.as_json() for one in differences])
    else:
        for one in differences:
            print(one)
    return ExitCode.REFUSED if differences else ExitCode.DONE


def _refuse_file(file: Path, text: str, refusal: Refusal) -> ExitCode:
    from coveport.serving.cli.positions import json_lines

    print_findings(str(file), refusal.findings, json_lines(text))
    return ExitCode.WRONG_INPUT


def _current(core: Core, within: float) -> dict[str, Any] | ExitCode:
    """The configuration in force; empty where there is none yet."""
    answer = ask(core, HttpCall("GET", WirePath.CONFIG), within)
    if not isinstance(answer, Answer):
        return answer
    if answer.status == _NOT_FOUND:
        return {}
    current = read_body(answer)
    if answer.is_success and isinstance(current, dict):
        return current
    return refuse(answer)


def _change(method: str, text: str, core: Core, if_match: int | None, within: float) -> int:
    """Send a change that builds on an edition, the current one if none is given."""
    if if_match is None:
        current = _current(core, within)
        if not isinstance(current, dict):
            return current
        if_match = int(current.get(Config.EDITION, 0))
    headers = ((_IF_MATCH, str(if_match)), ("Content-Type", "application/json"))
    answer = ask(core, HttpCall(method, WirePath.CONFIG, headers, text.encode()), within)
    if not isinstance(answer, Answer):
        print_error(f"to send the same change again: --if-match {if_match}")
        return answer
    if not answer.is_success:
        return refuse(answer)
    print(f"taken: edition {json.loads(text)[Config.EDITION]}, on top of {if_match}")
    return ExitCode.DONE
