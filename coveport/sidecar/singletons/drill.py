"""A role without any effect but its own count: to try a store before relying on it.

Every step adds one to the count and stores it, so that a step that was lost can be told from one that was
done twice.
"""

from __future__ import annotations

import json
from collections.abc import Mapping

from coveport.sidecar.leases.store import Entry
from coveport.sidecar.singletons.singleton import Step

STEP_INTERVAL_S = 0.1


class Drill:
    """Counts its steps, and stores which incarnation made the last one."""

    name = "drill"

    def __init__(self, incarnation: str, interval_s: float = STEP_INTERVAL_S) -> None:
        self.incarnation = incarnation
        self.interval_s = interval_s

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """Return the step that counts one further."""
        count = int(json.loads(state)["count"]) + 1 if state else 1
        return Step(json.dumps({"count": count, "by": self.incarnation}).encode(), f"count {count}")
