"""The digest of stored states and of applied changes: BLAKE2b, cut to 16 bytes."""

from __future__ import annotations

import hashlib
from typing import Final

DIGEST_BYTES: Final = 16  # part of the stored format, so can't change; enough to avoid chance collisions


def digest_of(data: bytes) -> bytes:
    """Return the digest of some bytes, `DIGEST_BYTES` long."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
