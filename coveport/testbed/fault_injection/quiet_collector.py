"""The garbage collector kept from running while a simulated trial is played."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def collector_paused() -> Iterator[None]:
    """Collect nothing meanwhile: else a dead process' tasks are thrown away in another's callback."""
    was = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if was:
            gc.enable()
