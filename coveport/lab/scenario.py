"""What a scenario file may say: the schema of a day. Read with msgspec, checked before anything starts.

A figure written as `[low, high]` is drawn anew for each seed (and for each node where it is a node's), evenly
between the two; a plain number is taken as it is. Defaults are the figures of the ledger's deployment.
"""

from __future__ import annotations

from typing import Literal

from msgspec import Struct, field

Figure = float | tuple[float, float]
"""A number, or a range that is drawn from."""


class Strict(Struct, forbid_unknown_fields=True, frozen=True):
    """A table in which an unknown key is a mistake."""


class Kind(Strict, frozen=True):
    """A kind of machine among the ledger nodes."""

    name: str
    share: float = 1.0  # of the nodes; the shares of all kinds need not add up to one
    cores: int = 1
    speed: Figure = 1.0  # work done by a core in a ms, in ms of standard work
    slots: Figure = (2, 6)  # operations in work at once, per core
    waiting: Figure = (26, 57)  # room for those that wait, per core; beyond it: turned away
    crowd_at: Figure = (6.1, 14)  # operations held per core above which it gets less efficient
    crowd_cost: Figure = (0.035, 0.13)  # how much slower for each further one, as a share
    cold_from: Figure = (0.36, 0.56)  # share of its capacity when just started
    warm_s: Figure = (3.1, 8.6)  # until it has all of it, evenly
    pause_every_s: Figure = (2, 12)  # stops of the whole process (a collector's, say)
    pause_ms: Figure = (0, 66)
    error_rate: Figure = (0, 0.001)
    cancel: Literal["none", "waiting", "all"] = "waiting"  # what a closed connection stops
    drops_expired: bool = False  # whether work past its X-Deadline is dropped unrun


def _kinds() -> tuple[Kind, ...]:
    return (Kind(name="full-core", share=0.63, speed=(0.85, 1.1)),
            Kind(name="slow-core", share=0.37, speed=(0.51, 0.69), waiting=(17, 39),
                 crowd_cost=(0.049, 0.14), cold_from=(0.36, 0.58), warm_s=(3.8, 8.2), error_rate=(0, 0.002)))


class Jam(Strict, frozen=True):
    """A node that is far behind turns slower and stays so (a state that keeps itself up)."""

    at: float = 0.0  # waiting per core that begins it; 0: never
    over_s: float = 2.0  # for so long
    slower: float = 2.6  # times
    below: float = 0.3  # busy share under which it rests ...
    rest_s: float = 3.0  # ... for so long until it recovers,
    most_s: float = 27.0  # or after this in any case


class Fleet(Strict, frozen=True):
    """Who is there."""

    sidecars: int = 6
    nodes: int = 10
    zones: tuple[str, ...] = ("bilbao", "oviedo", "pamplona")
    cell_size: int = 4  # nodes of one zone that remember keys together
    kinds: tuple[Kind, ...] = field(default_factory=_kinds)
    jam: Jam = Jam()
    connections: Figure = (600, 900)  # a node takes, per core
    handshake_ms: Figure = (0.72, 1.5)  # work of a node for a new connection
    handshake_trips: Figure = (1, 3)  # round trips before its first operation arrives
    idle_s: Figure = 5.0  # a node closes a connection that rests so long
    closes_behind: float = 0.0  # share of answers right behind which the node closes without a word
    probe_ms: Figure = (0.22, 0.45)  # work of a probe
    report_every_ms: Figure = (330, 850)  # how often the load report is made anew
    report_late_ms: Figure = (68, 470)  # how old it is when it is made
    report_noise: Figure = (0.0068, 0.066)


class Class(Strict, frozen=True):
    """A class of operations."""

    name: str
    share: float
    work_ms: Figure
    repeats: Literal["safe", "keyed", "never"]
    aim_ms: float
    deadline_ms: float  # what a client waits in all, over its tries
    worth: float = 1.0
    scope: Literal["all", "zone", "cell"] = "cell"  # keyed: who drops a repeat
    window_ms: float = 6000.0  # keyed: for how long
    dist: Literal["fixed", "exp", "lognormal"] = "exp"  # of the work around its mean
    cv: Figure = 1.0  # lognormal: its coefficient of variation
    attempt_noise: Figure = 0.1  # how much the work of two attempts of one operation differs
    body: Figure = (80, 400)  # bytes a till sends (none where it is safe)
    answer: Figure = (100, 900)  # bytes a node answers


