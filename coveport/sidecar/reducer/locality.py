"""Where destinations are."""

from __future__ import annotations

from coveport.net.address import Address

Place = tuple[Address, float]
"""Where a destination listens, and when its process started (Unix ms, 0: long ago)."""
