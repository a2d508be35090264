"""Header and trailer fields (RFC 9110, 5), and whether they keep the connection open."""

from __future__ import annotations

import re

from coveport.http1.errors import RemoteProtocolError

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")


def read_fields(lines: list[bytes], kind: str) -> dict[str, list[str]]:
    """Return the values of field lines by lower-case name.

    `kind`: 'header' or 'trailer', named in the RemoteProtocolError that a malformed line raises.
    """
    fields: dict[str, list[str]] = {}
    for line in lines:
        name, colon, value = line.partition(b":")
        value = value.strip(b" \t")
        if not colon or not TOKEN.fullmatch(name) or not _VALUE.fullmatch(value):
            raise RemoteProtocolError(400, f"malformed {kind}")
        fields.setdefault(name.decode("ascii").lower(), []).append(value.decode("latin-1"))
    return fields


def is_persistent(version: bytes, headers: dict[str, list[str]]) -> bool:
    """Return whether the connection stays open after a message (RFC 9112, 9.3)."""
    # Strips only spaces and tabs: a plain strip() would also remove some decoded bytes above 127.
    options = {
        option.strip(" \t").lower() for line in headers.get("connection", ()) for option in line.split(",")
    }
    # HTTP/1.0 has no chunks: other implementations may frame an HTTP/1.0 message with Transfer-Encoding
    # differently (RFC 9112, 6.1).
    return "close" not in options and (
        version == b"HTTP/1.1" or ("keep-alive" in options and "transfer-encoding" not in headers)
    )
