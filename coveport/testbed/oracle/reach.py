"""What the network could do to a message, at the most and at the least. Pure.

The oracle never blames a sidecar for what lay on the way. So all it asks here are bounds: by when something
sent must have come, since when something that came may have been under way, and whether a cut, a silence or a
death lay between.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from coveport.testbed.day import Change, Day
from coveport.testbed.event_log import NodeIs
from coveport.testbed.network_model import chunk_bytes, harsh_ms
from coveport.testbed.oracle.grace import Grace
from coveport.testbed.oracle.lives import Span

_NEVER_LOST = 1e-9  # chance below which so many losses in a row are taken as impossible


@dataclass(slots=True, frozen=True)
class _Slower:
    begin: float
    end: float
    added: float
    within: bool


class Reach:
    """The ways between nodes and sidecars over the whole day. Ways are the same in both directions."""

    def __init__(self, day: Day, nodes: dict[int, list[NodeIs]], grace: Grace) -> None:
        network = day.scenario.network
        self._day = day
        self._margin = grace.fault_ms
        self._node_zone = {node.number: node.zone for node in day.nodes}
        self._sidecar_zone = {sidecar.number: sidecar.zone for sidecar in day.sidecars}
        self.harsh_ms, self._chunk_bytes = harsh_ms(day), chunk_bytes(day)
        self.client_ms = day.client_ms * (1 + day.jitter) + self.harsh_ms  # till to sidecar at the most
        base_loss = max(network.loss) if isinstance(network.loss, tuple) else network.loss
        losses = _spans(day.changes, "loss")
        self._lost_ms = _lost_ms(base_loss, network.loss_ms) + self.harsh_ms
        lost_ms = _lost_ms(base_loss + sum(change.value for _, _, change in losses), network.loss_ms)
        self._slower = [self._after(begin, end, lost_ms, True) for begin, end, _ in losses]
        self._slower += [
            self._after(begin, end, change.value, change.share >= 1)
            for begin, end, change in _spans(day.changes, "delay")
        ]
        self._cuts = [(begin, end, change.target) for begin, end, change in _spans(day.changes, "cut")]
        self._silent = [(begin, end, change.target) for begin, end, change in _spans(day.changes, "silent")]
        self._downs: dict[int, list[float]] = {}
        for node, rows in nodes.items():
            self._downs[node] = [row.at for row in rows if row.state == "down"]
            for row, after in zip(rows, [*rows[1:], None], strict=True):
                if row.state == "silent":
                    self._silent.append((row.at, after.at if after else math.inf, node))
        self._holds: dict[tuple[int, int], list[Span]] = {}

    def _after(self, begin: float, end: float, added: float, within: bool) -> _Slower:
        # What is sent behind a late message comes no sooner than that one.
        return _Slower(begin - self._margin, end + added + self._margin, added, within)

    def base_ms(self, node: int, sidecar: int) -> float:
        """The least that a message needs."""
        return self._day.cross_ms[self._node_zone[node]][self._sidecar_zone[sidecar]]

    def most_ms(self, node: int, sidecar: int, at: float) -> float:
        """The most that a message sent (or come) at `at` needs, cuts and silence apart."""
        most = self.base_ms(node, sidecar) * (1 + self._day.jitter) + self._lost_ms
        if self._slower:
            across = self._node_zone[node] != self._sidecar_zone[sidecar]
            for one in self._slower:
                if (one.within or across) and one.begin <= at <= one.end + most:
                    most += one.added
        return most

    def by(self, node: int, sidecar: int, at: float) -> float:
        """When a message sent at `at` has come at the latest, ms since the day began."""
        there = at + self.most_ms(node, sidecar, at)
        for begin, end in self.holds(node, sidecar):
            if begin <= there and at <= end:
                there = max(there, end + self.most_ms(node, sidecar, end))
        return there

    def since(self, node: int, sidecar: int, at: float) -> float:
        """When a message that came at `at` was sent at the earliest, ms since the day began."""
        most = self.most_ms(node, sidecar, at)
        sent = at - most
        for begin, end in reversed(self.holds(node, sidecar)):
            if begin <= at and sent <= end:
                sent = min(sent, begin - most)
        return sent

    def holds(self, node: int, sidecar: int) -> list[Span]:
        """When nothing passed between the two, in order."""
        found = self._holds.get((node, sidecar))
        if found is None:
            one, other = self._node_zone[node], self._sidecar_zone[sidecar]
            spans = [(begin, end) for begin, end, zone in self._cuts if one != other and zone in (one, other)]
            spans += [(begin, end) for begin, end, target in self._silent if target in (-1, node)]
            found = sorted((begin - self._margin, end + self._margin) for begin, end in spans)
            self._holds[node, sidecar] = found
        return found

    def died(self, node: int, begin: float, end: float) -> bool:
        """Whether the node's process died then."""
        return any(begin - self._margin <= at <= end + self._margin for at in self._downs.get(node, ()))

    def closed_by_death(self, node: int, since: float) -> float:
        """The node's next death, which ends all its connections; infinity where there is none."""
        return next((at for at in self._downs.get(node, ()) if at >= since), math.inf)

    def trips_ms(self, node: int, sidecar: int, at: float, size: int) -> float:
        """What a body of so many bytes may need on top: windows that fill make it wait for round trips."""
        return size // self._chunk_bytes * 2 * self.most_ms(node, sidecar, at)


def _lost_ms(loss: float, each_ms: float) -> float:
    """The most that losses add: so many in a row that more are not to be met in any day."""
    return math.ceil(math.log(_NEVER_LOST) / math.log(min(loss, 0.9))) * each_ms if loss > 0 else 0.0


def _spans(changes: tuple[Change, ...], what: str) -> list[tuple[float, float, Change]]:
    """From when to when changes of a kind held; a second one of the same fault and target takes its place."""
    held: dict[tuple[int, int], Change] = {}
    spans: list[tuple[float, float, Change]] = []

    def over(fault: int, target: int, at: float) -> None:
        for place in [one for one in held if one[0] == fault and target in (-1, one[1])]:
            began = held.pop(place)
            spans.append((began.at, at, began))

    for change in changes:
        if change.what == what:
            over(change.fault, change.target, change.at)
            if change.on:
                held[change.fault, change.target] = change
    spans += [(change.at, math.inf, change) for change in held.values()]
    return spans
