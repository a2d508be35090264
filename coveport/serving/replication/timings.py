"""The times that members of the core keep, in seconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timings:
    """Defaults suit links of up to 35 ms one way and ticks of 50 ms."""

    ping_s: float = 0.15
    suspect_s: float = 0.9  # a peer that didn't echo a ping younger than this isn't alive
    fresh_s: float = 0.6  # a majority heard within this is needed to start an attempt
    disk_s: float = 0.9  # a sync that takes longer makes a disk unwell
    disk_rest_s: float = 3.0  # an unwell disk counts as such for this long after its last trouble
    stagger_s: float = 0.3  # between candidates
    settle_s: float = 0.35  # a live primary that doesn't lead gets this long to begin
    attempt_s: float = 1.0  # a candidate gives an attempt up after this
    courtesy_s: float = 0.8  # after a promise, before an attempt of one's own
    resend_s: float = 0.25  # until a message without an answer is repeated
    backoff_s: float = 0.4  # times the jitter (0 to 1), after an attempt failed
    confirm_s: float = 1.5  # until a reader is told that it's unclear
    slept_s: float = 0.4  # a gap between ticks that says that this process was frozen
    replace_s: float = 3.0  # a member silent for this long gives way to a newcomer
    drop_s: float = 8.0  # ... is dropped where that lets the core bear more
    steady_s: float = 1.0  # a newcomer must have been alive for this long
    change_gap_s: float = 0.5  # between two changes of the view that aren't urgent
    learn_again_s: float = 0.5  # until a committed state that nobody confirmed is sent again
