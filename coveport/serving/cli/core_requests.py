"""Sends a verb's request to the core and turns the outcome into a response or an exit code."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from typing import Any

from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.serving.cli.core_client import CoreClient, CoreResponse, CoreUnavailable
from coveport.serving.cli.core_options import core_addresses
from coveport.serving.cli.errors import CoreAddressError
from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.cli.output import print_error
from coveport.serving.web.http_client import HttpRequest
from coveport.serving.wire.names import ERROR


def request_core(
    core: Sequence[str] | None, request: HttpRequest, within_s: float
) -> CoreResponse | ExitCode:
    """Return the core's final response; if there is none, print the reason and return the exit code.

    `core`: addresses as given on the command line; None: from the environment.
    """
    try:
        addresses = core_addresses(core)
    except CoreAddressError as error:
        print_error(str(error))
        return ExitCode.WRONG_INPUT
    outcome = asyncio.run(_send(addresses, request, within_s))
    if isinstance(outcome, CoreUnavailable):
        return _report_unavailable(request, outcome)
    return outcome


async def _send(
    addresses: tuple[Address, ...], request: HttpRequest, within_s: float
) -> CoreResponse | CoreUnavailable:
    net = Net(asyncio.get_running_loop())
    return await CoreClient(net, addresses).send(request, within_s)


def _report_unavailable(request: HttpRequest, outcome: CoreUnavailable) -> ExitCode:
    for address, reason in outcome.reasons.items():
        print_error(f"{address}: {reason}")
    change_note = "" if request.method == "GET" else "; the change may have been taken or not"
    print_error(f"no clear answer{change_note}")
    return ExitCode.UNCLEAR


def report_rejection(response: CoreResponse) -> ExitCode:
    """Print the core's reasons for rejecting a request, one on each line."""
    for reason in rejection_reasons(response):
        print_error(f"refused ({response.status}): {reason}")
    return ExitCode.REFUSED


def rejection_reasons(response: CoreResponse) -> list[str]:
    """Return the reasons in a response's body, one for each line that is printed."""
    body = decode_body(response)
    reasons = body.get(ERROR, body) if isinstance(body, dict) else body
    if isinstance(reasons, list):
        return [str(reason) for reason in reasons]
    return [str(reasons) if reasons else "no reason was given"]


def decode_body(response: CoreResponse) -> Any:
    """Return the JSON value of a response's body, or its text if it isn't JSON."""
    try:
        return json.loads(response.body)
    except ValueError:
        return response.body.decode(errors="replace")
