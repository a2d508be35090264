"""What a scenario file may say: the schema of a day, and the reading of it. Checked before anything starts.

A figure written as `[low, high]` is drawn anew for each seed (and for each node where it is a node's), evenly
between the two; a plain number is taken as it is. Defaults are the figures of the ledger's deployment.
"""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Annotated, Any, Literal, Protocol

from msgspec import Struct, field

from coveport.lab.tables import Bounds, Place, Spelt, Tables, TablesError, one_of, shown
from coveport.lab.tables import Figure as Figure

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
ClassName = Annotated[str, Spelt(
    # It is a path's first part, and /ping is a probe.
    r"(?!ping\Z)[a-z][a-z0-9_-]{0,39}", "a small letter, then small letters, digits, dashes and underscores")]


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
    return (Kind(name="full-core", share=0.63, speed=(0.85, 1.1)),
            Kind(name="slow-core", share=0.37, speed=(0.51, 0.69), waiting=(17, 39),
                 crowd_cost=(0.049, 0.14), cold_from=(0.36, 0.58), warm_s=(3.8, 8.2), error_rate=(0, 0.002)))


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


# Faults. `at_s` and `for_s` place each in the day; `whom` picks nodes, or sidecars for those from `Kill` on.


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


AnyFault = (Crash | Slow | Silent | Drain | Rolling | Errors | Resets | Spoilt | FullQueue | Cut | Delay
            | Loss | Burst | HeavyTail | DiscoveryFault | Kill | Stall | Restart | Clock | Starve
            | Descriptors | SlowReader | Upgrade | Lameduck | Retune | Scrape)


class Expect(Strict, frozen=True):
    """What must hold at the end beside the rules; 0 or empty: not asked."""

    service: Share = 0.0
    worst_10s: Share = 0.0
    worst_class: Share = 0.0
    recovery_s: From0 = 0.0  # the longest time to recover after any fault
    attempts: From0 = 0.0  # the most attempts an operation, on average
    crossings: Share = 0.0  # the most first tries that leave their zone, as a share
    p99_ms: dict[str, Above0] = field(default_factory=dict)  # by class


class Scenario(Strict, frozen=True):
    """A day."""

    title: Title
    about: str = ""
    seed: Annotated[int, Bounds(0, 2**53)] = 1  # played where none is asked for
    length_s: Annotated[float, Bounds(0, 86_400, above=True)] = 20.0
    settle_s: From0 = 1.0  # of the start that does not count
    tail_s: Annotated[float, Bounds(0, 3600)] = 8.0  # how long after the last arrival it runs on at most
    quiet_s: Annotated[float, Bounds(0, 3600)] = 0.0  # after that, until sidecars are told to stop
    fleet: Fleet = Fleet()
    classes: tuple[Class, ...] = field(default_factory=_classes)
    load: Load = Load()
    network: Network = Network()
    discovery: DiscoveryService = DiscoveryService()
    rules: Rules = Rules()
    limits: Limits = Limits()
    faults: tuple[AnyFault, ...] = ()
    expect: Expect = Expect()


# Reading.

# By field; checked in place of what must be there and is not, or is wrong.
STAND_INS: dict[str, Any] = {"title": "?", "name": "x", "share": 1.0, "work_ms": 1.0, "repeats": "safe",
                             "aim_ms": 1.0, "deadline_ms": 1.0, "at_s": 0.0}

OF_STAFF = (Upgrade, Lameduck, Retune, Scrape)
OF_SIDECARS = (Kill, Stall, Restart, Clock, Starve, Descriptors, SlowReader, *OF_STAFF)

SIMULATED_FAULTS = (FullQueue, Clock, Starve, Descriptors, SlowReader, *OF_STAFF)
SIMULATED_FIGURES = ("split", "merge", "window", "reset_mid", "end_mid", "late_connect", "backlog",
                     "accept_ms", "read_chunk")
"""Faults, and figures of the network, that simulated ground alone can do."""


class ScenarioError(Exception):
    """A scenario can't be used; its text is one line: `FILE: KEY: what is wrong; what would be right`."""

    def __init__(self, name: str, text: str) -> None:
        super().__init__(" ".join(f"{name}: {text}".split()))


def load(path: Path, sets: Sequence[str] = ()) -> Scenario:
    """Read and check a file, with `sets` laid over it (see `parse`); ScenarioError in one line."""
    try:
        text = path.read_bytes().decode()
    except OSError as problem:
        raise ScenarioError(str(path), f"file: can't be read, {(problem.strerror or str(problem)).lower()}; "
                                       "the path of a scenario") from problem
    except UnicodeDecodeError as problem:
        raise ScenarioError(str(path), f"byte {problem.start}: not UTF-8; a text in UTF-8") from problem
    return parse(text, str(path), sets)


