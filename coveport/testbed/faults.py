"""The faults that a scenario may name, each with when, whom and how much.

`at_s` and `for_s` place each in the day; `whom` picks nodes, or sidecars for those of `OF_SIDECARS`.
"""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Struct

from coveport.testbed.schema import (
    Above0,
    FigureAbove0,
    FigureClock,
    FigureDescriptors,
    FigureFrom0,
    FigureLoss,
    FigurePart,
    FigureShare,
    From0,
    Share,
    Strict,
)
from coveport.testbed.tables import Bounds, Figure


class Whom(Strict, frozen=True):
    """Which: by number, or so many of those in a zone and of a kind, drawn by the seed.

    One of `numbers`, `count`, `share` and `all`; `zone` and `kind` narrow the last three, and alone mean all
    there. A replaced node's number stands for its replacement.
    """

    numbers: tuple[int, ...] = ()
    count: Annotated[int, Bounds(0, 5000)] = 0
    share: Share = 0.0
    zone: str = ""
    kind: str = ""
    all: bool = False


class FaultBase(Struct, forbid_unknown_fields=True, frozen=True, tag_field="kind"):
    """When; where a fault says nothing else, `for_s` 0 means until the day's end."""

    at_s: FigureFrom0
    for_s: FigureFrom0 = 0.0


class Crash(FaultBase, frozen=True, tag="crash"):
    """Processes die; they come back cold after `for_s` (0: never), or are replaced under new names."""

    whom: Whom = Whom(share=0.2)
    replaced: bool = False


class Slow(FaultBase, frozen=True, tag="slow"):
    """Nodes run `size` times slower."""

    whom: Whom = Whom(share=0.2)
    size: FigureAbove0 = (3.4, 9.8)


class Silent(FaultBase, frozen=True, tag="silent"):
    """Nodes take nothing and say nothing: open connections stay, new ones never come up."""

    whom: Whom = Whom(share=0.2)


class Drain(FaultBase, frozen=True, tag="drain"):
    """Nodes are told to drain, end what they hold, are gone `gone_s` later and back cold after `for_s`."""

    whom: Whom = Whom(share=0.2)
    gone_s: From0 = 3.0


class Rolling(FaultBase, frozen=True, tag="rolling"):
    """Nodes drain and restart one after the other, `every_s` apart, each down for `down_s`."""

    whom: Whom = Whom(all=True)
    every_s: From0 = 4.0
    gone_s: From0 = 2.0
    down_s: Above0 = 1.0


class Errors(FaultBase, frozen=True, tag="errors"):
    """A share of answers is a 500, after the work or instead of it."""

    whom: Whom = Whom(all=True)
    size: FigureShare = 0.1
    ran: Share = 0.5  # share of them that has run


class Resets(FaultBase, frozen=True, tag="resets"):
    """A share of attempts ends in a reset, before (`ran` = 0) or after the work."""

    whom: Whom = Whom(all=True)
    size: FigureShare = 0.1
    ran: Share = 0.5


class Spoilt(FaultBase, frozen=True, tag="spoilt"):
    """A share of answers is spoilt: noise, a wrong length, cut short, never ending. They have run."""

    whom: Whom = Whom(all=True)
    size: FigureShare = 0.05


class FullQueue(FaultBase, frozen=True, tag="full_queue"):
    """Nodes have no room for connections that wait to be accepted: connects are dropped and sent again."""

    whom: Whom = Whom(share=0.2)


class Cut(FaultBase, frozen=True, tag="cut"):
    """A zone is cut off from the others: silence both ways, and what is open stays open."""

    zone: str = ""  # empty: drawn


class Delay(FaultBase, frozen=True, tag="delay"):
    """The way between zones (or within, too) takes `added_ms` longer."""

    added_ms: FigureFrom0 = 50.0
    within: bool = False


class Loss(FaultBase, frozen=True, tag="loss"):
    """A share of messages is lost and sent again."""

    size: FigureLoss = 0.02


class Burst(FaultBase, frozen=True, tag="burst"):
    """`size` times the load, with a rise from its begin and a fall up to its end."""

    size: FigureFrom0 = (1.4, 2.5)
    rise_s: From0 = 1.0


