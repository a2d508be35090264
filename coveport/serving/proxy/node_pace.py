"""How fast nodes answer this proxy's streams, and whether they answer at all. Pure.

Two things empty a level, beside bad ends (`node_health`) and strain (`node_strain`):

- a node is *saturated* while the mean pause between the events of this proxy's streams there is more than a
  part of the longest pause that is in time: prompts are being read in every step, and each further request
  makes all streams there late;
- a node is *silent* while it owes this proxy answers and has said nothing at all for `SILENT_S`: its region
  may be cut off. A request that can't be sent again would be lost there. A connect that comes up ends the
  suspicion.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp

MEMORY_S = 0.7  # time constant of the mean
LEAST_WEIGHT = 1.5  # events, counted with that memory, that are needed to judge
SATURATED_PART = 0.15  # of the longest pause that is in time; undisturbed streams pause less than 0.1 of it
SILENT_S = 0.8


@dataclass(slots=True)
class _Pace:
    pauses_s: float = 0.0  # sum, decaying
    events: float = 0.0  # count, decaying alike
    noted_at_s: float = 0.0
    owing: int = 0  # requests of ours that it has not answered whole
    heard_at_s: float = 0.0  # when it last said anything, or began to owe, or was connected to

    def decay(self, now_s: float) -> None:
        factor = exp(-max(0.0, now_s - self.noted_at_s) / MEMORY_S)
        self.pauses_s *= factor
        self.events *= factor
        self.noted_at_s = now_s


@dataclass(slots=True)
class NodePace:
    """Records by incarnation."""

    _paces: dict[str, _Pace] = field(default_factory=dict)

    def note_sent(self, incarnation: str, now_s: float) -> None:
        """A request was handed over."""
        pace = self._paces.setdefault(incarnation, _Pace())
        if not pace.owing:
            pace.heard_at_s = now_s
        pace.owing += 1

    def note_ended(self, incarnation: str) -> None:
        """... and is off the node."""
        pace = self._paces.get(incarnation)
        if pace is not None and pace.owing:
            pace.owing -= 1

    def note_heard(self, incarnation: str, pause_s: float | None, now_s: float) -> None:
        """Bytes of an answer came, so long after the ones before; None: they are its first."""
        pace = self._paces.setdefault(incarnation, _Pace())
        pace.heard_at_s = now_s
        if pause_s is not None:
            pace.decay(now_s)
            pace.pauses_s += pause_s
            pace.events += 1

    def note_reached(self, incarnation: str, now_s: float) -> None:
        """A connect came up: whatever it owes, it can be reached."""
        pace = self._paces.get(incarnation)
        if pace is not None:
            pace.heard_at_s = now_s

    def is_saturated(self, incarnation: str, longest_pause_s: float, now_s: float) -> bool:
        """Whether streams there are about to be late; False where too few events tell."""
        pace = self._paces.get(incarnation)
        if pace is None or longest_pause_s <= 0:
            return False
        pace.decay(now_s)
        return pace.events >= LEAST_WEIGHT and pace.pauses_s > SATURATED_PART * longest_pause_s * pace.events

    def silent(self, now_s: float) -> list[str]:
        """Nodes that owe answers and have said nothing for too long."""
        return [
            incarnation
            for incarnation, pace in self._paces.items()
            if pace.owing and now_s - pace.heard_at_s > SILENT_S
        ]

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop what is known of nodes that are gone and owe nothing."""
        gone = [name for name, pace in self._paces.items() if name not in incarnations and not pace.owing]
        for incarnation in gone:
            del self._paces[incarnation]
