"""How a process' file descriptors are divided among clients, destinations and all else. Pure."""

from __future__ import annotations

RESERVED_SHARE = 0.1  # of the descriptors, for the listener, discovery, the admin address, the loop's own
MIN_RESERVED = 16
CLIENT_SHARE = 5 / 9  # of the others; destinations have the rest


def connection_limits(max_descriptors: int) -> tuple[int, int]:
    """Return the most connections from clients, and to destinations; at least two each."""
    # Guards against a small limit of which nothing is left for the tenth that all else needs: a listener that
    # runs out accepts nothing for a second.
    free = max_descriptors - max(RESERVED_SHARE * max_descriptors, MIN_RESERVED)
    return max(2, int(free * CLIENT_SHARE)), max(2, int(free * (1 - CLIENT_SHARE)))


def admin_connection_limit(max_descriptors: int) -> int:
    """Return the most connections of the admin address: a third of the reserved descriptors.

    For a moment there may be twice as many.
    """
    return max(2, int(max(RESERVED_SHARE * max_descriptors, MIN_RESERVED) / 3))