def _classes() -> tuple[Class, ...]:
    return (
        Class(name="balance", share=0.45, work_ms=(46, 83), repeats="safe", aim_ms=1000, deadline_ms=4000),
        Class(name="earn", share=0.28, work_ms=(87, 160), repeats="keyed", aim_ms=1200, deadline_ms=3000,
              worth=5, dist="lognormal", cv=(0.7, 1.4)),
        Class(name="redeem", share=0.27, work_ms=(110, 190), repeats="never", aim_ms=2500, deadline_ms=6000,
              worth=3, dist="lognormal", cv=(0.78, 1.4)),
    )


class Retries(Strict, frozen=True):
    """What tills do by themselves after a busy reply, or any failure where a repeat is safe."""

    most: Figure = (0, 1.5)  # mean number a wish; 1.5: half of the wishes may twice
    backoff_ms: Figure = (48, 380)
    growing: bool = True  # doubled at each further one
    honour: float = 0.9  # share of Retry-After that is kept
    try_share: Figure = (0.7, 1.0)  # of the deadline that is left, after which a try is given up


class Load(Strict, frozen=True):
    """What the tills ask. Arrivals are drawn ahead and never wait for answers."""

    rate: Figure = 0.0  # operations a second over all sidecars; 0: from `level`
    level: Figure = (0.22, 0.48)  # where no rate is given: part of what the warm fleet can do
    shape: Literal["steady", "wave", "curve"] = "steady"
    swing: Figure = (0.053, 0.19)  # wave: how far up and down
    wave_s: float = 20.0
    curve: tuple[tuple[float, float], ...] = ()  # curve: (second, times the rate), straight between
    skew: Figure = (0.15, 0.45)  # how unlike the zones are in what they ask
    spread: Figure = (0.3, 0.8)  # how unlike the sidecars are (coefficient of variation)
    retries: Retries = Retries()
    impatient: float = 0.0  # share of wishes given up at a random moment before their time
    ask_once: float = 0.0  # share of connections on which a till asks once and stays
    half_close: float = 0.0  # share of wishes after which a till ends its sending, and yet waits
    connections: int = 64  # the most a sidecar's tills hold at once


class Network(Strict, frozen=True):
    """What lies between; one way, in ms."""

    same_ms: Figure = (0.19, 0.34)  # within a zone
    cross_ms: Figure = (5.6, 10)  # between two
    client_ms: Figure = (0.03, 0.09)  # till to its sidecar
    jitter: Figure = (0.05, 0.35)  # as a share of the way's own time
    loss: Figure = 0.0  # share of messages delayed by a retransmission
    loss_ms: float = 200.0  # which takes this


class DiscoveryService(Strict, frozen=True):
    """How the list of nodes is told."""

    notice_s: Figure = (1.3, 5.5)  # until a death is seen
    add_s: Figure = (0.56, 3.7)  # until a start is seen
    spread_ms: Figure = (35, 120)  # between the sidecars' hearing of it
    known: Literal["fresh", "old", "none"] = "fresh"  # the list that a sidecar is started with
    extra: int = 0  # further entries in the list that no sidecar's zone uses (lists of thousands)


class Rules(Strict, frozen=True):
    """The figures of the rules, and what the platform allows."""

    answer_slack_ms: float = 20.0
    drain_grace_ms: float = 750.0
    cold_from: float = 0.36
    warm_after_ms: float = 8600.0
    overload_factor: float = 4.0
    fall_ms: float = 2000.0
    most_tries: int = 3
    second_copies: bool = True
    retry_after: bool = True
    max_retry_after_ms: float = 2000.0
    probes: bool = True
    connect_timeout_ms: float = 250.0


class Limits(Strict, frozen=True):
    """What a sidecar's process may use."""

    memory_mb: float = 64.0
    descriptors: int = 512


# Faults. `at_s` and `for_s` place each in the day; `whom` picks nodes, or sidecars for the last three.


class Whom(Strict, frozen=True):
    """Which: by number, or so many of those in a zone and of a kind, drawn by the seed."""

    numbers: tuple[int, ...] = ()
    count: int = 0
    share: float = 0.0
    zone: str = ""
    kind: str = ""
    all: bool = False


class FaultBase(Struct, forbid_unknown_fields=True, frozen=True, tag_field="kind"):
    """When."""

    at_s: Figure
    for_s: Figure = 0.0


class Crash(FaultBase, frozen=True, tag="crash"):
    """Processes die; they come back cold after `for_s` (0: never), or are replaced under new names."""

    whom: Whom = Whom(share=0.2)
    replaced: bool = False


class Slow(FaultBase, frozen=True, tag="slow"):
    """Nodes run `size` times slower."""

    whom: Whom = Whom(share=0.2)
    size: Figure = (3.4, 9.8)


