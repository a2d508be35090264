"""The tables of a scenario: machines, load, network, rules and limits, each figure with its bounds."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Struct, field

from coveport.testbed.tables import Bounds, Figure, Spelt

POSITIVE, POSSIBLE, PART = Bounds(0, above=True), Bounds(0), Bounds(0, 1)
Above0 = Annotated[float, POSITIVE]
From0 = Annotated[float, POSSIBLE]
Share = Annotated[float, PART]
FigureAbove0 = Annotated[Figure, POSITIVE]
FigureFrom0 = Annotated[Figure, POSSIBLE]
FigureShare = Annotated[Figure, PART]
FigurePart = Annotated[Figure, Bounds(0, 1, above=True)]
FigureLoss = Annotated[Figure, Bounds(0, 0.9)]  # were all lost, a message would be sent again for ever
FigureBytes = Annotated[Figure, Bounds(1, 32 << 20)]  # a body holds 32 MiB at most
FigureWindow = Annotated[Figure, Bounds(512, 1 << 24)]  # a head fits into one
FigureClock = Annotated[Figure, Bounds(-86_400, 86_400)]
FigureDescriptors = Annotated[Figure, Bounds(4, 1_000_000)]
Title = Annotated[str, Spelt(r"[^\n]*\S[^\n]*", "a text of one line")]
Name = Annotated[str, Spelt(r"[\w.-]{1,40}", "up to 40 letters, digits, dots, dashes and underscores")]
ClassName = Annotated[
    str,
    Spelt(
        # It is a path's first part, and /ping is a probe.
        r"(?!ping\Z)[a-z][a-z0-9_-]{0,39}",
        "a small letter, then small letters, digits, dashes and underscores",
    ),
]


class Strict(Struct, forbid_unknown_fields=True, frozen=True):
    """A table in which an unknown key is a mistake."""


class Kind(Strict, frozen=True):
    """A kind of machine among the ledger nodes."""

    name: Name
    share: From0 = 1.0  # of the nodes; the shares of all kinds need not add up to one
    cores: Annotated[int, Bounds(1, 1024)] = 1
    speed: FigureAbove0 = 1.0  # work done by a core in a ms, in ms of standard work
    slots: FigureAbove0 = (2, 6)  # operations in work at once, per core
    waiting: FigureFrom0 = (26, 57)  # room for those that wait, per core; beyond it: turned away
    crowd_at: FigureFrom0 = (6.1, 14)  # operations held per core above which it gets less efficient
    crowd_cost: FigureFrom0 = (0.035, 0.13)  # how much slower for each further one, as a share
    cold_from: FigurePart = (0.36, 0.56)  # share of its capacity when just started
    warm_s: FigureFrom0 = (3.1, 8.6)  # until it has all of it, evenly
    pause_every_s: FigureAbove0 = (2, 12)  # stops of the whole process (a collector's, say)
    pause_ms: FigureFrom0 = (0, 66)
    error_rate: FigureShare = (0, 0.001)
    cancel: Literal["none", "waiting", "all"] = "waiting"  # what a closed connection stops
    drops_expired: bool = False  # whether work past its X-Deadline is dropped unrun


def _kinds() -> tuple[Kind, ...]:
    return (
        Kind(name="full-core", share=0.63, speed=(0.85, 1.1)),
        Kind(
            name="slow-core",
            share=0.37,
            speed=(0.51, 0.69),
            waiting=(17, 39),
            crowd_cost=(0.049, 0.14),
            cold_from=(0.36, 0.58),
            warm_s=(3.8, 8.2),
            error_rate=(0, 0.002),
        ),
    )


class Jam(Strict, frozen=True):
    """A node that is far behind turns slower and stays so (a state that keeps itself up)."""

    at: From0 = 0.0  # waiting per core that begins it; 0: never
    over_s: From0 = 2.0  # for so long
    slower: Annotated[float, Bounds(1)] = 2.6  # times
    below: Share = 0.3  # busy share under which it rests ...
    rest_s: From0 = 3.0  # ... for so long until it recovers,
    most_s: From0 = 27.0  # or after this in any case


class Fleet(Strict, frozen=True):
    """Who is there."""

    sidecars: Annotated[int, Bounds(1, 1000)] = 6
    nodes: Annotated[int, Bounds(1, 5000)] = 10
    zones: tuple[Name, ...] = ("bilbao", "oviedo", "pamplona")
    cell_size: Annotated[int, Bounds(1)] = 4  # nodes of one zone that remember keys together
    kinds: tuple[Kind, ...] = field(default_factory=_kinds)
    jam: Jam = Jam()
    connections: FigureAbove0 = (600, 900)  # a node takes, per core
    handshake_ms: FigureFrom0 = (0.72, 1.5)  # work of a node for a new connection
    handshake_trips: FigureFrom0 = (1, 3)  # round trips before its first operation arrives
    idle_s: FigureAbove0 = 5.0  # a node closes a connection that rests so long
    closes_behind: Share = 0.0  # share of answers right behind which the node closes without a word
    probe_ms: FigureFrom0 = (0.22, 0.45)  # work of a probe
    report_every_ms: FigureAbove0 = (330, 850)  # how often the load report is made anew
    report_late_ms: FigureFrom0 = (68, 470)  # how old it is when it is made
    report_noise: FigureFrom0 = (0.0068, 0.066)


class Class(Strict, frozen=True):
    """A class of operations."""

    name: ClassName
    share: From0
    work_ms: FigureAbove0
    repeats: Literal["safe", "keyed", "never"]
    aim_ms: Above0
    deadline_ms: Above0  # what a client waits in all, over its tries
    worth: From0 = 1.0
    scope: Literal["all", "zone", "cell"] = "cell"  # keyed: who drops a repeat
    window_ms: From0 = 6000.0  # keyed: for how long
    dist: Literal["fixed", "exp", "lognormal"] = "exp"  # of the work around its mean
    cv: FigureFrom0 = 1.0  # lognormal: its coefficient of variation
    attempt_noise: FigureFrom0 = 0.1  # how much the work of two attempts of one operation differs
    body: FigureBytes = (80, 400)  # bytes a till sends (none where it is safe)
    answer: FigureBytes = (100, 900)  # bytes a node answers


def default_classes() -> tuple[Class, ...]:
    """The ledger's three."""
    return (
        Class(name="balance", share=0.45, work_ms=(46, 83), repeats="safe", aim_ms=1000, deadline_ms=4000),
        Class(
            name="earn",
            share=0.28,
            work_ms=(87, 160),
            repeats="keyed",
            aim_ms=1200,
            deadline_ms=3000,
            worth=5,
            dist="lognormal",
            cv=(0.7, 1.4),
        ),
        Class(
            name="redeem",
            share=0.27,
            work_ms=(110, 190),
            repeats="never",
            aim_ms=2500,
            deadline_ms=6000,
            worth=3,
            dist="lognormal",
            cv=(0.78, 1.4),
        ),
    )


