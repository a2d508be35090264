"""Options shared by all verbs that call a core, and parsing of the coordinators' addresses."""

from __future__ import annotations

import os
from collections.abc import Sequence
from typing import Annotated, Final

from cyclopts import Parameter

from coveport.net.address import Address, parse_address
from coveport.serving.cli.errors import CoreAddressError

CORE_VARIABLE: Final = "COVEPORT_CORE"
DEFAULT_WITHIN_S: Final = 10.0

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


def core_addresses(arguments: Sequence[str] | None) -> tuple[Address, ...]:
    """Return the coordinators' addresses from the arguments, else from the environment.

    Raises CoreAddressError if there is no address or if a text is not an address.
    """
    texts = list(arguments or ()) or _addresses_from_environment()
    if not texts:
        raise CoreAddressError(f"name a coordinator with --core IP:PORT, or set {CORE_VARIABLE}")
    return tuple(_parse(text.strip()) for text in texts)


def _addresses_from_environment() -> list[str]:
    return [text for text in os.environ.get(CORE_VARIABLE, "").split(",") if text]


def _parse(text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError:
        raise CoreAddressError(f"{text!r} is no address; IP:PORT is wanted") from None
