"""One update for many proxies: encoded once, completed for each request.

Hundreds of proxies send requests with the same versions and get the same answer. With 600 nodes, encoding
the node table for each request would keep a coordinator busy for longer than its peers' time-out for pings of
the primary.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Final

import construct as c

from coveport.serving.wire.frames import write_frame
from coveport.serving.wire.messages import CODEC, Update

_PLACEHOLDER: Final = 0
_KIND_BYTES: Final = 1  # size of the class number in front of the fields


class SharedUpdate:
    """The encoding of an update without the first field, `request_number`, and the last, `max_proxies`."""

    def __init__(self, update: Update) -> None:
        """Encode `update` without its values of `request_number` and `max_proxies`."""
        encoded = CODEC.encode(replace(update, request_number=_PLACEHOLDER, max_proxies=_PLACEHOLDER))
        placeholder_bytes = len(_encode_number(_PLACEHOLDER))
        self._class_number = encoded[:_KIND_BYTES]
        self._shared = encoded[_KIND_BYTES + placeholder_bytes : -placeholder_bytes]

    def frame(self, request_number: int, max_proxies: int) -> bytes:
        """Return the complete frame that answers a request."""
        first_field = _encode_number(request_number)
        last_field = _encode_number(max_proxies)
        return write_frame(self._class_number + first_field + self._shared + last_field)


def _encode_number(number: int) -> bytes:
    """Return the encoding of an integer field."""
    return bytes(c.ZigZag.build(number))
