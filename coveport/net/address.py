"""Addresses as text and as pairs. No I/O."""

from __future__ import annotations

import ipaddress
import re

from coveport.net.errors import AddressError

Address = tuple[str, int]
"""An IP address and a port."""

_SCOPE = re.compile(r"(?=.{1,15}\Z)[A-Za-z0-9_-]+(?:\.[A-Za-z0-9_-]+)*")  # an interface's name


def parse_address(text: object) -> Address:
    """Return the parts of `ip:port`, brackets around IPv6 allowed; AddressError where it is anything else."""
    if not isinstance(text, str):
        raise AddressError(f"address {text!r} is not a string")
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)  # there is no DNS
    except ValueError as error:
        raise AddressError(str(error)) from error
    # Guards against line ends in headers, and names that make a connect fail otherwise than others do.
    if "%" in host and not _SCOPE.fullmatch(host.partition("%")[2]):
        raise AddressError(f"address {text!r} has no valid scope")
    if not colon or not (port.isascii() and port.isdigit()) or not 0 <= _to_int(port) <= 65535:
        raise AddressError(f"address {text!r} has no valid port")
    return host, int(port)


def _to_int(digits: str) -> int:
    try:
        return int(digits)
    except ValueError as error:  # more digits than Python converts
        raise AddressError(str(error)) from error
