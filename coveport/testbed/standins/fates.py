"""What is to become of an attempt at a ledger node whatever its model says, drawn from the day's faults."""

from __future__ import annotations

import random
from enum import Enum

from coveport.testbed.day import Change, NodeDrawn

CLAIMED = 10**12  # bytes that a dripping answer claims to have


class Fate(Enum):
    """What is to become of an attempt whatever the model says."""

    GOOD = 0
    ERROR = 1  # 500 after the work
    ERROR_UNRUN = 2  # 500 instead of it
    RESET = 3
    RESET_UNRUN = 4
    SPOILT = 5


FATES = {
    "errors": (Fate.ERROR, Fate.ERROR_UNRUN),
    "resets": (Fate.RESET, Fate.RESET_UNRUN),
    "spoilt": (Fate.SPOILT, Fate.SPOILT),
}
UNRUN = (Fate.ERROR_UNRUN, Fate.RESET_UNRUN)


class Fates:
    """The troubles of one node, and a draw for each attempt.

    `random` is for all else that chance decides about answers there.
    """

    def __init__(self, drawn: NodeDrawn) -> None:
        self.random = random.Random(f"fates {drawn.seed}")
        self._error_rate = drawn.error_rate
        self._troubles: dict[tuple[int, str], Change] = {}  # by fault and kind
        # Shares of attempts (summed up), what becomes of those that run and the others, how many run.
        self._fates: list[tuple[float, Fate, Fate, float]] = []
        self._weigh()

    def change(self, change: Change) -> None:
        """A trouble of `FATES` begins or ends."""
        if change.on:
            self._troubles[change.fault, change.what] = change
        else:
            self._troubles.pop((change.fault, change.what), None)
        self._weigh()

    def _weigh(self) -> None:
        up_to = self._error_rate
        self._fates = [(up_to, Fate.ERROR, Fate.ERROR, 1.0)] if up_to else []
        for (_, what), change in self._troubles.items():
            up_to += change.value
            self._fates.append((up_to, *FATES[what], 1.0 if what == "spoilt" else change.share))

    def draw(self) -> Fate:
        """The fate of the next attempt; without troubles nothing is drawn."""
        if self._fates:
            figure = self.random.random()
            for up_to, ran, unrun, share in self._fates:
                if figure < up_to:
                    return ran if share >= 1 or self.random.random() < share else unrun
        return Fate.GOOD


SPOILT = ("noise", "long", "short", "chunks", "drip", "junk")
"""How an answer is spoilt: noise for a head; a length never reached, then silence; half of it, then an end;
chunks that are none; an immense length and a few bytes at a time; whole, with bytes behind it that belong to
nothing."""


def spoilt_answer(kind: str, head: bytes, body: bytes, rng: random.Random) -> bytes:
    """The bytes of an answer that is spoilt in one of the ways of `SPOILT`."""
    if kind == "noise":
        return rng.randbytes(rng.randrange(64, 512))
    if kind == "chunks":
        return b"%bTransfer-Encoding: chunked\r\n\r\nzz\r\n%b" % (head, body)
    length = {"long": len(body) + 1000, "drip": CLAIMED}.get(kind, len(body))
    sent = body[: len(body) // 2] if kind == "short" else body
    junk = b"\x00junk" if kind == "junk" else b""
    return b"%bContent-Length: %d\r\n\r\n%b%b" % (head, length, sent, junk)
