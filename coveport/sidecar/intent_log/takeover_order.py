"""Order in which instances try to take over a record of a lost instance.

The module is pure: it does no I/O, and uses no clock or random source of its own.

Rendezvous hashing (Thaler and Ravishankar 1998): each record has its own order of the instances. The first
instance tries at once, each further instance a step later. Safety does not depend on the order; the order
makes collisions rare.
"""

from __future__ import annotations

from collections.abc import Collection

import xxhash

STEP_S = 0.4  # additional delay of each further instance in a record's order
MAX_STEPS = 5  # maximum number of steps that an instance waits, also if its rank is higher


def rank(record_id: str, name: str, names: Collection[str]) -> int:
    """Return an instance's rank in a record's order, counted from 0."""

    def weight(instance: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{record_id}\n{instance}".encode()), instance

    own_weight = weight(name)
    return sum(weight(peer) > own_weight for peer in names if peer != name)


def takeover_delay_s(record_id: str, name: str, names: Collection[str]) -> float:
    """Return the time for which an instance leaves a record to the instances ranked before it."""
    return min(rank(record_id, name, names), MAX_STEPS) * STEP_S
