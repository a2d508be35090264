"""Addresses as text and as pairs. Pure."""

from __future__ import annotations

import ipaddress

Address = tuple[str, int]
"""An IP address and a port."""


def parse_address(text: object) -> Address:
    """Split `ip:port`, brackets around IPv6 allowed; ValueError where it is anything else."""
    if not isinstance(text, str):
        raise ValueError(f"address {text!r} is not a string")
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    ipaddress.ip_address(host)  # there is no DNS
    if not colon or not (port.isascii() and port.isdigit()) or not 0 <= int(port) <= 65535:
        raise ValueError(f"address {text!r} has no valid port")
    return host, int(port)
