"""Draws schedules: days made to hurt, each a scenario like any other. Pure: same arguments, same schedule.

Faults overlap on purpose. Most begin within another, many in the moment in which another ends, some in the
same instant. Kinds of faults and figures of the network, the load and discovery are read from the schema:
whatever it gains is drawn too, by its bounds, until the tables below know better. What the base sets itself
stays as it is, its faults among it, pressed into the schedule's time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping
from typing import Annotated, Any, Literal, get_args, get_origin

import msgspec
from msgspec import NODEFAULT, Struct

from coveport.testbed.drawing import draw
from coveport.testbed.faults import OF_SIDECARS, OF_STAFF, AnyFault, Restart, Whom
from coveport.testbed.random_streams import stream
from coveport.testbed.scenario import Scenario
from coveport.testbed.scenario_file import ScenarioError, first_inconsistency, parse
from coveport.testbed.schema import Expect
from coveport.testbed.search.aftermath import troubles_of
from coveport.testbed.search.files import fields, laid, sparse, to_toml
from coveport.testbed.tables import Bounds

KINDS: tuple[type[Any], ...] = tuple(one for one in get_args(AnyFault) if one not in OF_STAFF)
MOST_FAULTS = 5
MOST_WISHES = 4000  # of a schedule; a larger one has its load cut down, so that a run takes seconds
FIRST_S, LAST_S = (1.5, 5.0), 14.0  # when the first fault begins, and when drawn ones have ended
QUIET_S = (8.0, 12.0)  # after the last fault's end
SHORTEST_S = 12.0
RESTED_S = 8.0  # at the very end, in which whatever is left over should go: idle connections, keys, timers
OWN_LENGTH = ("rolling", "restart")  # kinds that take no `for_s`
TRIES = 20  # to draw a fault that makes sense

Draw = Callable[[random.Random], Any]


# What is drawn how.


def _even(low: float, high: float) -> Draw:
    return lambda rng: _rounded(rng.uniform(low, high))


def _log(low: float, high: float) -> Draw:
    """As often between 1 and 2 as between 10 and 20."""
    return lambda rng: _rounded(math.exp(rng.uniform(math.log(low), math.log(high))))


def _whole(low: float, high: float) -> Draw:
    return lambda rng: round(math.exp(rng.uniform(math.log(low), math.log(high))))


def _of(*values: Any) -> Draw:
    return lambda rng: rng.choice(values)


def _rounded(number: float) -> float:
    return float(f"{number:.3g}")


FAULTS: dict[tuple[str, str], Draw] = {
    ("crash", "replaced"): _of(False, False, False, True),
    ("slow", "size"): _log(1.2, 12),
    ("errors", "size"): _log(0.01, 1),
    ("resets", "size"): _log(0.01, 1),
    ("spoilt", "size"): _log(0.01, 1),
    ("loss", "size"): _log(0.005, 0.6),
    ("drain", "gone_s"): _of(0.0, 0.1, 0.5, 1.0, 3.0, 5.0),
    ("rolling", "every_s"): _log(0.1, 2),
    ("rolling", "gone_s"): _even(0, 2),
    ("rolling", "down_s"): _log(0.1, 2),
    ("restart", "every_s"): _of(0.0, 0.0, 0.3, 1.5),
    ("delay", "added_ms"): _log(2, 2000),
    ("burst", "size"): _log(0.2, 6),
    ("burst", "rise_s"): _of(0.0, 0.3, 2.0),
    ("heavy_tail", "share"): _log(0.005, 0.1),
    ("heavy_tail", "size"): _log(3, 30),
    ("discovery", "size"): _log(0.3, 10),
    ("starve", "size"): _log(0.02, 0.9),
    ("clock", "size"): _of(-3600, -60, -1, -0.05, 0.05, 1, 60, 3600),
    ("descriptors", "size"): _whole(40, 300),
    ("slow_reader", "size"): _log(0.05, 10),
    ("slow_reader", "share"): _log(0.01, 1),
}
"""By kind and key; what is not there is drawn by its type and bounds."""

SETTINGS: dict[str, tuple[float, Draw]] = {
    "load.level": (0.9, _even(0.2, 1.2)),
    "fleet.sidecars": (0.9, lambda rng: 40 if rng.random() < 0.03 else rng.randint(1, 8)),
    "fleet.nodes": (0.7, _whole(1, 16)),
    "fleet.zones": (0.2, _of(["one"], ["one", "two"])),
    "fleet.cell_size": (0.2, _whole(1, 8)),
    "fleet.connections": (0.08, _whole(16, 300)),
    "fleet.idle_s": (0.15, _log(0.2, 5)),
    "fleet.closes_behind": (0.1, _log(0.02, 1)),
    "fleet.handshake_trips": (0.1, _even(0, 6)),
    "fleet.jam.at": (0.06, _log(2, 20)),
    "classes.1.window_ms": (0.35, _log(150, 6000)),
    "classes.1.scope": (0.2, _of("all", "zone", "cell")),
    "load.shape": (0.1, _of("wave")),
    "load.skew": (0.1, _even(0, 1)),
    "load.spread": (0.2, _even(0, 2)),
    "load.retries.most": (0.3, _of(0, 1, 3, 6)),
    "load.retries.backoff_ms": (0.2, _log(1, 1000)),
    "load.retries.honour": (0.1, _of(0, 1)),
    "load.retries.growing": (0.1, _of(False)),
    "load.retries.try_share": (0.1, _log(0.1, 1)),
    "load.impatient": (0.15, _log(0.01, 1)),
    "load.ask_once": (0.15, _log(0.01, 1)),
    "load.connections": (0.2, _whole(1, 64)),
    "network.same_ms": (0.05, _log(0.02, 20)),
    "network.cross_ms": (0.2, _log(0.1, 150)),
    "network.client_ms": (0.05, _log(0.005, 5)),
    "network.jitter": (0.2, _even(0, 3)),
    "network.loss": (0.12, _log(0.001, 0.2)),
    "network.loss_ms": (0.1, _log(10, 1000)),
    "discovery.known": (0.35, _of("old", "none")),
    "discovery.notice_s": (0.2, _log(0.02, 6)),
    "discovery.add_s": (0.2, _log(0.02, 4)),
    "discovery.spread_ms": (0.2, _log(1, 3000)),
    "discovery.extra": (0.04, _whole(1, 2000)),
    "rules.second_copies": (0.25, _of(False)),
    "rules.retry_after": (0.15, _of(False)),
    "rules.probes": (0.15, _of(False)),
    "rules.most_tries": (0.15, _whole(1, 6)),
    "rules.connect_timeout_ms": (0.1, _log(30, 1000)),
    "limits.descriptors": (0.12, _whole(40, 512)),
    "network.split": (0.15, _log(0.01, 1)),
    "network.merge": (0.1, _log(0.01, 1)),
    "network.window": (0.08, _whole(512, 65536)),
    "network.reset_mid": (0.08, _log(0.0003, 0.03)),
    "network.end_mid": (0.08, _log(0.0003, 0.03)),
    "network.late_connect": (0.1, _log(0.01, 0.5)),
    "network.backlog": (0.08, _whole(1, 64)),
    "network.accept_ms": (0.08, _log(0.05, 50)),
    "network.read_chunk": (0.08, _whole(1, 4096)),
}
"""By place in the file: how often it is drawn, and how. What the schema does not have is not drawn."""

MACHINES: tuple[tuple[float, dict[str, Draw]], ...] = (
    (0.15, {"cancel": _of("none", "all")}),
    (0.1, {"drops_expired": _of(True)}),
    (0.1, {"waiting": _whole(1, 30)}),
    (0.1, {"cores": _of(2, 4)}),
    (0.1, {"error_rate": _log(0.001, 0.2)}),
    (0.1, {"pause_ms": _log(10, 800)}),
    (0.1, {"cold_from": _of(0.36, 0.45), "warm_s": _log(0.1, 8.6)}),
)
"""Changes of all kinds of machines, and how often."""

OPEN_SECTIONS = ("network", "load", "discovery")
NEW_SHARE = 0.12  # of schedules that draw a figure of these sections that no table knows
LEFT = (
    "load.rate",
    "load.curve",
    "load.wave_s",
    "load.swing",  # `load.level` says it all
    "load.half_close",
)  # known: an end of the client's sending is taken as the client gone


def draw_schedule(base: Scenario, seed: int, run: int) -> Scenario:
    """The schedule of number `run` from `seed`, with the seed of its day in it; always a valid scenario."""
    rng = stream(seed, "schedule", run)
    sets = [f"seed={rng.randrange(1, 1_000_000)}"]
    sets += [f"{place}={_spelt(value)}" for place, value in _settings(base, rng).items()]
    plain = msgspec.structs.replace(
        base,
        title=f"{base.title}, schedule {run} of seed {seed}",
        about="",
        length_s=SHORTEST_S + LAST_S,
        expect=Expect(),
        faults=(),
    )
    day = _sensible(plain, sets)
    faults = [_pressed(fault, base.length_s) for fault in base.faults]
    for _ in range(rng.randint(1, MOST_FAULTS)):
        fault = _fault(day, faults, rng)
        if fault is not None:
            faults.append(fault)
    day = msgspec.structs.replace(day, faults=tuple(faults))
    ends = max([LAST_S / 2, *(end for _, end in spans_s(day))])
    day = msgspec.structs.replace(
        day, length_s=math.ceil(2 * max(SHORTEST_S, ends + rng.uniform(*QUIET_S))) / 2
    )
    if getattr(day, "quiet_s", RESTED_S) < RESTED_S:
        day = msgspec.structs.replace(day, quiet_s=RESTED_S)
    return _with_connections(_affordable(parse(to_toml(day), "schedule")))


def spans_s(day: Scenario) -> list[tuple[float, float]]:
    """When each fault begins and ends by the day's own seed, in s (see `troubles_of`); restarts whole."""
    # A sidecar told to stop ends once its clients have had their answers.
    ending = max(one.deadline_ms for one in day.classes)
    return [
        (one.begin / 1000, (one.end + (ending if isinstance(one.fault, Restart) else 0.0)) / 1000)
        for one in troubles_of(day, day.seed)
    ]


