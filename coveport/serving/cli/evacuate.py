"""`evacuate`: stop requests to the nodes of a zone, or allow them again."""

from __future__ import annotations

from typing import Annotated
from urllib.parse import quote

from cyclopts import Parameter

from coveport.serving.cli.core_client import CoreResponse
from coveport.serving.cli.core_options import DEFAULT_WITHIN_S, Core, Within
from coveport.serving.cli.core_requests import report_rejection, request_core
from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.web.http_client import HttpRequest
from coveport.serving.wire.names import Path


def evacuate(
    zone: Annotated[str, Parameter(help="The zone's name.")],
    /,
    *,
    end: Annotated[bool, Parameter(negative="", help="End the evacuation.")] = False,
    core: Core = None,
    within: Within = DEFAULT_WITHIN_S,
) -> int:
    """Send nothing more to a zone's nodes; --end withdraws that.

    Doing either twice does no harm. Exit codes: 0 done, 1 refused (an unknown
    zone), 2 wrong input, 3 no clear answer.
    """
    method = "DELETE" if end else "POST"
    request = HttpRequest(method, Path.EVACUATION + quote(zone, safe=""))
    response = request_core(core, request, within)
    if not isinstance(response, CoreResponse):
        return response
    if not response.is_success:
        return report_rejection(response)
    print(f"zone {zone}: {'in use again' if end else 'evacuated'}")
    return ExitCode.DONE
