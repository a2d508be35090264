"""Lease terms: how long a session lives, allowing for lost renewals and for clocks that differ.

The inequality that these figures stand in is at the head of `coveport/sidecar/leases/lease_state.py`. Pure.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from coveport.sidecar.config.errors import LeaseTermsError

RENEWALS: Final = 3  # in a time to live, so that two may get lost
MIN_BELIEVED_RENEWALS: Final = 1.5  # the believed time must outlast one lost renewal and a part of the next


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """What a lease is requested for. Seconds, but for `drift`."""

    ttl_s: float = 3.0
    margin_s: float = 0.2  # taken off the belief, and once more before its end, in which nothing new is begun
    drift: float = 0.02  # fraction by which two clocks may differ in speed

    def check(self) -> None:
        """Raise LeaseTermsError where a renewal that gets lost would let the lease lapse."""
        if not (self.ttl_s > 0 and self.margin_s > 0 and 0 <= self.drift < 1):
            raise LeaseTermsError("ttl and margin must be positive, drift at least 0 and under 1")
        if self.validity_s - self.margin_s <= MIN_BELIEVED_RENEWALS * self.renew_s:
            raise LeaseTermsError(
                f"ttl {self.ttl_s:g} s leaves no room for a renewal that gets lost: with drift "
                f"{self.drift:g} {self.validity_s:g} s of it are believed in, the last "
                f"{self.margin_s:g} s begin nothing, a renewal comes every {self.renew_s:g} s"
            )

    @property
    def validity_s(self) -> float:
        """How long the holder believes in its session, counted from when it sent the renewal."""
        return self.ttl_s / (1 + self.drift) - self.margin_s

    @property
    def renew_s(self) -> float:
        """Interval between the sending of renewals."""
        return self.ttl_s / RENEWALS
