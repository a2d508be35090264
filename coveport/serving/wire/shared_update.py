"""One update for many proxies: encoded once, completed for each one.

Hundreds of proxies ask with the same versions and are told the same; with 600 nodes, encoding a whole table
for each of them would keep a coordinator busy for longer than a primary may be silent.
"""

from __future__ import annotations

from dataclasses import replace

import construct as c

from coveport.serving.wire.frames import write_frame
from coveport.serving.wire.messages import CODEC, Update

_OPEN = 0


class SharedUpdate:
    """An update without its first field, the round, and its last, the number of proxies."""

    def __init__(self, update: Update) -> None:
        """`update`: its round and its number of proxies do not matter."""
        encoded = CODEC.encode(replace(update, request_number=_OPEN, max_proxies=_OPEN))
        width = len(_encode_number(_OPEN))
        self._kind = encoded[:1]
        self._shared = encoded[1 + width : -width]

    def frame(self, request_number: int, max_proxies: int) -> bytes:
        """The frame that answers a round."""
        first, last = _encode_number(request_number), _encode_number(max_proxies)
        return write_frame(self._kind + first + self._shared + last)


def _encode_number(number: int) -> bytes:
    return bytes(c.ZigZag.build(number))
