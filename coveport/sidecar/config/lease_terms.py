"""Lease terms: the time to live of a session, with allowance for lost renewals and for clock drift.

The inequality that they must satisfy is at the head of `coveport/sidecar/leases/lease_state.py`. Pure.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from coveport.sidecar.config.errors import LeaseTermsError

RENEWALS_PER_TTL: Final = 3  # two of them in a row may be lost
MIN_VALID_RENEWALS: Final = 1.5  # renewal intervals: room for one lost renewal and a part of the next


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The terms on which a lease is requested, in seconds; `drift` is a fraction."""

    ttl_s: float = 3.0
    margin_s: float = 0.2  # deducted from the local validity; in its last `margin_s` nothing new is started
    drift: float = 0.02  # fraction by which two clocks may differ in speed

    def check(self) -> None:
        """Raise LeaseTermsError if the lease would expire after a single lost renewal."""
        if not (self.ttl_s > 0 and self.margin_s > 0 and 0 <= self.drift < 1):
            raise LeaseTermsError("ttl and margin must be positive, drift at least 0 and under 1")
        if self.local_validity_s - self.margin_s <= MIN_VALID_RENEWALS * self.renew_s:
            raise LeaseTermsError(
                f"ttl {self.ttl_s:g} s leaves no room for a renewal that is lost: with drift "
                f"{self.drift:g} the holder counts on {self.local_validity_s:g} s of it, starts nothing in "
                f"the last {self.margin_s:g} s, and renews every {self.renew_s:g} s"
            )

    @property
    def local_validity_s(self) -> float:
        """How long the holder counts its session as valid, from when it sent the renewal."""
        return self.ttl_s / (1 + self.drift) - self.margin_s

    @property
    def renew_s(self) -> float:
        """Interval at which renewals are sent."""
        return self.ttl_s / RENEWALS_PER_TTL
