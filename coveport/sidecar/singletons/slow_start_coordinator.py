"""Warden of cold nodes: gives instances shares of a fresh node's safe load, in whole operations.

Pure. One a zone (`warden@ZONE`). What stands in the store:

    need/NAME           an instance's wish: a stamp of its own clock, its rate, the fresh nodes that it
    knows of grant/ZONE/NAME     what it may send to which of that zone's, with the stamp that it answers
    state/warden@ZONE   what may still be in use, by node

No two clocks are compared. An instance may use a grant while its own clock is under stamp + G, and the
stamp was taken before the grant was written; so nothing of it is used later than G after it was written, by
whatever clock within the drift. The warden counts it as in use for G' = G (1 + drift) from when it wrote
it; a successor, which knows no times of its predecessor's, from when it took over, which is later.

Let W be the window over which a node's safe load holds, and B(age) what it bears in that time at that age,
which only grows. What lands in a window of W was granted in a span of W + G' at the most. So where

    granted in the last W + G'  <=  PART * B(age - W - G')

no window sees more of grants than PART of what the node bears at its beginning. Instances without a grant
(no store, no warden, a grant that ran out) keep to their share by count, which the module holds under
COLD_SAFETY = 0.3 of B by count. PART + 0.3 < 1: whatever is cut, both together stay under the safe load.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil, inf

import msgspec
import xxhash

from coveport.sidecar.leases.keys import INSTANCE_PREFIX
from coveport.sidecar.leases.store import Entry, Put
from coveport.sidecar.singletons.singleton import Step

NEED, GRANT = "need/", "grant/"
PART = 0.4  # of what a node bears, that grants may come to
GRANT_S = 2.0  # G: how long from its wish on an instance may use a grant
PUTS_MOST = 100  # in one transaction: an engine takes 128 operations


@dataclass(frozen=True, slots=True)
class Safe:
    """What a fresh node bears, by the settings' invariants."""

    cold_from: float = 0.36  # share of its capacity at its start
    warm_after_s: float = 8.6
    factor: float = 4.0  # times its capacity now, at which it falls
    fall_s: float = 2.0  # W: sent more for so long

    def operations(self, age_s: float, service_s: float) -> float:
        """How many operations of this mean time a node of that age bears in W; by one core."""
        age = min(max(age_s, 0.0), self.warm_after_s)
        share = self.cold_from + (1 - self.cold_from) * (
            age / self.warm_after_s if self.warm_after_s else 1.0
        )
        return self.factor * share * self.fall_s / service_s


class Need(msgspec.Struct, frozen=True):
    """What an instance wishes."""

    to: str  # incarnation: a grant is of no use to whoever has its name after it
    stamp: float  # its own clock, s
    rate: float  # first tries a second, lately
    service: float  # s: mean time of an operation, as it knows it
    nodes: dict[str, tuple[int, float]]  # fresh nodes of its list: zone, and age in s


class Grant(msgspec.Struct, frozen=True):
    """What an instance is given: operations by node, under the stamp of its wish."""

    to: str  # incarnation
    stamp: float
    step: int  # the warden's, so that a grant is taken once
    counts: dict[str, int]


class Out(msgspec.Struct, frozen=True):
    """Operations of a node that were granted at a time of the writer's clock."""

    at: float
    count: int


class Books(msgspec.Struct, frozen=True):
    """The warden's state."""

    by: str  # who wrote it: times are of its clock
    step: int = 0
    out: dict[str, list[Out]] = {}
    answered: dict[str, float] = {}  # stamp of the wish of each instance that was answered last


def split(most: int, wishes: Mapping[str, float], salt: str) -> dict[str, int]:
    """Whole operations by demand: shares rounded down, and what is left by the largest remainder.

    Ties fall by a hash of the instance and `salt`, so that they do not fall to the same one each time.
    """
    all_ = sum(wishes.values())
    if most <= 0 or all_ <= 0:
        return {}
    exact = {name: most * wish / all_ for name, wish in wishes.items()}
    found = {name: int(part) for name, part in exact.items()}
    left = most - sum(found.values())
    order = sorted(
        exact,
        key=lambda name: (found[name] - exact[name], xxhash.xxh3_64_intdigest(f"{salt}\0{name}".encode())),
    )
    for name in order[:left]:
        found[name] += 1
    return {name: count for name, count in found.items() if count}


