"""Divides a process' file descriptors among clients, destinations and the rest.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

RESERVED_SHARE = 0.1  # share of the descriptors for the listener, discovery, the admin server and the loop
MIN_RESERVED = 16  # descriptors
CLIENT_SHARE = 5 / 9  # clients' share of the unreserved descriptors; the rest is for destinations


def connection_limits(max_descriptors: int) -> tuple[int, int]:
    """Return the maximum connections from clients and the maximum to destinations; at least two each."""
    # Guards against a small limit whose tenth is too few for the reserved descriptors: a listener that runs
    # out of descriptors accepts nothing for a second.
    unreserved = max_descriptors - max(RESERVED_SHARE * max_descriptors, MIN_RESERVED)
    return max(2, int(unreserved * CLIENT_SHARE)), max(2, int(unreserved * (1 - CLIENT_SHARE)))


def admin_connection_limit(max_descriptors: int) -> int:
    """Return the maximum connections of the admin server: a third of the reserved descriptors.

    Twice as many connections may be open for a moment.
    """
    return max(2, int(max(RESERVED_SHARE * max_descriptors, MIN_RESERVED) / 3))
