"""Which nodes are too slow to read long prompts beside their streams. Pure.

A node reads prompts in pieces between the tokens of its streams, so a long prompt stretches their pauses, on
a slow node for longer than is in time. Such a node is *strained*, and belongs to no level for a request whose
prompt it has long to read.

One learns of it in two ways. A pause near the longest that is in time was seen there. Or one is to be
expected: the worst pause seen on another node lasts as much longer on a slower one as that is slower. How
fast a node is its pauses tell while it reads nothing: they are steady then, so the mean of a few in a row is
taken, and a low one among all such means.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf

REMEMBERED_S = 30.0  # how long the worst pause counts
NEAR_S = 30.0  # how long a pause near the longest in time counts on its own node
NEAR_PART = 0.9  # of the longest pause that is in time: the next one may be late
OUTAGE_PAUSES = 2.0  # longer than so many of the longest pauses in time: not strain but an outage
PAUSES_A_MEAN = 6
MEANS_TO_JUDGE = 20  # until then a node's speed is unknown
QUANTILE = 0.2  # of a node's means: one without prompts being read
ADJUST_PART = 0.03  # how far one mean moves the estimate
LOOK_S = 0.5  # how often the fastest node is looked for
SLOWER_PART = 1.12  # steady pauses that differ by less are of equally fast nodes


@dataclass(slots=True)
class StreamPauses:
    """The last pauses of one stream."""

    _before_s: float | None = None
    _last: deque[float] = field(default_factory=lambda: deque(maxlen=PAUSES_A_MEAN))

    def note_event(self, now_s: float) -> float | None:
        """Bytes came; for how long there had been none. None: they are the first."""
        before_s, self._before_s = self._before_s, now_s
        if before_s is None:
            return None
        self._last.append(now_s - before_s)
        return now_s - before_s

    @property
    def mean_s(self) -> float | None:
        """Of the last few; None while there are fewer."""
        return sum(self._last) / PAUSES_A_MEAN if len(self._last) == PAUSES_A_MEAN else None


@dataclass(slots=True)
class _Speed:
    means: int = 0
    steady_pause_s: float = 0.0  # estimate of the quantile
    near_at_s: float = -inf  # when a pause there was last near the longest in time

    def note(self, mean_s: float) -> None:
        self.means += 1
        if self.means == 1:
            self.steady_pause_s = mean_s
        elif mean_s < self.steady_pause_s:
            self.steady_pause_s *= 1 - ADJUST_PART * (1 - QUANTILE)
        else:
            self.steady_pause_s *= 1 + ADJUST_PART * QUANTILE

    @property
    def is_known(self) -> bool:
        return self.means >= MEANS_TO_JUDGE


@dataclass(frozen=True, slots=True)
class _WorstPause:
    pause_s: float
    steady_pause_s: float  # of the node where it was seen
    seen_at_s: float


@dataclass(slots=True)
class NodeStrain:
    """Speeds by incarnation, from this proxy's own streams, and the worst pause lately."""

    _speeds: dict[str, _Speed] = field(default_factory=dict)
    _worst: _WorstPause = _WorstPause(0.0, 1.0, -inf)
    _fastest_s: float = inf  # the shortest steady pause of all nodes ...
    _fastest_at_s: float = -inf  # ... when that was looked for

    def note_pause(
        self, incarnation: str, pause_s: float, mean_s: float | None, longest_pause_s: float, now_s: float
    ) -> None:
        """Between two events of a stream so much time passed, and on average between the last few.

        `longest_pause_s` is in time.
        """
        if longest_pause_s <= 0 or pause_s > OUTAGE_PAUSES * longest_pause_s:
            return
        speed = self._speeds.setdefault(incarnation, _Speed())
        if pause_s > NEAR_PART * longest_pause_s:
            speed.near_at_s = now_s
        if mean_s is not None:
            speed.note(mean_s)
        if speed.is_known and (pause_s >= self._worst.pause_s or not self._is_fresh(now_s)):
            self._worst = _WorstPause(pause_s, speed.steady_pause_s, now_s)

    def _is_fresh(self, now_s: float) -> bool:
        return now_s - self._worst.seen_at_s < REMEMBERED_S

    def is_strained(self, incarnation: str, longest_pause_s: float, now_s: float) -> bool:
        """Whether a long prompt would probably make the streams there late, and not those of other nodes."""
        speed = self._speeds.get(incarnation)
        if speed is None or longest_pause_s <= 0:
            return False
        if now_s - speed.near_at_s < NEAR_S:
            return True
        if not speed.is_known or not self._is_fresh(now_s):
            return False
        expected_s = self._worst.pause_s * speed.steady_pause_s / max(self._worst.steady_pause_s, 1e-6)
        if expected_s <= NEAR_PART * longest_pause_s:
            return False
        return speed.steady_pause_s > SLOWER_PART * self._fastest_pause_s(now_s)

    def _fastest_pause_s(self, now_s: float) -> float:
        """Looked for now and then only: there may be hundreds of nodes, and each is asked about."""
        if now_s - self._fastest_at_s >= LOOK_S:
            self._fastest_at_s = now_s
            known = (speed.steady_pause_s for speed in self._speeds.values() if speed.is_known)
            self._fastest_s = min(known, default=inf)
        return self._fastest_s

    def forget_all_but(self, incarnations: frozenset[str]) -> None:
        """Drop what is known of nodes that are gone."""
        for gone in self._speeds.keys() - incarnations:
            del self._speeds[gone]
