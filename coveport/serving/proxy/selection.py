"""Chooses the node for a request from everything the proxy knows of nodes."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from coveport.serving.model.configuration import Route, Service
from coveport.serving.model.view import ControlView, KnownNode
from coveport.serving.proxy.levels import less_busy_of_two
from coveport.serving.proxy.node_health import NodeHealth
from coveport.serving.proxy.node_pace import NodePace
from coveport.serving.proxy.node_pool import NodePool
from coveport.serving.proxy.node_strain import NodeStrain, StreamPauses
from coveport.serving.proxy.prompt_parts import PartMemory, PromptPart, keepers
from coveport.serving.proxy.routing import Levels, is_open, open_nodes, split_levels
from coveport.serving.proxy.warm_up import WarmUpCredit

KEEPERS = 2  # nodes of a level that a prompt part is sent to while they are usable
LONG_READ_TOKENS = 4000  # that a node has yet to read: several steps in a row
LATE_S = 0.1  # a request handed over so long after its choice counts a second time for a cold node


class NoNode(Enum):
    """Why no node was chosen."""

    NONE_OPEN = "no node is open to the request"
    ALL_FULL = "all nodes are full or warming up"


@dataclass(frozen=True, slots=True)
class Wanted:
    """What a send needs."""

    route: Route
    service: Service
    parts: tuple[PromptPart, ...] = ()


@dataclass(slots=True)
class NodeSelection:
    """The levels and the draw, over this proxy's own counts."""

    view: ControlView
    region: str
    random: Random
    health: NodeHealth
    warm_up: WarmUpCredit
    pool: NodePool
    pace: NodePace
    strain: NodeStrain = field(default_factory=NodeStrain)
    parts: PartMemory = field(default_factory=PartMemory)
    in_flight: dict[str, int] = field(default_factory=dict)  # this proxy's requests by incarnation

    def choose(self, wanted: Wanted, broke_at: Collection[str], now_s: float) -> KnownNode | NoNode:
        """The node for one send. Nodes that broke this request off come last."""
        service = wanted.service
        nodes = open_nodes(self.view, service.name, wanted.route.home_regions, now_s)
        others = [known for known in nodes if known.node.incarnation not in broke_at]
        levels = split_levels(others or nodes, self.region)
        longest_pause_s = wanted.route.inter_token_target_ms / 1000

        def is_usable(known: KnownNode) -> bool:
            return self._has_place(known, service, now_s) and not self._is_out(known, now_s)

        def is_swift(known: KnownNode) -> bool:
            incarnation = known.node.incarnation
            return is_usable(known) and not self.pace.is_saturated(incarnation, longest_pause_s, now_s)

        def is_fit(known: KnownNode) -> bool:
            return is_swift(known) and not self._is_strained_for(wanted, known.node.incarnation, now_s)

        candidates = (
            levels.first(is_fit)
            or levels.first(is_swift)
            or levels.first(is_usable)
            or self._last_resort(levels, service, now_s)
        )
        if not candidates:
            return NoNode.ALL_FULL if nodes else NoNode.NONE_OPEN
        by_incarnation = {known.node.incarnation: known for known in candidates}
        chosen = less_busy_of_two(
            keepers(wanted.parts, tuple(by_incarnation), KEEPERS),
            self.in_flight,
            self.random,
            lambda one, other: self.parts.prefer(wanted.parts, one, other),
        )
        return by_incarnation[chosen]

    def _is_strained_for(self, wanted: Wanted, incarnation: str, now_s: float) -> bool:
        """Whether the node would read the prompt for so long that its streams pause for too long."""
        if self.parts.unread_tokens(wanted.parts, incarnation) < LONG_READ_TOKENS:
            return False
        return self.strain.is_strained(incarnation, wanted.route.inter_token_target_ms / 1000, now_s)

    def _is_out(self, known: KnownNode, now_s: float) -> bool:
        return self.health.is_out(known.node.incarnation, now_s)

    def _has_place(self, known: KnownNode, service: Service, now_s: float) -> bool:
        return (
            self.health.full_until_s(known.node.incarnation) <= now_s
            and self.pool.has_room(known.node.incarnation, self._connections_at_most(service))
            and self.warm_up.may_send(known, service, self.view, now_s)
        )

    def _connections_at_most(self, service: Service) -> int:
        """How many connections this proxy may have to a node; 0: not bounded."""
        if service.max_connections <= 0:
            return 0
        return max(1, service.max_connections // max(1, self.view.max_proxies))

    def _last_resort(self, levels: Levels, service: Service, now_s: float) -> list[KnownNode]:
        """Where bad ends alone keep all nodes out, they are tried rather than none."""
        everyone = [*levels.own, *levels.rest]
        if not all(self._is_out(known, now_s) for known in everyone):
            return []
        return levels.first(lambda known: self._has_place(known, service, now_s))

    def is_still_open(self, known: KnownNode, now_s: float) -> bool:
        """Whether the node that was chosen may still be sent to, by the newest view."""
        current = self.view.nodes.get(known.node.incarnation)
        return current is not None and is_open(self.view, current, now_s)

    def note_chosen(self, known: KnownNode, wanted: Wanted, now_s: float) -> None:
        """A request is on its way to the node."""
        incarnation = known.node.incarnation
        self.in_flight[incarnation] = self.in_flight.get(incarnation, 0) + 1
        self.health.note_send(incarnation, now_s)
        self.warm_up.note_send(known, wanted.service, self.view, now_s)

    def note_handed_over(self, known: KnownNode, wanted: Wanted, chosen_s: float, now_s: float) -> None:
        """... and is handed over."""
        if now_s > chosen_s + LATE_S:
            self.warm_up.note_send(known, wanted.service, self.view, now_s)
        self.parts.note_sent(wanted.parts, known.node.incarnation)
        self.pace.note_sent(known.node.incarnation, now_s)

    def note_heard(self, known: KnownNode, wanted: Wanted, pauses: StreamPauses, now_s: float) -> None:
        """Bytes of the answer came."""
        incarnation, pause_s = known.node.incarnation, pauses.note_event(now_s)
        self.pace.note_heard(incarnation, pause_s, now_s)
        if pause_s is not None:
            longest_pause_s = wanted.route.inter_token_target_ms / 1000
            self.strain.note_pause(incarnation, pause_s, pauses.mean_s, longest_pause_s, now_s)

    def note_end(self, known: KnownNode) -> None:
        """The request is off the node."""
        incarnation = known.node.incarnation
        left = self.in_flight.get(incarnation, 0) - 1
        if left > 0:
            self.in_flight[incarnation] = left
        else:
            self.in_flight.pop(incarnation, None)
