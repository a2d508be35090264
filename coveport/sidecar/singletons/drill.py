"""A duty without any effect but its own count: to try a store before one relies on it.

Every step adds one to the count and writes down the step's number, so that whoever looks can tell a step
that was lost from one that was done twice.
"""

from __future__ import annotations

import json
from collections.abc import Mapping

from coveport.sidecar.leases.store import Entry
from coveport.sidecar.singletons.singleton import Step


class Drill:
    """Counts."""

    name = "drill"

    def __init__(self, by: str, every_s: float = 0.1) -> None:
        self.by = by
        self.every_s = every_s

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """One further."""
        count = int(json.loads(state)["count"]) + 1 if state else 1
        return Step(json.dumps({"count": count, "by": self.by}).encode(), f"count {count}")
