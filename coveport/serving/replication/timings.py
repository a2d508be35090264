"""Time-outs and intervals of a replica, in seconds."""

from __future__ import annotations

from dataclasses import dataclass

# Time-outs of a message grow with its bytes, at a rate at which these are surely sent and synced: a state of
# 8 MB gets 0.8 s more.
TRANSFER_BYTES_PER_S = 10e6


def transfer_s(byte_count: int) -> float:
    """Return the seconds that sending and syncing so many bytes takes at most."""
    return byte_count / TRANSFER_BYTES_PER_S


@dataclass(frozen=True, slots=True)
class Timings:
    """Defaults suit links of up to 35 ms one way and ticks of 50 ms."""

    ping_s: float = 0.15
    suspect_s: float = 0.9  # a peer whose newest echo is of a ping older than this isn't alive
    fresh_s: float = 0.6  # an election starts only with a majority whose newest echo is younger than this
    disk_s: float = 0.9  # a sync that takes longer makes a disk unhealthy
    disk_rest_s: float = 3.0  # a disk stays unhealthy for this long after its last fault
    stagger_s: float = 0.3  # between candidates of the agreed order
    activation_s: float = 0.35  # a live primary that doesn't lead yet gets this long to activate its view
    attempt_s: float = 1.0  # a candidate gives up an attempt whose step takes longer
    election_backoff_s: float = 0.8  # after a promise to another candidate, before an attempt of one's own
    resend_s: float = 0.25  # until a message without an answer is sent again
    retry_backoff_s: float = 0.4  # times the jitter (0 to 1), after a failed attempt
    confirm_s: float = 1.5  # until a read without a majority of confirmations ends
    stall_s: float = 0.4  # a gap between ticks that proves that this process was frozen
    replace_s: float = 3.0  # a member silent for this long may be swapped for a newcomer
    drop_s: float = 8.0  # ... may be dropped where the rest then tolerates more losses
    steady_s: float = 1.0  # a newcomer must have been alive for this long
    change_gap_s: float = 0.5  # between two view changes that aren't urgent
    catch_up_gap_s: float = 0.5  # until a peer that is still behind is sent the committed state again