class Warden:
    """The holder's half for one zone."""

    def __init__(self, zone: int, by: str, safe: Safe, drift: float, every_s: float = 0.25) -> None:
        self.name = f"warden@{zone}"
        self.every_s = every_s
        self._zone = zone
        self._by = by
        self._safe = safe
        self.use_s = GRANT_S * (1 + drift)  # G'
        self._found: tuple[bytes | None, float] | None = None  # another's state, and when we saw it first
        self._own = False  # whether we have written one since
        self._seen: dict[
            str, tuple[float, float]
        ] = {}  # by instance: the stamp of its wish, when we saw it first

    def decide(self, now: float, state: bytes | None, entries: Mapping[str, Entry]) -> Step | None:
        """Answer what is wished, as far as the nodes bear it."""
        books = msgspec.json.decode(state, type=Books) if state else Books(self._by)
        if books.by != self._by or not self._own:
            # Guards against grants of whoever held this before us, or of ourselves in another life: all
            # that it wrote down may be in use, from when we first saw it on, for as long as a grant can be.
            if self._found is None or self._found[0] != state:
                self._found = state, now
            out = {
                node: [Out(self._found[1], sum(one.count for one in line))]
                for node, line in books.out.items()
            }
            books = Books(self._by, books.step, out, books.answered)
        return self._granted(now, books, entries)

    def _granted(self, now: float, books: Books, entries: Mapping[str, Entry]) -> Step | None:
        needs = self._needs(now, books, entries)
        span = self._safe.fall_s + self.use_s
        out = {node: [one for one in line if now - one.at <= span] for node, line in books.out.items()}
        given: dict[str, dict[str, int]] = {name: {} for name in needs}
        ours = {
            node for need in needs.values() for node, (zone, _) in need.nodes.items() if zone == self._zone
        }
        for node in sorted(ours):
            wishing = {name: need for name, need in needs.items() if node in need.nodes}
            # The youngest that anybody takes it for, and the longest that anybody says an operation takes.
            age = min(need.nodes[node][1] for need in wishing.values())
            service = max(need.service for need in wishing.values())
            bears = PART * self._safe.operations(age - span, service)
            most = int(bears) - sum(one.count for one in out.get(node, ()))
            counts = split(most, {name: need.rate for name, need in wishing.items()}, f"{node} {books.step}")
            # Nobody is given more than could come to it in the time: it would only keep others from it.
            counts = {name: min(count, ceil(wishing[name].rate * GRANT_S)) for name, count in counts.items()}
            for name, count in counts.items():
                given[name][node] = count
            if counts:
                out.setdefault(node, []).append(Out(now, sum(counts.values())))
        given = {name: counts for name, counts in given.items() if counts}
        if not given:
            return None
        step = books.step + 1
        answered = {
            name: stamp for name, stamp in books.answered.items() if INSTANCE_PREFIX + name in entries
        }
        answered |= {name: needs[name].stamp for name in given}
        after = Books(self._by, step, {node: line for node, line in out.items() if line}, answered)
        puts = [
            Put(
                f"{GRANT}{self._zone}/{name}",
                msgspec.json.encode(Grant(needs[name].to, needs[name].stamp, step, counts)),
            )
            for name, counts in given.items()
        ]
        self._own = True
        total = sum(sum(counts.values()) for counts in given.values())
        return Step(msgspec.json.encode(after), f"granted {total} to {len(given)}", tuple(puts))

    def _needs(self, now: float, books: Books, entries: Mapping[str, Entry]) -> dict[str, Need]:
        """Wishes not answered yet, of instances that are there; so many as fit in a step."""
        found: dict[str, Need] = {}
        for key, entry in entries.items():
            if not key.startswith(NEED) or INSTANCE_PREFIX + key[len(NEED) :] not in entries:
                continue
            try:
                need = msgspec.json.decode(entry.value, type=Need)
            except msgspec.DecodeError:
                continue
            name = key[len(NEED) :]
            seen = self._seen.get(name)
            if seen is None or seen[0] != need.stamp:
                seen = self._seen[name] = need.stamp, now
            if now - seen[1] > GRANT_S / 2:
                continue  # what is granted for it now would run out on the way
            if (
                need.rate > 0
                and need.service > 0
                and books.answered.get(name) != need.stamp
                and (len(found) < PUTS_MOST)
            ):
                found[name] = need
        return found


class Granted:
    """Each instance's own half: what it wishes, and which grants it may still use by its own clock."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._steps: dict[str, int] = {}  # by warden's zone: the last step that we took a grant of
        self._told = (-inf, 0)  # when we wished last, and for how many nodes

    def wish(
        self, now: float, rate: float, service_s: float, nodes: Mapping[str, tuple[int, float]]
    ) -> bytes | None:
        """What to write down now; None where there is nothing to wish for, or we have just wished."""
        if not nodes or rate <= 0 or (now - self._told[0] < GRANT_S / 2 and len(nodes) <= self._told[1]):
            return None
        self._told = now, len(nodes)
        return msgspec.json.encode(Need(self._incarnation, now, round(rate, 2), service_s, dict(nodes)))

    def take(self, now: float, zone: str, entry: Entry | None) -> tuple[float, dict[str, int]] | None:
        """Operations by node and until when, by our clock; None where it is no grant for now."""
        if entry is None:
            return None
        try:
            grant = msgspec.json.decode(entry.value, type=Grant)
        except msgspec.DecodeError:
            return None
        # Guards against one that we have taken already, and one that was meant for who had our name before
        # us: he may have used it.
        if grant.to != self._incarnation or grant.step <= self._steps.get(zone, 0):
            return None
        self._steps[zone] = grant.step
        until = grant.stamp + GRANT_S
        return (until, grant.counts) if now < until else None