# Figures.


def _settings(base: Scenario, rng: random.Random) -> dict[str, Any]:
    own, drawn = sparse(base), {}
    for place, (share, how) in SETTINGS.items():
        wanted, value = rng.random() < share, how(rng)
        if wanted and not _there(own, place) and _known(base, place):
            drawn[place] = value
    for section in OPEN_SECTIONS:
        for one in fields(type(getattr(base, section))):
            place = f"{section}.{one.name}"
            if any(known == place or known.startswith(f"{place}.") for known in (*SETTINGS, *LEFT)):
                continue
            wanted, value = rng.random() < NEW_SHARE, _by_type(one, rng)
            if wanted and value is not None and not _there(own, place):
                drawn[place] = value
    if not _there(own, "fleet.kinds"):
        for share, figures in MACHINES:
            values = {key: how(rng) for key, how in figures.items()}
            if rng.random() < share:
                for number in range(len(base.fleet.kinds)):
                    drawn |= {f"fleet.kinds.{number}.{key}": value for key, value in values.items()}
    return drawn


def _there(own: Mapping[str, Any], place: str) -> bool:
    """Whether the base says anything of a place."""
    here: Any = own
    for part in place.split("."):
        if isinstance(here, list):
            return True
        if part not in here:
            return False
        here = here[part]
    return True


