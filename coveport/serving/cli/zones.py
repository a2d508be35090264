"""`evacuate`: nothing more is to be sent to a zone's nodes, or it may be again."""

from __future__ import annotations

from typing import Annotated
from urllib.parse import quote

from cyclopts import Parameter

from coveport.serving.cli.connecting import WITHIN_S, Core, Within, ask, refuse
from coveport.serving.cli.core_caller import Answer
from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.cli.http_call import HttpCall
from coveport.serving.wire.names import Path


def evacuate(
    zone: Annotated[str, Parameter(help="The zone's name.")],
    /,
    *,
    end: Annotated[bool, Parameter(negative="", help="End the evacuation.")] = False,
    core: Core = None,
    within: Within = WITHIN_S,
) -> int:
    """Send nothing more to a zone's nodes; --end withdraws that.

    Doing either twice does no harm. Exit codes: 0 done, 1 refused (an unknown
    zone), 2 wrong input, 3 no clear answer.
    """
    method = "DELETE" if end else "POST"
    answer = ask(core, HttpCall(method, Path.EVACUATION + quote(zone, safe="")), within)
    if not isinstance(answer, Answer):
        return answer
    if not answer.is_success:
        return refuse(answer)
    print(f"zone {zone}: {'in use again' if end else 'evacuated'}")
    return ExitCode.DONE
