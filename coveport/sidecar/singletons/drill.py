"""Singleton role for testing a store: the role only increments a counter.

Every step increments the counter and stores the new value, so that lost steps can be distinguished from
repeated ones.
"""

from __future__ import annotations

import json
from collections.abc import Mapping

from coveport.sidecar.leases.store import Entry
from coveport.sidecar.singletons.singleton import Step

STEP_INTERVAL_S = 0.1


class Drill:
    """Role that counts its steps and stores the incarnation that made the last step."""

    name = "drill"

    def __init__(self, incarnation: str, interval_s: float = STEP_INTERVAL_S) -> None:
        self.incarnation = incarnation
        self.interval_s = interval_s

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """Return the step that increments the counter."""
        count = int(json.loads(state)["count"]) + 1 if state else 1
        return Step(json.dumps({"count": count, "by": self.incarnation}).encode(), f"count {count}")
