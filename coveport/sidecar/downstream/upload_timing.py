"""Measures how long a streamed request body takes to arrive, without the time in which reading is paused."""

from __future__ import annotations

from coveport.sidecar.downstream.limits import BODY_STALL_S


class UploadTiming:
    """The times of one streamed body, in seconds of the monotonic clock."""

    def __init__(self, now: float) -> None:
        self._read_at = now  # when bytes last arrived
        self._paused_at: float | None = None  # set while reading is paused, as the upload accepts no more
        self._paused_s = 0.0

    def received(self, now: float) -> None:
        """Record that bytes arrived."""
        self._read_at = now

    def paused(self, now: float) -> None:
        """Record that reading is paused."""
        self._paused_at = now

    def resumed(self, now: float) -> None:
        """Record that reading is resumed."""
        if self._paused_at is not None:
            self._paused_s += now - self._paused_at
            self._paused_at = None
            self._read_at = now

    def paused_s(self, now: float) -> float:
        """Return for how long reading has been paused so far, in total."""
        return self._paused_s + (now - self._paused_at if self._paused_at is not None else 0.0)

    def is_stalled(self, now: float) -> bool:
        """Return whether no byte has arrived for BODY_STALL_S although reading is not paused."""
        return self._paused_at is None and now - self._read_at > BODY_STALL_S
