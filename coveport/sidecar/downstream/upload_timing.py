"""How long a streamed request body takes to come in, less the time in which it was not read."""

from __future__ import annotations

from coveport.sidecar.downstream.limits import BODY_STALL_S


class UploadTiming:
    """Times of one streamed body; all in seconds of the monotonic clock."""

    def __init__(self, now: float) -> None:
        self._read_at = now  # when bytes of it last came
        self._paused_at: float | None = None  # set while it is not read, as whoever sends it on takes no more
        self._paused_s = 0.0

    def received(self, now: float) -> None:
        """Note that bytes came."""
        self._read_at = now

    def paused(self, now: float) -> None:
        """Note that reading pauses."""
        self._paused_at = now

    def resumed(self, now: float) -> None:
        """Note that reading goes on."""
        if self._paused_at is not None:
            self._paused_s += now - self._paused_at
            self._paused_at = None
            self._read_at = now

    def paused_s(self, now: float) -> float:
        """Return for how long it has not been read so far."""
        return self._paused_s + (now - self._paused_at if self._paused_at is not None else 0.0)

    def is_stalled(self, now: float) -> bool:
        """Return whether it is read and no byte has come for BODY_STALL_S."""
        return self._paused_at is None and now - self._read_at > BODY_STALL_S