class Retries(Strict, frozen=True):
    """What tills do by themselves after a busy reply, or any failure where a repeat is safe."""

    # Mean number a wish; 1.5: half of the wishes may twice.
    most: Annotated[Figure, Bounds(0, 100)] = (0, 1.5)
    backoff_ms: FigureFrom0 = (48, 380)
    growing: bool = True  # doubled at each further one
    honour: Share = 0.9  # share of Retry-After that is kept
    # Of the deadline that is left, after which a try is given up; drawn for each wish.
    try_share: FigurePart = (0.7, 1.0)


class Load(Strict, frozen=True):
    """What the tills ask. Arrivals are drawn ahead and never wait for answers."""

    rate: FigureFrom0 = 0.0  # operations a second over all sidecars; 0: from `level`
    level: FigureAbove0 = (0.22, 0.48)  # where no rate is given: part of what the warm fleet can do
    shape: Literal["steady", "wave", "curve"] = "steady"
    swing: FigureShare = (0.053, 0.19)  # wave: how far up and down
    wave_s: Above0 = 20.0
    curve: tuple[tuple[float, float], ...] = ()  # curve: (second, times the rate), straight between
    skew: FigureShare = (0.15, 0.45)  # how unlike the zones are in what they ask
    spread: FigureFrom0 = (0.3, 0.8)  # how unlike the sidecars are (coefficient of variation)
    retries: Retries = Retries()
    impatient: Share = 0.0  # share of wishes given up at a random moment before their time
    ask_once: Share = 0.0  # share of connections on which a till asks once and stays
    half_close: Share = 0.0  # share of wishes after which a till ends its sending, and yet waits
    connections: Annotated[int, Bounds(1, 60_000)] = 64  # the most a sidecar's tills hold at once


