"""What a lease is asked for, and whether anything could be held under it. Pure.

The inequality that these figures stand in is at the head of `coveport/sidecar/leases/lease_state.py`.
"""

from __future__ import annotations

from dataclasses import dataclass

RENEWALS = 3  # in a time to live, so that two may get lost


class LeaseTermsError(ValueError):
    """Terms under which nothing could be held safely, or at all; one line."""


@dataclass(frozen=True, slots=True)
class LeaseTerms:
    """What a lease is asked for. Seconds, but for `drift`."""

    ttl_s: float = 3.0
    margin_s: float = 0.2
    drift: float = 0.02  # share

    def check(self) -> None:
        """BadTermsError where a renewal could not come before we get wary."""
        if not (self.ttl_s > 0 and self.margin_s > 0 and 0 <= self.drift < 1):
            raise LeaseTermsError("ttl and margin must be positive, drift at least 0 and under 1")
        if self.believed_s - self.margin_s <= 1.5 * self.renew_s:
            raise LeaseTermsError(
                f"ttl {self.ttl_s:g} s leaves no room for a renewal that gets lost: with drift "
                f"{self.drift:g} {self.believed_s:g} s of it are believed in, the last "
                f"{self.margin_s:g} s begin nothing, a renewal comes every {self.renew_s:g} s"
            )

    @property
    def believed_s(self) -> float:
        """How long from before asking we believe in a session."""
        return self.ttl_s / (1 + self.drift) - self.margin_s

    @property
    def renew_s(self) -> float:
        """How long after one renewal was asked for the next one is."""
        return self.ttl_s / RENEWALS
