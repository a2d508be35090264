"""Addresses as text and as pairs. Pure."""

from __future__ import annotations

import ipaddress
import re

Address = tuple[str, int]
"""An IP address and a port."""

_SCOPE = re.compile(r"(?=.{1,15}\Z)[A-Za-z0-9_-]+(?:\.[A-Za-z0-9_-]+)*")  # an interface's name


def parse_address(text: object) -> Address:
    """Split `ip:port`, brackets around IPv6 allowed; ValueError where it is anything else."""
    if not isinstance(text, str):
        raise ValueError(f"address {text!r} is not a string")
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)  # there is no DNS
    # Guards against line ends in our headers, and names that make a dial fail otherwise than others do.
    if "%" in host and not _SCOPE.fullmatch(host.partition("%")[2]):
        raise ValueError(f"address {text!r} has no valid scope")
    if not colon or not (port.isascii() and port.isdigit()) or not 0 <= int(port) <= 65535:
        raise ValueError(f"address {text!r} has no valid port")
    return host, int(port)