class HeavyTail(FaultBase, frozen=True, tag="heavy_tail"):
    """A share of one class takes `size` times its work."""

    share: FigureShare = (0.0065, 0.022)
    size: FigureAbove0 = (5.6, 29)
    cls: str = ""  # empty: drawn


class DiscoveryFault(FaultBase, frozen=True, tag="discovery"):
    """Discovery is silent, late by `size` seconds, tells garbage, tells an empty list, or moves (reload).

    Or it is overbooked: one service for all sidecars, which takes `size` ms for a call and again for each
    line that it tells; calls wait in turn, and are refused after 2 s. A watch that goes on costs nothing.
    """

    how: Literal["silent", "late", "garbled", "empty", "moves", "overbooked"] = "silent"
    size: FigureFrom0 = 3.0


class Kill(FaultBase, frozen=True, tag="kill"):
    """Sidecars are killed outright and started again `for_s` later."""

    whom: Whom = Whom(count=1)


class Stall(FaultBase, frozen=True, tag="stall"):
    """Sidecars get no CPU for `for_s`."""

    whom: Whom = Whom(count=1)


class Restart(FaultBase, frozen=True, tag="restart"):
    """Sidecars are told to stop (SIGTERM) and started again once they have ended, `every_s` apart."""

    whom: Whom = Whom(count=1)
    every_s: From0 = 0.0


class Clock(FaultBase, frozen=True, tag="clock"):
    """The wall clock of sidecars' machines steps by `size` seconds, and back at the end."""

    whom: Whom = Whom(all=True)
    size: FigureClock = (-60, 60)


class Starve(FaultBase, frozen=True, tag="starve"):
    """Sidecars get `size` of a core: of each tenth of a second the rest is without CPU."""

    whom: Whom = Whom(count=1)
    size: FigurePart = (0.3, 0.8)


class Descriptors(FaultBase, frozen=True, tag="descriptors"):
    """Sidecars may hold `size` descriptors, whatever they were told at their start."""

    whom: Whom = Whom(count=1)
    size: FigureDescriptors = (24, 48)


class SlowReader(FaultBase, frozen=True, tag="slow_reader"):
    """A share of tills reads nothing for up to `size` seconds once it has asked."""

    whom: Whom = Whom(all=True)
    size: FigureAbove0 = (0.2, 2)
    share: FigureShare = 0.1


class Upgrade(FaultBase, frozen=True, tag="upgrade"):
    """Sidecars are replaced while they serve, `every_s` apart: a second process starts beside the first.

    The first is told to stop once the second says that it is ready.
    """

    whom: Whom = Whom(count=1)
    every_s: From0 = 0.0


class Lameduck(FaultBase, frozen=True, tag="lameduck"):
    """Staff drain sidecars at their console, and take them back `for_s` later; their tills go on asking."""

    whom: Whom = Whom(count=1)


class Retune(FaultBase, frozen=True, tag="retune"):
    """Sidecars are told to read a file that allows `size` attempts, and the old one again `for_s` later."""

    whom: Whom = Whom(all=True)
    size: Annotated[Figure, Bounds(1, 10)] = 1.0


class Scrape(FaultBase, frozen=True, tag="scrape"):
    """Somebody asks sidecars for their figures every `every_s`, beside `silent` callers who say nothing."""

    whom: Whom = Whom(all=True)
    every_s: Above0 = 0.5
    silent: Annotated[int, Bounds(0, 200)] = 3


AnyFault = (
    Crash
    | Slow
    | Silent
    | Drain
    | Rolling
    | Errors
    | Resets
    | Spoilt
    | FullQueue
    | Cut
    | Delay
    | Loss
    | Burst
    | HeavyTail
    | DiscoveryFault
    | Kill
    | Stall
    | Restart
    | Clock
    | Starve
    | Descriptors
    | SlowReader
    | Upgrade
    | Lameduck
    | Retune
    | Scrape
)

OF_STAFF = (Upgrade, Lameduck, Retune, Scrape)
OF_SIDECARS = (Kill, Stall, Restart, Clock, Starve, Descriptors, SlowReader, *OF_STAFF)
SIMULATED_FAULTS = (FullQueue, Clock, Starve, Descriptors, SlowReader, *OF_STAFF)
"""Those that simulated ground alone can do."""