def _known(base: Scenario, place: str) -> bool:
    """Whether the schema has such a place."""
    here: Any = base
    for part in place.split("."):
        if isinstance(here, tuple):
            if int(part) >= len(here):
                return False
            here = here[int(part)]
        elif not hasattr(here, part):
            return False
        else:
            here = getattr(here, part)
    return True


def _spelt(value: Any) -> str:
    """As TOML has it."""
    if isinstance(value, list):
        return f"[{', '.join(map(_spelt, value))}]"
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)


def _sensible(plain: Scenario, sets: list[str]) -> Scenario:
    """All figures that make sense beside each other; one that does not is left out."""
    try:
        return laid(plain, sets)
    except ScenarioError:
        day = plain
        for one in sets:
            try:
                day = laid(day, [one])
            except ScenarioError:
                continue
        return day


def _by_type(one: msgspec.structs.FieldInfo, rng: random.Random) -> Any:
    """A value for a key that no table knows; None where nothing can be told of it."""
    kind, bounds = one.type, Bounds(-math.inf)
    if get_origin(kind) is Annotated:
        rules = [rule for rule in kind.__metadata__ if isinstance(rule, Bounds)]
        kind, bounds = kind.__origin__, (rules or [bounds])[0]
    if get_origin(kind) is Literal:
        return rng.choice(get_args(kind))
    if kind is bool:
        return rng.random() < 0.5
    if kind is not int and kind is not float and float not in get_args(kind):
        return None
    if (bounds.low, bounds.high) == (0, 1):
        return min(1.0, _log(0.01, 1.2)(rng))
    default = one.default if one.default is not NODEFAULT else 1.0
    low, high = default if isinstance(default, tuple) else (default, default)
    if low <= 0 < high or low == high == 0:
        value = _even(max(bounds.low, 5 * low), min(bounds.high, 5 * high or 1.0))(rng)
    else:
        value = _log(max(bounds.low, low / 5), min(bounds.high, 5 * high))(rng)
    return round(value) if kind is int else min(max(value, bounds.low), bounds.high)


# Faults.


def _fault(day: Scenario, before: list[Any], rng: random.Random) -> Any:
    """One more fault that makes sense on that day, placed by those before it; None where none was found."""
    for _ in range(TRIES):
        kind = rng.choice(KINDS)
        begin, length = _placed(day, before, rng)
        table = _drawn(kind, day, rng) | {"at_s": begin, "for_s": length}
        if kind.__struct_config__.tag in OWN_LENGTH or table.get("how") == "moves":
            del table["for_s"]
        elif kind.__struct_config__.tag in ("crash", "drain") and rng.random() < 0.15:
            table["for_s"] = 0.0  # they never come back
        try:
            fault = msgspec.convert(table, kind)
        except msgspec.ValidationError:
            continue
        tried = msgspec.structs.replace(day, faults=(*before, fault))
        if not first_inconsistency(tried) and spans_s(tried)[-1][1] <= LAST_S + 6:
            return fault
    return None


