"""A proxy's share of what a cold node may receive. Pure.

The rule: over all proxies a cold node receives at most rate x overshoot + slack requests in any second.
Each proxy sends its equal part in any `SPAN_S`, a little longer than the rule's second because sends arrive
with unequal delays. Where the part is less than one request, proxies take turns instead: one request in a
span that is longer by as much, beginning at a random moment, so that they don't send their one request
together.

Sends to warm nodes are counted as well: a node that turns cold has had them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import floor
from random import Random

from coveport.serving.model.configuration import Service
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.sliding_window import SlidingWindow

SPAN_S = 1.2
PART = 0.97  # of the rule's bound that is divided: the longer span is the margin
TURNS_PART = 0.4  # ... where proxies take turns: chance may bring several together


def is_cold(known: KnownNode, service: Service, view: ControlView, now_s: float) -> bool:
    """Whether the node is, or may be, in its warm-up."""
    if known.warming_until_s > now_s:
        return True
    ended_s = view.evacuation_ended_at_s.get(known.node.zone)
    if ended_s is None or now_s >= ended_s + service.warm_up_s:
        return False
    return known.received_at_s <= ended_s  # nothing was heard since: it may have turned cold meanwhile


@dataclass(slots=True)
class _Credit:
    sends: SlidingWindow = field(default_factory=lambda: SlidingWindow(SPAN_S))
    turn_at_s: float | None = None  # this proxy's next, where proxies take turns at a cold node


@dataclass(slots=True)
class WarmUpCredit:
    """Counts sends to nodes by incarnation."""

    overshoot: float
    slack: float
    random: Random
    _credits: dict[str, _Credit] = field(default_factory=dict)

    def may_send(self, known: KnownNode, service: Service, view: ControlView, now_s: float) -> bool:
        """Whether one more request may go to this node now."""
        if service.warm_up_rate <= 0:
            return True
        credit = self._credits.setdefault(known.node.incarnation, _Credit())
        if not is_cold(known, service, view, now_s):
            credit.turn_at_s = None
            return True
        share = self._share(service, view)
        if share >= 1:
            return credit.sends.count(now_s) < floor(share)
        if credit.turn_at_s is None:
            credit.turn_at_s = now_s + self.random.random() * _turn_s(share)
        return now_s >= credit.turn_at_s

    def note_send(self, known: KnownNode, service: Service, view: ControlView, now_s: float) -> None:
        """A request goes to this node."""
        if service.warm_up_rate <= 0:
            return
        credit = self._credits.setdefault(known.node.incarnation, _Credit())
        credit.sends.add(now_s)
        credit.sends.count(now_s)  # forgets the old ones
        share = self._share(service, view)
        if share < 1 and credit.turn_at_s is not None:
            credit.turn_at_s = now_s + _turn_s(share) * (0.5 + self.random.random())

    def _share(self, service: Service, view: ControlView) -> float:
        """Requests in a span that are this proxy's."""
        bound = service.warm_up_rate * self.overshoot + self.slack
        return PART * bound / max(1, view.max_proxies)

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop what is known of nodes that are gone."""
        for gone in self._credits.keys() - incarnations:
            del self._credits[gone]


def _turn_s(share: float) -> float:
    """How long one turn of this proxy is, on average."""
    return SPAN_S / (TURNS_PART * share)
