"""`status`, `members` and `nodes`: the state as one coordinator reports it, as tables or JSON."""

from __future__ import annotations

from typing import Any, Final

from coveport.serving.cli.core_client import CoreResponse
from coveport.serving.cli.core_options import DEFAULT_WITHIN_S, AsJson, Core, Within
from coveport.serving.cli.core_requests import decode_body, report_rejection, request_core
from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.cli.output import print_error, print_json, print_table
from coveport.serving.cli.status_document import StatusDocument
from coveport.serving.web.http_client import HttpRequest
from coveport.serving.wire.names import Path

_NODE_FIELDS: Final = ("incarnation", "service", "address", "zone", "state", "silent_s")


def status(*, core: Core = None, within: Within = DEFAULT_WITHIN_S, as_json: AsJson = False) -> int:
    """Show the state of the core as one coordinator sees it.

    Exit codes: 0 shown, 1 refused, 2 wrong input, 3 no clear answer.
    """
    document = _request_status(core, within)
    if not isinstance(document, StatusDocument):
        return document
    if as_json:
        print_json(document.fields)
        return ExitCode.DONE
    rows = [(name, _format(value)) for name, value in document.scalars().items()]
    rows += [(f"core {name}", _format(value)) for name, value in document.core().items()]
    rows += [(f"duties {name}", _format(value)) for name, value in document.duties().items()]
    rows.append(("proxies", str(len(document.proxies()))))
    rows.append(("nodes", str(len(document.nodes()))))
    print_table(("what", "value"), rows)
    return ExitCode.DONE


def members(*, core: Core = None, within: Within = DEFAULT_WITHIN_S, as_json: AsJson = False) -> int:
    """List the coordinators and the proxies that hold a lease.

    Exit codes: 0 shown, 1 refused, 2 wrong input, 3 no clear answer.
    """
    document = _request_status(core, within)
    if not isinstance(document, StatusDocument):
        return document
    coordinators = document.coordinators()
    if as_json:
        print_json(
            {
                "coordinators": [coordinator.as_json() for coordinator in coordinators],
                "proxies": document.proxies(),
            }
        )
        return ExitCode.DONE
    rows = [("coordinator", coordinator.address, "", coordinator.role) for coordinator in coordinators]
    rows += [_proxy_row(proxy) for proxy in document.proxies()]
    print_table(("role", "address", "zone", "state"), rows)
    return ExitCode.DONE


def nodes(*, core: Core = None, within: Within = DEFAULT_WITHIN_S, as_json: AsJson = False) -> int:
    """List the nodes with their state and the seconds since they were heard.

    Exit codes: 0 shown, 1 refused, 2 wrong input, 3 no clear answer.
    """
    document = _request_status(core, within)
    if not isinstance(document, StatusDocument):
        return document
    entries = document.nodes()
    if as_json:
        print_json(entries)
        return ExitCode.DONE
    print_table(_NODE_FIELDS, [[entry.get(field, "") for field in _NODE_FIELDS] for entry in entries])
    return ExitCode.DONE


def _request_status(core: Core, within_s: float) -> StatusDocument | ExitCode:
    response = request_core(core, HttpRequest("GET", Path.STATUS), within_s)
    if not isinstance(response, CoreResponse):
        return response
    if not response.is_success:
        return report_rejection(response)
    fields = decode_body(response)
    if isinstance(fields, dict):
        return StatusDocument(fields)
    print_error("the answer is no status; is this the control address of a coordinator?")
    return ExitCode.REFUSED


def _proxy_row(proxy: dict[str, Any]) -> tuple[str, str, str, str]:
    state = "ready" if proxy.get("ready") else "not ready"
    return "proxy", proxy.get("address", ""), proxy.get("zone", ""), state


def _format(value: Any) -> str:
    """Return a value as a table cell; `-` if it is empty."""
    if isinstance(value, dict):
        return " ".join(f"{name}={_format(field)}" for name, field in value.items()) or "-"
    if isinstance(value, list):
        separator = "; " if any(isinstance(item, dict) for item in value) else " "
        return separator.join(map(_format, value)) or "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return "-" if value in ("", None) else str(value)