def parse(text: str, name: str, sets: Sequence[str] = ()) -> Scenario:
    """Read and check a scenario; `name` is what errors call it.

    `sets` are `KEY=VALUE` laid over the file in their order: keys dotted, positions in lists by number
    (`faults.0.size=4`, `faults[0].size=4`; one more than there are adds one), values as in TOML, anything
    else taken as a string. Raises ScenarioError with one line on what is wrong first in the file, sets last.
    """
    try:
        tables = Tables(text, sets, Scenario, STAND_INS)
    except TablesError as problem:
        raise ScenarioError(name, str(problem)) from problem
    _check_day(tables.value, tables.say)
    if problem_text := tables.first():
        raise ScenarioError(name, problem_text)
    return tables.value


def needs_simulation(day: Scenario) -> str:
    """The first key that simulated ground alone can do; empty where there is none."""
    calm = Network()
    for name in SIMULATED_FIGURES:
        if getattr(day.network, name) != getattr(calm, name):
            return f"network.{name}"
    return next((f"faults[{number}].kind" for number, fault in enumerate(day.faults)
                 if isinstance(fault, SIMULATED_FAULTS)), "")


def nonsense(day: Scenario) -> str:
    """What makes no sense first in a scenario that no file was read for; empty where all does."""
    said: list[str] = []
    _check_day(day, lambda place, text, *needs: said.append(f"{'.'.join(map(str, place))}: {text}"))
    return said[0] if said else ""


def portions(shares: Sequence[float], total: int) -> list[int]:
    """Split `total` by shares (their sum above 0): whole parts first, the rest to the largest remainders."""
    exact = [share * total / sum(shares) for share in shares]
    parts = [int(one) for one in exact]
    for position in sorted(range(len(parts)), key=lambda one: parts[one] - exact[one])[:total - sum(parts)]:
        parts[position] += 1
    return parts


# Sense.


class Say(Protocol):
    """Notes that what stands at a place makes no sense beside what stands at others."""

    def __call__(self, place: Place, text: str, *needs: Place) -> None:
        """Note `text`; `needs` are the other places."""


def _check_day(day: Scenario, say: Say) -> None:
    if day.settle_s >= day.length_s:
        say(("settle_s",), f"{day.settle_s:g} s leave nothing of the day; less than its {day.length_s:g} s",
            ("length_s",))
    _check_fleet(day.fleet, say)
    _check_classes(day, say)
    _check_load(day.load, say)
    loss = day.network.loss
    for number, fault in enumerate(day.faults):
        if isinstance(fault, Loss):
            loss += _high(fault.size)
        _check_fault(day, fault, ("faults", number), loss, say)
    for name in day.expect.p99_ms:
        if name not in (names := [one.name for one in day.classes]):
            say(("expect", "p99_ms", name), f"no class {shown(name)}; {one_of(name, names)}", ("classes",))


def _check_list(names: Sequence[str], shares: Sequence[float], place: Place, key: Place, say: Say) -> None:
    """Names are there, each once, and their shares share something out."""
    if not names:
        say(place, "is empty; at least one")
    elif not sum(shares) > 0:
        say((*place, 0, "share"), "all shares are 0; at least one above", place)
    for number, name in enumerate(names):
        if name in names[:number]:
            say((*place, number, *key), f"{shown(name)} is there already; a name of its own",
                *((*place, one, *key) for one in range(number)))


def _check_fleet(fleet: Fleet, say: Say) -> None:
    _check_list(fleet.zones, [1], ("fleet", "zones"), (), say)
    _check_list([one.name for one in fleet.kinds], [one.share for one in fleet.kinds], ("fleet", "kinds"),
                ("name",), say)


def _check_classes(day: Scenario, say: Say) -> None:
    _check_list([one.name for one in day.classes], [one.share for one in day.classes], ("classes",),
                ("name",), say)
    for number, one in enumerate(day.classes):
        place: Place = ("classes", number)
        if one.deadline_ms < one.aim_ms:
            say((*place, "deadline_ms"), f"{one.deadline_ms:g} is before the aim; at least aim_ms = "
                                         f"{one.aim_ms:g}", (*place, "aim_ms"))
        if one.repeats == "keyed" and not one.window_ms > 0:
            say((*place, "window_ms"), "a keyed class remembers its keys for a while; a number above 0",
                (*place, "repeats"))


def _check_load(load: Load, say: Say) -> None:
    place: Place = ("load", "curve")
    if load.shape == "curve" and not load.curve:
        say(place, "is empty; [second, times the rate] at least once, or another shape", ("load", "shape"))
    elif load.curve and load.shape != "curve":
        say(place, f'stands beside shape = "{load.shape}"; shape = "curve"', ("load", "shape"))
    for number, (second, times) in enumerate(load.curve):
        if second < 0 or times < 0:
            say((*place, number), f"{shown([second, times])} is out of bounds; both numbers of at least 0")
        elif number and second <= load.curve[number - 1][0]:
            say((*place, number), f"second {second:g} is not after the one before; seconds in rising order")
    if load.curve and not any(times > 0 for _, times in load.curve):
        say(place, "asks nothing; at least one number above 0")


