"""Define what a check finds: a broken rule with a shortest path to it. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from coveport.testbed.check.rules import Breach
from coveport.testbed.check.world import Path


@dataclass(frozen=True, slots=True)
class Counterexample:
    """Hold a broken rule and a shortest path to it."""

    breach: Breach
    path: Path  # moves, each with its time in ms since the world began
    draws: tuple[float, ...]  # results of the balancer's random draws on the path, each in [0, 1)
