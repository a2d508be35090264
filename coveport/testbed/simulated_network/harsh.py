"""What a harsh network does to messages and connections, drawn. Pure.

Each figure draws from a stream of its own, so that one that is switched on leaves the others' draws as they
were (though not whom they fall on: other messages are sent then).
"""

from __future__ import annotations

import math
from typing import Self

from coveport.testbed.random_streams import drawn, ends, stream
from coveport.testbed.scenario import SIMULATED_FIGURES
from coveport.testbed.schema import Network

MOST_CUTS = 3  # of one message


class Harsh:
    """Draws for one run."""

    def __init__(self, network: Network, seed: int) -> None:
        self._network = network
        self._seed = seed
        self._split, self._merge, self._window, self._reset, self._end, self._late = (
            stream(seed, "wires", name) for name in ("split", "merge", "window", "reset", "end", "late")
        )
        self.splits = network.split > 0
        self.merges = network.merge > 0
        self.breaks = network.reset_mid > 0 or network.end_mid > 0
        self.windows = network.window != Network().window
        self.backlog = network.backlog or 1 << 30
        self.read_chunk = network.read_chunk

    @classmethod
    def of(cls, network: Network, seed: int) -> Self | None:
        """The draws; None where the network is not harsh at all."""
        calm = Network()
        same = all(getattr(network, name) == getattr(calm, name) for name in SIMULATED_FIGURES)
        return None if same else cls(network, seed)

    def segments(self, size: int) -> list[tuple[int, float]]:
        """Where a message of so many bytes is cut: the end of each segment, and how many s later it comes."""
        rng = self._split
        if size < 2 or rng.random() >= self._network.split:
            return [(size, 0.0)]
        cuts = sorted(rng.sample(range(1, size), min(rng.randint(1, MOST_CUTS), size - 1)))
        last_s = drawn(rng, self._network.split_ms) / 1000
        later = [0.0, *sorted(rng.random() * last_s for _ in cuts[1:]), last_s]
        return list(zip([*cuts, size], later, strict=True))

    def wait_s(self) -> float:
        """How long a message waits for the next one; 0: not at all."""
        rng = self._merge
        return drawn(rng, self._network.merge_ms) / 1000 if rng.random() < self._network.merge else 0.0

    def window(self) -> int:
        """Bytes of one direction of a new connection that may be sent and not read."""
        return round(_of_all_magnitudes(self._window.random(), self._network.window))

    def break_at(self, size: int) -> tuple[int, bool] | None:
        """At which byte of a message (0 to its size) the network breaks the connection; True: by a reset."""
        for rng, share, resets in (
            (self._reset, self._network.reset_mid, True),
            (self._end, self._network.end_mid, False),
        ):
            if share and rng.random() < share:
                return rng.randint(0, size), resets
        return None

    def late_s(self) -> tuple[float, bool]:
        """How much later a connect comes up (0: not), and whether that is its way back."""
        rng = self._late
        if rng.random() >= self._network.late_connect:
            return 0.0, False
        late_ms = _of_all_magnitudes(rng.random(), self._network.late_connect_ms)
        return late_ms / 1000, rng.random() < 0.5

    def accept_s(self, party: str) -> float:
        """From one accept to the next, for who listens at an address."""
        return drawn(stream(self._seed, "wires", "accept", party), self._network.accept_ms) / 1000


def _of_all_magnitudes(draw: float, figure: float | tuple[float, float]) -> float:
    low, high = ends(figure)
    return low * math.exp(draw * math.log(high / low))
