"""Lease terms: the time to live of a session, with allowance for lost renewals and for clock drift.

The inequality that lease terms must satisfy is at the head of `coveport/sidecar/leases/lease_state.py`. The
module is pure: it does no I/O, and uses no clock or random source of its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from coveport.sidecar.config.errors import LeaseTermsError

RENEWALS_PER_TTL: Final = 3  # renewals sent per time to live; two renewals in a row may be lost
# In renewal intervals: lower limit of the time in which the holder may start new work (local validity less
# `margin_s`). The limit leaves room for one lost renewal and a part of the next interval.
MIN_VALID_RENEWALS: Final = 1.5


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """The terms on which a lease is requested, in seconds; `drift` is a fraction."""

    ttl_s: float = 3.0
    # Deducted from the local validity; no new work is started in the last `margin_s` of the validity.
    margin_s: float = 0.2
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
        """How long the holder counts its session as valid, from when the holder sent the renewal."""
        return self.ttl_s / (1 + self.drift) - self.margin_s

    @property
    def renew_s(self) -> float:
        """Interval at which renewals are sent."""
        return self.ttl_s / RENEWALS_PER_TTL
