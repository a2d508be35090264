"""Time-outs and intervals of a replica, in seconds."""

from __future__ import annotations

from dataclasses import dataclass

# The time-out of a message grows with the message's size, at a rate that sending and syncing always exceed: a
# state of 8 MB gets 0.8 s more.
TRANSFER_BYTES_PER_S = 10e6


def transfer_s(byte_count: int) -> float:
    """Return the maximum time for sending and syncing `byte_count` bytes, in seconds."""
    return byte_count / TRANSFER_BYTES_PER_S


@dataclass(frozen=True, slots=True)
class Timings:
    """Time-outs and intervals; the defaults suit links of up to 35 ms one way and ticks of 50 ms."""

    ping_interval_s: float = 0.15  # between pings to the same peer
    suspect_s: float = 0.9  # a peer is presumed dead if the newest ping that it echoed is older than this
    max_contact_age_s: float = 0.6  # an election needs a majority whose echoed pings are younger than this
    sync_timeout_s: float = 0.9  # a disk is unhealthy if a sync takes longer than this
    disk_recovery_s: float = 3.0  # a disk stays unhealthy for this time after its last fault
    candidate_stagger_s: float = 0.3  # between the election starts of two successive candidates
    activation_timeout_s: float = 0.35  # time that a live primary has to activate its view before an election
    step_timeout_s: float = 1.0  # a candidate gives up an attempt if one step takes longer than this
    election_backoff_s: float = 0.8  # wait between a promise to another candidate and the own attempt
    resend_interval_s: float = 0.25  # between resends of an unanswered message
    max_retry_backoff_s: float = 0.4  # backoff after a failed attempt; multiplied by the jitter (0 to 1)
    confirmation_timeout_s: float = 1.5  # a read that a majority hasn't confirmed ends after this time
    stall_threshold_s: float = 0.4  # a gap between ticks longer than this means that the process was frozen
    replace_after_s: float = 3.0  # a member silent for this time may be replaced by a newcomer
    # A member silent for this time may be removed if the set of members then tolerates more losses.
    drop_after_s: float = 8.0
    min_alive_s: float = 1.0  # how long newcomers, and replicas that improve a view, must have been alive
    view_change_interval_s: float = 0.5  # minimum between two view changes that aren't urgent
    catch_up_interval_s: float = 0.5  # minimum between two sends of missing state to the same peer