def _drawn(kind: type[Struct], day: Scenario, rng: random.Random) -> dict[str, Any]:
    """A fault's own figures, as a table."""
    config = kind.__struct_config__
    table: dict[str, Any] = {str(config.tag_field): config.tag}
    for one in fields(kind):
        how = FAULTS.get((str(config.tag), one.name))
        if one.name in ("at_s", "for_s"):
            continue
        if one.type is Whom:
            table[one.name] = _whom(day, kind in OF_SIDECARS, rng)
        elif (value := how(rng) if how else _by_type(one, rng)) is not None:
            table[one.name] = value
    return table


def _whom(day: Scenario, sidecars: bool, rng: random.Random) -> dict[str, Any]:
    total = day.fleet.sidecars if sidecars else day.fleet.nodes
    how = rng.choice(("one", "count", "share", "zone", "zone", "all"))
    if how == "one":
        return {"count": 1}
    if how == "count":
        return {"count": rng.randint(1, total)}
    if how == "share":
        return {"share": _rounded(rng.uniform(0.05, 1.0))}
    if how == "zone":
        return {"zone": rng.choice(day.fleet.zones), **rng.choice(({}, {"share": 0.5}, {"count": 1}))}
    return {"all": True}


def _placed(day: Scenario, before: list[Any], rng: random.Random) -> tuple[float, float]:
    """(begin, length) in s: somewhere by a fault that is there already."""
    length = min(_log(0.05, 8)(rng), LAST_S - FIRST_S[1])
    if not before:
        return _rounded(rng.uniform(*FIRST_S)), length
    begin, end = rng.choice(spans_s(msgspec.structs.replace(day, faults=tuple(before))))
    at = {
        "within": rng.uniform(begin, end),
        "at its end": end,
        "just before": end - rng.uniform(0, 0.3),
        "just after": end + rng.uniform(0, 0.3),
        "at once": begin,
        "when it is noticed": begin + rng.uniform(0.5, 6),
        "when it is told": end + rng.uniform(0.3, 4),
    }[
        rng.choice(
            (
                "within",
                "within",
                "within",
                "at its end",
                "just before",
                "just after",
                "at once",
                "when it is noticed",
                "when it is told",
            )
        )
    ]
    at = min(max(_hundredths(at), 0.0), LAST_S - 0.5)
    return at, min(length, _hundredths(max(LAST_S - at, 0.05)))


def _hundredths(seconds: float) -> float:
    return round(seconds, 2)


def _pressed(fault: Any, length_s: float) -> Any:
    """A fault of the base with its times pressed into those of a schedule."""
    factor = min(1.0, LAST_S / length_s)

    def pressed(figure: Any) -> Any:
        return (
            tuple(_rounded(one * factor) for one in figure)
            if isinstance(figure, tuple)
            else _rounded(figure * factor)
        )

    return msgspec.structs.replace(
        fault,
        **{
            name: pressed(getattr(fault, name))
            for name in ("at_s", "for_s", "every_s", "gone_s", "down_s")
            if hasattr(fault, name)
        },
    )


def _affordable(day: Scenario) -> Scenario:
    """The same with less load where it would take long to play."""
    for _ in range(4):
        try:
            count = len(draw(day, day.seed).wishes)
        except ValueError:
            count = 50 * MOST_WISHES
        if count <= MOST_WISHES:
            break
        level = max(day.load.level) if isinstance(day.load.level, tuple) else day.load.level
        day = msgspec.structs.replace(
            day,
            load=msgspec.structs.replace(
                day.load, rate=0.0, level=_rounded(level * MOST_WISHES / count * 0.9)
            ),
        )
    return day


def _with_connections(day: Scenario) -> Scenario:
    """The same with connections enough for tills to ask what they want to, were there no faults.

    A till that has too few waits by itself: what is late then is late before any sidecar hears of it.
    """
    calm = draw(msgspec.structs.replace(day, faults=()), day.seed)
    asked = [0.0] * len(calm.sidecars)
    for wish in calm.wishes:
        asked[wish.sidecar] += wish.work_ms
    speed = calm.capacity / sum(node.cores for node in calm.nodes if node.born)
    out = max(asked) / speed / (day.length_s * 1000)  # at once, on average, from the busiest sidecar
    return msgspec.structs.replace(
        day,
        load=msgspec.structs.replace(day.load, connections=max(day.load.connections, math.ceil(2 * out) + 1)),
    )
