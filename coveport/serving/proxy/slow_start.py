"""Limits the requests that this proxy sends to a node that is warming up: its quota in slow start.

The rule (`settings.boot.Bounds`): a node that is warming up receives at most rate x overshoot + slack
requests from all proxies together in any second. Each proxy sends at most its equal quota in any `WINDOW_S`,
which is a little longer than the rule's second because sends arrive with unequal delays. If the quota is
less than one request, proxies take turns: each sends one request in a proportionally longer interval, which
starts at a random moment so that proxies don't send at the same time.

Sends to warm nodes are counted too, because a node's warm-up may begin again shortly after them.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import floor
from random import Random

from coveport.serving.model.configuration import Service
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.sliding_window import SlidingWindow

WINDOW_S = 1.2  # the rule's second plus the difference of two delays (docs/policy.md, `slow-start-sum`)
# Part of the rule's bound that is used; the longer window is most of the margin (`slow-start-sum`).
BOUND_MARGIN = 0.97
TURN_MARGIN = 0.4  # part of the quota that is used while proxies take random turns (`slow-start-sum`)


def is_warming_up(known: KnownNode, service: Service, view: ControlView, now_s: float) -> bool:
    """Return whether the node is, or may be, warming up."""
    if known.warming_until_s > now_s:
        return True
    ended_s = view.evacuation_ended_at_s.get(known.node.zone)
    if ended_s is None or now_s >= ended_s + service.warm_up_s:
        return False
    return known.received_at_s <= ended_s  # without a newer report, its warm-up may have begun


@dataclass(slots=True)
class _NodeQuota:
    sends: SlidingWindow = field(default_factory=lambda: SlidingWindow(WINDOW_S))
    # When the wait for this proxy's next turn began; None unless proxies take turns.
    turn_since_s: float | None = None
    turn_share: float = 0.0  # the random length of that wait, as a multiple of the mean time between turns

    def is_turn(self, quota: float, now_s: float) -> bool:
        """Return whether this proxy's turn has come, by the quota that is now in force."""
        assert self.turn_since_s is not None
        return now_s >= self.turn_since_s + self.turn_share * _turn_interval_s(quota)


@dataclass(slots=True)
class SlowStartLimiter:
    """The sends and turns of one proxy, by incarnation of the nodes."""

    overshoot: float
    slack: float
    random: Random
    _quotas: dict[str, _NodeQuota] = field(default_factory=dict)

    def may_send(self, known: KnownNode, service: Service, view: ControlView, now_s: float) -> bool:
        """Return whether one more request may be sent to the node now. Draws once when turns begin."""
        if service.warm_up_rate <= 0:
            return True
        node = self._quotas.setdefault(known.node.incarnation, _NodeQuota())
        if not is_warming_up(known, service, view, now_s):
            node.turn_since_s = None
            return True
        quota = self._quota(service, view)
        if quota >= 1:
            return node.sends.count(now_s) < floor(quota)
        if node.turn_since_s is None:
            node.turn_since_s = now_s
            node.turn_share = self.random.random()
        return node.is_turn(quota, now_s)

    def record_send(self, known: KnownNode, service: Service, view: ControlView, now_s: float) -> None:
        """Record that a request is sent to the node."""
        if service.warm_up_rate <= 0:
            return
        node = self._quotas.setdefault(known.node.incarnation, _NodeQuota())
        node.sends.add(now_s)
        node.sends.count(now_s)  # drops the sends before the window
        quota = self._quota(service, view)
        if quota < 1 and node.turn_since_s is not None:
            node.turn_since_s = now_s
            node.turn_share = 0.5 + self.random.random()

    def _quota(self, service: Service, view: ControlView) -> float:
        """Return how many requests this proxy may send in a window; may be a fraction of one."""
        bound = service.warm_up_rate * self.overshoot + self.slack
        return BOUND_MARGIN * bound / max(1, view.max_proxies)

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop the counts of all other nodes."""
        for incarnation in self._quotas.keys() - incarnations:
            del self._quotas[incarnation]


def _turn_interval_s(quota: float) -> float:
    """Return the mean time between two turns of this proxy; `quota` is below one request a window."""
    return WINDOW_S / (TURN_MARGIN * quota)
