"""Looking by turns: each ledger node is looked at by one instance, which tells the others what it saw.

Pure. Who looks at which node falls out of names alone (rendezvous hashing): all instances that see the same
names there agree without a word, and when one goes only its own nodes move. Where they see different names
two look at one node, or nobody does for a moment; neither harms. What was seen stands under `look/NODE`,
under the author's own session, so it goes with him.

    look/NODE = {"by": incarnation, "rev": its session, "at": unix s, "ok": bool, "ms": answer time, "n":
    count}

What comes of it: the module's own wish to look at a node is answered from another's look, where that is
young enough, instead of by a probe of ours. A look may keep a node out or let it in sooner. It never ends
an operation.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec
import xxhash

from coveport.sidecar.leases.keys import INSTANCE_PREFIX
from coveport.sidecar.leases.store import Entry

LOOK = "look/"
YOUNG_S = 2.0  # a look is worth something for so long
STEADY_S = 1.0  # a node that does as before is told of again after so long; a change at once
OWN_S = 5.0  # what we saw ourselves goes before another's word for so long
AHEAD_S = 5.0  # a look from the future by more than this is of a clock that is wrong: it is left out


class Seen(msgspec.Struct, frozen=True):
    """What one instance saw of a node."""

    by: str  # incarnation
    at: float  # unix seconds, by the author's clock
    ok: bool
    ms: float = 0.0
    n: int = 0  # the author's count: an older word of the same author is dropped


@dataclass(frozen=True, slots=True)
class Heard:
    """Somebody's look as it came to us: its age counts from when we heard of it, whatever clocks say."""

    seen: Seen
    heard_at: float
    revision: int


def weight(instance: str, node: str) -> int:
    """How much an instance is drawn to a node."""
    return xxhash.xxh3_64_intdigest(f"{instance}\0{node}".encode())


def looker(node: str, instances: Iterable[str]) -> str:
    """Who looks at a node; empty where nobody is there."""
    return max(instances, key=lambda name: (weight(name, node), name), default="")


def shares(nodes: Iterable[str], instances: Sequence[str]) -> dict[str, list[str]]:
    """Each instance's nodes."""
    found: dict[str, list[str]] = {name: [] for name in instances}
    for node in nodes:
        who = looker(node, instances)
        if who:
            found[who].append(node)
    return found


class Looking:
    """One instance's part: what it is to look at, and what it has heard of the rest.

    `now` of all calls is our own clock that never steps; `unix` is only written down for those who read.
    """

    def __init__(self, name: str, incarnation: str) -> None:
        self._name = name
        self._incarnation = incarnation
        self._heard: dict[str, Heard] = {}
        self._own: dict[
            str, tuple[float, bool, float]
        ] = {}  # node: when we looked last, what, when it was told
        self._saw: dict[str, tuple[float, bool]] = {}  # by our own operations: when last, and what
        self._present: set[str] = set()
        self._turns: dict[str, str] = {}  # who looks at which node, while the same instances are there
        self._count = 0

    def mine(
        self, now: float, nodes: Iterable[str], entries: Mapping[str, Entry], every_s: float
    ) -> list[str]:
        """The nodes of our own that are to be looked at now."""
        present = {key[len(INSTANCE_PREFIX) :] for key in entries if key.startswith(INSTANCE_PREFIX)} | {
            self._name
        }
        if present != self._present:
            # Guards against a hash for each pair of node and instance at every look.
            self._present = present
            self._turns = {}
        due = []
        for node in nodes:
            who = self._turns.get(node)
            if who is None:
                who = self._turns[node] = looker(node, present)
            if who == self._name:
                last = self._own.get(node)
                if last is None or now - last[0] >= every_s:
                    due.append(node)
        return due

    def began(self, now: float, node: str) -> None:
        """We look at it now."""
        before = self._own.get(node)
        self._own[node] = (now, True, -1e9) if before is None else (now, *before[1:])

    def looked(self, now: float, unix: float, node: str, ok: bool, ms: float) -> bytes | None:
        """We have looked; what is to be told, or None where there is no news in it."""
        before = self._own.get(node, (now, True, -1e9))
        news = before[1] is not ok or now - before[2] >= STEADY_S
        self._own[node] = (now, ok, now if news else before[2])
        if not news:
            return None
        self._count += 1
        return msgspec.json.encode(Seen(self._incarnation, unix, ok, round(ms, 2), self._count))

    def saw(self, now: float, node: str, ok: bool) -> None:
        """What we saw of a node by our own operations."""
        self._saw[node] = now, ok

    def heard(self, now: float, unix: float, node: str, entry: Entry | None) -> Seen | None:
        """Somebody told of a node (None: his word is gone with his session); what we are to make of it.

        None where there is no news in it, where it is our own, and where we know better.
        """
        if entry is None:
            self._heard.pop(node, None)
            return None
        try:
            seen = msgspec.json.decode(entry.value, type=Seen)
        except msgspec.DecodeError:
            return None
        before = self._heard.get(node)
        if before is not None and entry.modified <= before.revision:
            return None  # a later word is known: this one's author has been overtaken
        if seen.at > unix + AHEAD_S:
            return None
        self._heard[node] = Heard(seen, now, entry.modified)
        if seen.by == self._incarnation or (before is not None and before.seen.ok is seen.ok):
            return None
        return None if self._know_better(now, node, seen.ok) else seen

    def word(self, now: float, node: str) -> Seen | None:
        """Another's young word on a node that we would else look at ourselves."""
        found = self._heard.get(node)
        if found is None or found.seen.by == self._incarnation or now - found.heard_at > YOUNG_S:
            return None
        return None if self._know_better(now, node, found.seen.ok) else found.seen

    def _know_better(self, now: float, node: str, ok: bool) -> bool:
        # Guards against an author with another way there than ours: what we saw lately goes before his word.
        at, was_ok = self._saw.get(node, (-1e9, ok))
        return was_ok is not ok and now - at < OWN_S

    def forget(self, nodes: Iterable[str]) -> None:
        """Only these nodes are listed."""
        kept = set(nodes)
        self._own = {node: one for node, one in self._own.items() if node in kept}
        self._heard = {node: one for node, one in self._heard.items() if node in kept}
        self._saw = {node: one for node, one in self._saw.items() if node in kept}
        self._turns = {node: one for node, one in self._turns.items() if node in kept}
