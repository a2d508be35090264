"""Dependencies of an instance's intent log: identity, clocks, random source, counters and log."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Runtime:
    """Dependencies of one instance; simulated in trials."""

    name: str  # name of the instance; an earlier incarnation may have had the same name
    incarnation: str
    session_token: Callable[[], int]  # revision of the instance's session key; 0: no session
    now_s: Callable[[], float]  # monotonic clock that includes time in suspend
    rng: random.Random
    count: Callable[[str], None]  # function that increments a counter, by its name
    log_event: Callable[..., None]  # function that logs an event, by its name, with its fields as keywords
    unix_s: Callable[[], float] = time.time