class Silent(FaultBase, frozen=True, tag="silent"):
    """Nodes take nothing and say nothing: open connections stay, new ones never come up."""

    whom: Whom = Whom(share=0.2)


class Drain(FaultBase, frozen=True, tag="drain"):
    """Nodes are told to drain, end what they hold, are gone `gone_s` later and back cold after `for_s`."""

    whom: Whom = Whom(share=0.2)
    gone_s: float = 3.0


class Rolling(FaultBase, frozen=True, tag="rolling"):
    """Nodes drain and restart one after the other, `every_s` apart, each down for `down_s`."""

    whom: Whom = Whom(all=True)
    every_s: float = 4.0
    gone_s: float = 2.0
    down_s: float = 1.0


class Errors(FaultBase, frozen=True, tag="errors"):
    """A share of answers is a 500, after the work or instead of it."""

    whom: Whom = Whom(all=True)
    size: Figure = 0.1
    ran: float = 0.5  # share of them that has run


class Resets(FaultBase, frozen=True, tag="resets"):
    """A share of attempts ends in a reset, before (`ran` = 0) or after the work."""

    whom: Whom = Whom(all=True)
    size: Figure = 0.1
    ran: float = 0.5


class Spoilt(FaultBase, frozen=True, tag="spoilt"):
    """A share of answers is spoilt: noise, a wrong length, cut short, never ending. They have run."""

    whom: Whom = Whom(all=True)
    size: Figure = 0.05


class Cut(FaultBase, frozen=True, tag="cut"):
    """A zone is cut off from the others: silence both ways, and what is open stays open."""

    zone: str = ""  # empty: drawn


class Delay(FaultBase, frozen=True, tag="delay"):
    """The way between zones (or within, too) takes `added_ms` longer."""

    added_ms: Figure = 50.0
    within: bool = False


class Loss(FaultBase, frozen=True, tag="loss"):
    """A share of messages is lost and sent again."""

    size: Figure = 0.02


class Burst(FaultBase, frozen=True, tag="burst"):
    """`size` times the load, with a rise and a fall."""

    size: Figure = (1.4, 2.5)
    rise_s: float = 1.0


class HeavyTail(FaultBase, frozen=True, tag="heavy_tail"):
    """A share of one class takes `size` times its work."""

    share: Figure = (0.0065, 0.022)
    size: Figure = (5.6, 29)
    cls: str = ""  # empty: drawn


class DiscoveryFault(FaultBase, frozen=True, tag="discovery"):
    """Discovery is silent, late by `size` seconds, tells garbage, tells an empty list, or moves (reload)."""

    how: Literal["silent", "late", "garbled", "empty", "moves"] = "silent"
    size: Figure = 3.0


class Kill(FaultBase, frozen=True, tag="kill"):
    """Sidecars are killed outright and started again `for_s` later."""

    whom: Whom = Whom(count=1)


class Stall(FaultBase, frozen=True, tag="stall"):
    """Sidecars get no CPU for `for_s`."""

    whom: Whom = Whom(count=1)


class Restart(FaultBase, frozen=True, tag="restart"):
    """Sidecars are told to stop (SIGTERM) and started again once they have ended, `every_s` apart."""

    whom: Whom = Whom(count=1)
    every_s: float = 0.0


AnyFault = (Crash | Slow | Silent | Drain | Rolling | Errors | Resets | Spoilt | Cut | Delay | Loss | Burst
            | HeavyTail | DiscoveryFault | Kill | Stall | Restart)


class Expect(Strict, frozen=True):
    """What must hold at the end beside the rules; 0 or empty: not asked."""

    service: float = 0.0
    worst_10s: float = 0.0
    worst_class: float = 0.0
    recovery_s: float = 0.0  # the longest time to recover after any fault
    attempts: float = 0.0  # the most attempts an operation, on average
    crossings: float = 0.0  # the most first tries that leave their zone, as a share
    p99_ms: dict[str, float] = field(default_factory=dict)  # by class


class Scenario(Strict, frozen=True):
    """A day."""

    title: str
    about: str = ""
    length_s: float = 20.0
    settle_s: float = 1.0  # of the start that does not count
    tail_s: float = 8.0  # how long after the last arrival it runs on at most
    fleet: Fleet = Fleet()
    classes: tuple[Class, ...] = field(default_factory=_classes)
    load: Load = Load()
    network: Network = Network()
    discovery: DiscoveryService = DiscoveryService()
    rules: Rules = Rules()
    limits: Limits = Limits()
    faults: tuple[AnyFault, ...] = ()
    expect: Expect = Expect()
