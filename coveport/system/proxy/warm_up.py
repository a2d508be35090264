"""A proxy's share of what a cold node may receive. Pure.

The rule: over all proxies a cold node receives at most rate x overshoot + slack requests in any second.
Each proxy sends its equal part in any `SPAN_S`, a little longer than the rule's second because sends arrive
with unequal delays. Where the part is less than one request, the span is stretched instead, beginning at a
random moment, so that proxies don't send their one request together.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import floor
from random import Random

from coveport.system.model.configuration import Service
from coveport.system.model.view import ControlView, KnownNode
from coveport.system.proxy.sliding_window import SlidingWindow

SPAN_S = 1.2
PART = 0.9  # of the rule's bound that is spent
CROWD_PART = 0.4  # ... where proxies take turns at random: chance may bring several together


def is_cold(known: KnownNode, service: Service, view: ControlView, now_s: float) -> bool:
    """Whether the node is, or may be, in its warm-up."""
    if known.cold_until_s > now_s:
        return True
    ended_s = view.evacuation_ended_at_s.get(known.node.zone)
    if ended_s is None or now_s >= ended_s + service.warm_up_s:
        return False
    return known.told_at_s <= ended_s  # nothing was heard since: it may have turned cold meanwhile


@dataclass(slots=True)
class _Credit:
    sends: SlidingWindow
    opens_at_s: float  # nothing is sent before, where the part is less than one


@dataclass(slots=True)
class WarmUpCredit:
    """Counts sends to nodes by incarnation, so that those of a node that turns cold are known."""

    overshoot: float
    slack: float
    random: Random
    _credits: dict[str, _Credit] = field(default_factory=dict)

    def _bound(self, service: Service) -> float:
        return service.warm_up_rate * self.overshoot + self.slack

    def may_send(self, known: KnownNode, service: Service, view: ControlView, now_s: float) -> bool:
        """Whether one more request may go to this node now."""
        if service.warm_up_rate <= 0 or not is_cold(known, service, view, now_s):
            return True
        share = PART * self._bound(service) / max(1, view.proxies_at_most)
        credit = self._credits.get(known.node.incarnation)
        if share >= 1:
            return credit is None or credit.sends.count(now_s) < floor(share)
        stretched_s = SPAN_S * PART / (share * CROWD_PART)
        if credit is None:
            credit = _Credit(SlidingWindow(SPAN_S), now_s + self.random.random() * stretched_s)
            self._credits[known.node.incarnation] = credit
        return now_s >= credit.opens_at_s

    def note_send(self, known: KnownNode, service: Service, view: ControlView, now_s: float) -> None:
        """A request goes to this node."""
        credit = self._credits.get(known.node.incarnation)
        if credit is None:
            credit = self._credits[known.node.incarnation] = _Credit(SlidingWindow(SPAN_S), 0.0)
        credit.sends.add(now_s)
        credit.sends.count(now_s)
        share = PART * self._bound(service) / max(1, view.proxies_at_most)
        if 0 < share < 1 and is_cold(known, service, view, now_s):
            stretched_s = SPAN_S * PART / (share * CROWD_PART)
            credit.opens_at_s = now_s + stretched_s * (0.5 + self.random.random())

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop what is known of nodes that are gone."""
        for gone in self._credits.keys() - incarnations:
            del self._credits[gone]
