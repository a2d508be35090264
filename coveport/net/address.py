"""Parsing of `ip:port` addresses. No I/O."""

from __future__ import annotations

import ipaddress
import re

from coveport.net.errors import AddressError

Address = tuple[str, int]
"""An IP address and a port."""

_SCOPE = re.compile(r"(?=.{1,15}\Z)[A-Za-z0-9_-]+(?:\.[A-Za-z0-9_-]+)*")  # name of a network interface


def parse_address(text: object) -> Address:
    """Return the IP address and port of `ip:port`, IPv6 also in brackets; raise AddressError if invalid."""
    if not isinstance(text, str):
        raise AddressError(f"address {text!r} is not a string")
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)  # only IP addresses: host names are not resolved
    except ValueError as error:
        raise AddressError(str(error)) from error
    # Guards against scopes with line ends, which would get into headers, and against scopes that make a
    # connect fail with an unexpected error.
    if "%" in host and not _SCOPE.fullmatch(host.partition("%")[2]):
        raise AddressError(f"address {text!r} has no valid scope")
    if not colon or not (port.isascii() and port.isdigit()) or not 0 <= _to_int(port) <= 65535:
        raise AddressError(f"address {text!r} has no valid port")
    return host, int(port)


def _to_int(digits: str) -> int:
    try:
        return int(digits)
    except ValueError as error:  # more digits than int() accepts
        raise AddressError(str(error)) from error