class Network(Strict, frozen=True):
    """What lies between; one way, in ms."""

    same_ms: FigureFrom0 = (0.19, 0.34)  # within a zone
    cross_ms: FigureFrom0 = (5.6, 10)  # between two
    client_ms: FigureFrom0 = (0.03, 0.09)  # till to its sidecar
    jitter: FigureFrom0 = (0.05, 0.35)  # as a share of the way's own time
    loss: Annotated[float, Bounds(0, 0.9)] = 0.0  # share of messages delayed by a retransmission
    loss_ms: From0 = 200.0  # which takes this

    # Harsher, on simulated ground only; off where nothing is said.
    split: Share = 0.0  # share of messages that come in up to four segments, cut at drawn bytes ...
    split_ms: FigureFrom0 = (0, 3)  # ... the last of them so much later
    merge: Share = 0.0  # share of messages that wait (Nagle against delayed acknowledgements) ...
    merge_ms: FigureFrom0 = (5, 40)  # ... so long, or for the next one, and come together with it
    # Bytes of one direction sent and not read; a range is drawn for each connection, all magnitudes alike.
    window: FigureWindow = 262_144
    # Between sidecars and nodes or discovery; tills sit beside their sidecar.
    reset_mid: Share = 0.0  # share of messages at a drawn byte of which the network resets the connection
    end_mid: Share = 0.0  # the same with an end in both directions
    late_connect: Share = 0.0  # share of connects that come up late ...
    late_connect_ms: FigureAbove0 = (100, 3000)  # ... by this, all magnitudes alike
    backlog: Annotated[int, Bounds(0, 65_536)] = 0  # connections that may wait to be accepted; 0: any number
    accept_ms: FigureFrom0 = 0.0  # from one accept to the next, drawn for each party
    read_chunk: Annotated[int, Bounds(0, 1 << 20)] = 0  # bytes that a sidecar reads at once; 0: all there are


class DiscoveryService(Strict, frozen=True):
    """How the list of nodes is told."""

    notice_s: FigureFrom0 = (1.3, 5.5)  # until a death is seen
    add_s: FigureFrom0 = (0.56, 3.7)  # until a start is seen
    spread_ms: FigureFrom0 = (35, 120)  # between the sidecars' hearing of it
    known: Literal["fresh", "old", "none"] = "fresh"  # the list that a sidecar is started with
    asked: bool = False  # changes come only to those who ask, and who asks is told when that fails
    # Further entries in the list that no sidecar's zone uses (lists of thousands).
    extra: Annotated[int, Bounds(0, 100_000)] = 0


class Rules(Strict, frozen=True):
    """The figures of the rules, and what the platform allows."""

    answer_slack_ms: From0 = 20.0
    drain_grace_ms: From0 = 750.0
    cold_from: Annotated[float, Bounds(0, 1, above=True)] = 0.36
    warm_after_ms: From0 = 8600.0
    overload_factor: Above0 = 4.0
    fall_ms: Above0 = 2000.0
    most_tries: Annotated[int, Bounds(1, 1000)] = 3
    second_copies: bool = True
    retry_after: bool = True
    max_retry_after_ms: From0 = 2000.0
    probes: bool = True
    connect_timeout_ms: Above0 = 250.0


class Limits(Strict, frozen=True):
    """What a sidecar's process may use."""

    memory_mb: Above0 = 64.0
    descriptors: Annotated[int, Bounds(16, 1_000_000)] = 512


class Expect(Strict, frozen=True):
    """What must hold at the end beside the rules; 0 or empty: not asked."""

    service: Share = 0.0
    worst_10s: Share = 0.0
    worst_class: Share = 0.0
    recovery_s: From0 = 0.0  # the longest time to recover after any fault
    attempts: From0 = 0.0  # the most attempts an operation, on average
    crossings: Share = 0.0  # the most first tries that leave their zone, as a share
    p99_ms: dict[str, Above0] = field(default_factory=dict)  # by class
