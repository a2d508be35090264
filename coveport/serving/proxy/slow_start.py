"""Limits what this proxy sends to a node in its warm-up: this proxy's quota of the slow start. Pure.

The rule (`settings.boot.Bounds`): over all proxies a node in its warm-up receives at most
rate x overshoot + slack requests in any second. Each proxy sends its equal quota in any `WINDOW_S`, a little
longer than the rule's second because sends arrive with unequal delays. Where the quota is less than one
request, proxies take turns: one request in a time that is longer by as much, begun at a random moment, so
that they don't send their one request together.

Sends to warm nodes are counted too: a node whose warm-up begins anew has received them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import floor
from random import Random

from coveport.serving.model.configuration import Service
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.sliding_window import SlidingWindow

WINDOW_S = 1.2  # the rule's second, and the difference of two delays; measurement `slow-start-sum`
BOUND_MARGIN = 0.97  # of the rule's bound: the longer window is most of the margin; `slow-start-sum`
TURN_MARGIN = 0.4  # of the bound where proxies take turns by chance; `slow-start-sum`


def is_warming_up(known: KnownNode, service: Service, view: ControlView, now_s: float) -> bool:
    """Return whether the node is, or may be, in its warm-up."""
    if known.warming_until_s > now_s:
        return True
    ended_s = view.evacuation_ended_at_s.get(known.node.zone)
    if ended_s is None or now_s >= ended_s + service.warm_up_s:
        return False
    return known.received_at_s <= ended_s  # no report since: its warm-up may have begun meanwhile


@dataclass(slots=True)
class _NodeQuota:
    sends: SlidingWindow = field(default_factory=lambda: SlidingWindow(WINDOW_S))
    turn_at_s: float | None = None  # this proxy's next turn, while proxies take turns at the node


@dataclass(slots=True)
class SlowStartLimiter:
    """Counts sends by incarnation."""

    overshoot: float
    slack: float
    random: Random
    _quotas: dict[str, _NodeQuota] = field(default_factory=dict)

    def may_send(self, known: KnownNode, service: Service, view: ControlView, now_s: float) -> bool:
        """Return whether one more request may go to this node now. Draws once when turns begin."""
        if service.warm_up_rate <= 0:
            return True
        node = self._quotas.setdefault(known.node.incarnation, _NodeQuota())
        if not is_warming_up(known, service, view, now_s):
            node.turn_at_s = None
            return True
        quota = self._quota(service, view)
        if quota >= 1:
            return node.sends.count(now_s) < floor(quota)
        if node.turn_at_s is None:
            node.turn_at_s = now_s + self.random.random() * _turn_interval_s(quota)
        return now_s >= node.turn_at_s

    def record_send(self, known: KnownNode, service: Service, view: ControlView, now_s: float) -> None:
        """Record that a request goes to this node."""
        if service.warm_up_rate <= 0:
            return
        node = self._quotas.setdefault(known.node.incarnation, _NodeQuota())
        node.sends.add(now_s)
        node.sends.count(now_s)  # drops the old ones
        quota = self._quota(service, view)
        if quota < 1 and node.turn_at_s is not None:
            node.turn_at_s = now_s + _turn_interval_s(quota) * (0.5 + self.random.random())

    def _quota(self, service: Service, view: ControlView) -> float:
        """Return how many requests in a window are this proxy's."""
        bound = service.warm_up_rate * self.overshoot + self.slack
        return BOUND_MARGIN * bound / max(1, view.max_proxies)

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop the counts of nodes that are gone."""
        for gone in self._quotas.keys() - incarnations:
            del self._quotas[gone]


def _turn_interval_s(quota: float) -> float:
    """Return the mean time between two turns of this proxy; `quota` is less than one request a window."""
    return WINDOW_S / (TURN_MARGIN * quota)
