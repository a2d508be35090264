"""What all verbs that call a core share: its addresses, the loop, and how an answer ends the program."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Sequence
from typing import Annotated, Any, Final

from cyclopts import Parameter

from coveport.net.address import Address, parse_address
from coveport.net.transport import Net
from coveport.serving.cli.core_caller import Answer, CoreCaller, NoAnswer
from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.cli.http_call import HttpCall
from coveport.serving.cli.output import print_error
from coveport.serving.wire.names import ERROR

CORE_VARIABLE: Final = "COVEPORT_CORE"
WITHIN_S: Final = 10.0

Core = Annotated[
    list[str] | None,
    Parameter(
        name="--core",
        negative="",
        consume_multiple=False,
        help=f"Control address (IP:PORT) of a coordinator; may be repeated. Without it, ${CORE_VARIABLE}, "
        "addresses separated by commas.",
    ),
]
Within = Annotated[float, Parameter(name="--within", help="Seconds to try for a clear answer.")]
AsJson = Annotated[bool, Parameter(name="--json", negative="", help="Print JSON for scripts.")]


class WrongAddressError(Exception):
    """No address of a coordinator was given, or one that is none."""


def core_addresses(given: Sequence[str] | None) -> tuple[Address, ...]:
    """The coordinators' addresses from the arguments, else from the environment."""
    texts = list(given or ()) or [text for text in os.environ.get(CORE_VARIABLE, "").split(",") if text]
    if not texts:
        raise WrongAddressError(f"name a coordinator with --core IP:PORT, or set {CORE_VARIABLE}")
    return tuple(_address(text.strip()) for text in texts)


def _address(text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError:
        raise WrongAddressError(f"{text!r} is no address; IP:PORT is wanted") from None


def ask(core: Sequence[str] | None, call: HttpCall, within_s: float) -> Answer | ExitCode:
    """The core's clear answer; else it is said why there is none, and this is the exit code."""
    try:
        addresses = core_addresses(core)
    except WrongAddressError as problem:
        print_error(str(problem))
        return ExitCode.WRONG_INPUT
    answer = asyncio.run(_ask(addresses, call, within_s))
    if isinstance(answer, Answer):
        return answer
    for address, reason in answer.reasons.items():
        print_error(f"{address}: {reason}")
    doubt = "" if call.method == "GET" else "; the change may have been taken or not"
    print_error(f"no clear answer{doubt}")
    return ExitCode.UNCLEAR


async def _ask(addresses: tuple[Address, ...], call: HttpCall, within_s: float) -> Answer | NoAnswer:
    net = Net(asyncio.get_running_loop())
    return await CoreCaller(net, addresses).call(call, within_s)


def refuse(answer: Answer) -> ExitCode:
    """Say why the core refused, a reason a line."""
    for reason in reasons(answer):
        print_error(f"refused ({answer.status}): {reason}")
    return ExitCode.REFUSED


def reasons(answer: Answer) -> list[str]:
    """The reasons in an answer's body."""
    told: Any = read_body(answer)
    if isinstance(told, dict):
        told = told.get(ERROR, told)
    if isinstance(told, list):
        return [str(one) for one in told]
    return [str(told) if told else "no reason was given"]


def read_body(answer: Answer) -> Any:
    """The JSON of an answer, or its text where it is none."""
    try:
        return json.loads(answer.body)
    except ValueError:
        return answer.body.decode(errors="replace")
