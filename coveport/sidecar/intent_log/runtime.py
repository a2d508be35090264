"""What the parts of an instance's intent log get from outside: identity, clocks, random source, log."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Runtime:
    """Surroundings of one instance; simulated in trials."""

    name: str  # the instance's; another incarnation may have had it before
    incarnation: str
    session_token: Callable[[], int]  # revision of the instance's session key; 0: no session
    now_s: Callable[[], float]  # a clock that runs through sleep
    rng: random.Random
    count: Callable[[str], None]  # adds one to a counter by its name
    log_event: Callable[..., None]  # an event's name, and its fields as keywords
    unix_s: Callable[[], float] = time.time