def _check_fault(day: Scenario, fault: AnyFault, place: Place, loss: float, say: Say) -> None:
    if (latest := _high(fault.at_s)) >= day.length_s:
        say((*place, "at_s"), f"{latest:g} is not within the day; below length_s = {day.length_s:g}",
            ("length_s",))
    whom = getattr(fault, "whom", None)
    if whom is not None:
        _check_whom(day.fleet, whom, (*place, "whom"), isinstance(fault, OF_SIDECARS), say)
    moves = isinstance(fault, DiscoveryFault) and fault.how == "moves"
    if (moves or isinstance(fault, Rolling | Restart | Upgrade)) and fault.for_s != 0:
        say((*place, "for_s"), "has no meaning for this fault; leave it out", (*place, "how"))
    if isinstance(fault, Crash) and fault.replaced and not _low(fault.for_s) > 0:
        say((*place, "for_s"), "a replacement comes some time after the crash; a number above 0")
    if isinstance(fault, Stall) and not _low(fault.for_s) > 0:
        say((*place, "for_s"), "a stall has an end; a number above 0")
    if isinstance(fault, Drain) and fault.for_s != 0 and _low(fault.for_s) <= fault.gone_s:
        say((*place, "for_s"), f"{_low(fault.for_s):g} is over before the nodes are gone; above gone_s = "
                               f"{fault.gone_s:g}, or 0 for never", (*place, "gone_s"))
    if isinstance(fault, Cut):
        if fault.zone:
            _check_zone(day.fleet, fault.zone, (*place, "zone"), say)
        if len(day.fleet.zones) < 2:
            say((*place, "zone"), "there is no other zone to be cut off from; two zones", ("fleet", "zones"))
    if isinstance(fault, HeavyTail) and fault.cls and fault.cls not in (
            names := [one.name for one in day.classes]):
        say((*place, "cls"), f"no class {shown(fault.cls)}; {one_of(fault.cls, names)}", ("classes",))
    if isinstance(fault, Loss) and loss > 0.9:
        say((*place, "size"), f"{loss:g} of all messages lost, all losses together; at most 0.9",
            ("network", "loss"))


def _check_zone(fleet: Fleet, zone: str, place: Place, say: Say) -> None:
    if zone not in fleet.zones:
        say(place, f"no zone {shown(zone)}; {one_of(zone, fleet.zones)}", ("fleet", "zones"))


def _check_whom(fleet: Fleet, whom: Whom, place: Place, sidecars: bool, say: Say) -> None:
    ways = [name for name in ("numbers", "count", "share", "all") if getattr(whom, name)]
    total, party = (fleet.sidecars, "sidecar") if sidecars else (fleet.nodes, "node")
    there: Place = ("fleet", f"{party}s")
    kinds = [one.name for one in fleet.kinds]
    if len(ways) > 1:
        say((*place, ways[1]), f"stands beside {ways[0]}; one of numbers, count, share and all")
    elif not ways and not whom.zone and not whom.kind:
        say(place, "names nobody; one of numbers, count, share and all, or a zone")
    if whom.numbers and (whom.zone or whom.kind):
        say((*place, "numbers"), "stands beside a zone or kind; numbers alone")
    for position, number in enumerate(whom.numbers):
        if not 0 <= number < total:
            say((*place, "numbers", position), f"no {party} {number}; from 0 to {total - 1}", there)
        elif number in whom.numbers[:position]:
            say((*place, "numbers", position), f"{number} is there already; each once")
    most = total
    if whom.zone:
        _check_zone(fleet, whom.zone, (*place, "zone"), say)
        if whom.zone in fleet.zones:
            most = len(range(fleet.zones.index(whom.zone), total, len(fleet.zones)))
            if not most:
                say((*place, "zone"), f"no {party} is in {whom.zone}; another zone or more {party}s",
                    there, ("fleet", "zones"))
    if whom.kind and sidecars:
        say((*place, "kind"), "sidecars are all of one kind; leave it out")
    elif whom.kind and whom.kind not in kinds:
        say((*place, "kind"), f"no kind {shown(whom.kind)}; {one_of(whom.kind, kinds)}", ("fleet", "kinds"))
    elif whom.kind and sum(one.share for one in fleet.kinds) > 0:
        of_kind = portions([one.share for one in fleet.kinds], total)[kinds.index(whom.kind)]
        most = min(most, of_kind)
        if not of_kind:
            say((*place, "kind"), f"no node is of kind {whom.kind}; another kind or more nodes",
                there, ("fleet", "kinds"))
    if most and whom.count > most:
        say((*place, "count"), f"{whom.count} are more than there are; at most {most}", there,
            ("fleet", "zones"), ("fleet", "kinds"))


def _low(figure: Figure) -> float:
    return figure[0] if isinstance(figure, tuple) else figure


def _high(figure: Figure) -> float:
    return figure[1] if isinstance(figure, tuple) else figure
