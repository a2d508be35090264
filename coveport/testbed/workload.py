"""What tills ask on a day: every wish of it, drawn ahead. Pure."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from numpy.typing import NDArray

from coveport.testbed.day import NEVER, Wish
from coveport.testbed.fault_schedule import DrawnFault
from coveport.testbed.faults import Burst, HeavyTail
from coveport.testbed.random_streams import arrays, drawn, ends, stream
from coveport.testbed.scenario import Scenario
from coveport.testbed.schema import Class, Load
from coveport.testbed.tables import Figure

MOST_WISHES = 2_000_000

Floats = NDArray[np.float64]
Ints = NDArray[np.int64]


@dataclass(slots=True)
class _Batch:
    """Wishes drawn together, one array for each figure."""

    due: Floats
    cls: Ints
    sidecar: Ints
    work: Floats
    body: Ints
    answer: Ints
    tries: Ints
    try_share: Floats
    leaves: Floats
    half: NDArray[np.bool_]
    stays: NDArray[np.bool_]
    number: NDArray[np.uint64]  # of the wish over the whole day; its id and key come of it


@dataclass(slots=True)
class _Asking:
    """What is drawn of the load once a day."""

    length: float  # ms
    rate: float  # wishes a ms, before the shape
    swing: float
    phase: float
    most: float  # mean retries
    shares: list[float]  # by sidecar
    means: list[float]  # ms of standard work, by class
    cvs: list[float]


def _asking(scenario: Scenario, seed: int, capacity: float) -> _Asking:
    load, rng = scenario.load, stream(seed, "load")
    rate, level, swing, phase, most, skew, spread = (
        drawn(rng, one)
        for one in (
            load.rate,
            load.level,
            load.swing,
            (0.0, 2 * math.pi),
            load.retries.most,
            load.skew,
            load.spread,
        )
    )
    means, cvs = [], []
    for one in scenario.classes:
        own = stream(seed, "class", one.name)
        means.append(drawn(own, one.work_ms))
        cvs.append(drawn(own, one.cv))
    mix = [one.share for one in scenario.classes]
    mean = sum(share * work for share, work in zip(mix, means, strict=True)) / sum(mix)
    return _Asking(
        scenario.length_s * 1000,
        rate / 1000 or level * capacity / mean,
        swing,
        phase,
        most,
        _sidecar_shares(scenario, seed, skew, spread),
        means,
        cvs,
    )


def _sidecar_shares(scenario: Scenario, seed: int, skew: float, spread: float) -> list[float]:
    """What part of the wishes each sidecar gets.

    Zones ask by the number of their sidecars, times something spaced evenly from 1 - skew to 1 + skew; within
    a zone, lognormal weights have `spread` as coefficient of variation.
    """
    zones, sidecars = len(scenario.fleet.zones), scenario.fleet.sidecars
    factors = [1 + skew * (2 * zone / (zones - 1) - 1) for zone in range(zones)] if zones > 1 else [1.0]
    stream(seed, "zones").shuffle(factors)
    sigma = math.sqrt(math.log1p(spread**2))
    weights = [math.exp(sigma * stream(seed, "weight", number).gauss()) for number in range(sidecars)]
    shares = []
    for number in range(sidecars):
        there = weights[number % zones :: zones]
        shares.append(factors[number % zones] * len(there) * weights[number] / sum(there))
    total = sum(shares)
    # A skew of 1 leaves one zone without wishes; if only that has sidecars, they ask all the same.
    return [share / total if total else 1 / sidecars for share in shares]


def draw_wishes(
    scenario: Scenario, seed: int, capacity: float, drawn_faults: Sequence[DrawnFault]
) -> tuple[Wish, ...]:
    """All wishes in order of time; `capacity` is the fleet's. ValueError for more than MOST_WISHES.

    What a burst adds is drawn by itself, so that the wishes without it stay as they are.
    """
    asking = _asking(scenario, seed, capacity)
    bursts = [one for one in drawn_faults if isinstance(one.fault, Burst)]
    times = np.linspace(0, asking.length, int(min(max(asking.length / 2, 2000), 500_000)) + 1)
    usual = asking.rate * _shape(scenario.load, asking, times)
    more = [(one, usual * (one.size - 1) * _ramp(one, times)) for one in bursts if one.size > 1]
    expected = float(sum(np.trapezoid(one, times) for one in (usual, *(extra for _, extra in more))))
    if expected > MOST_WISHES:
        raise ValueError(
            f"the day would hold some {expected:.3g} wishes, more than {MOST_WISHES:,}; "
            "less load.rate, load.level or length_s"
        )
    batch = _batch(scenario, seed, asking, ("wishes",), 0, times, usual)
    for one in bursts:
        if one.size < 1:
            gone = arrays(seed, "fault", one.number).random(len(batch.due))
            batch = _picked(batch, gone >= (1 - one.size) * _ramp(one, batch.due))
    parts = [
        batch,
        *(
            _batch(scenario, seed, asking, ("fault", one.number), one.number + 1, times, extra)
            for one, extra in more
        ),
    ]
    batch = _Batch(*(np.concatenate([getattr(part, name) for part in parts]) for name in _Batch.__slots__))
    batch = _picked(batch, np.argsort(batch.due, kind="stable"))
    for one in drawn_faults:
        if isinstance(one.fault, HeavyTail):
            there = (batch.cls == one.which) & (batch.due >= one.begin) & (batch.due < one.end)
            heavy = arrays(seed, "fault", one.number).random(int(there.sum())) < one.share
            batch.work[there] *= np.where(heavy, one.size, 1.0)
    # The last two digits are left to the number of a try, so that no two tries can share an id.
    ops = [f"{one:014x}00" for one in _mixed(batch.number, seed, "ops", 56)]
    keyed = np.array([one.repeats == "keyed" for one in scenario.classes])[batch.cls].tolist()
    first, last = (_mixed(batch.number, seed, what, 64) for what in ("keys", "ends of keys"))
    keys = [
        f"{one:016x}{other:016x}" if has else "" for one, other, has in zip(first, last, keyed, strict=True)
    ]
    before, behind = (
        (one.tolist() for one in some)
        for some in (
            (batch.due, batch.sidecar, batch.cls),
            (
                batch.work,
                batch.body,
                batch.answer,
                batch.tries,
                batch.try_share,
                batch.leaves,
                batch.half,
                batch.stays,
            ),
        )
    )
    return tuple(map(Wish, *before, ops, keys, *behind))


def _shape(load: Load, asking: _Asking, times: Floats) -> Floats:
    """Times the usual rate."""
    if load.shape == "wave":
        return 1 + asking.swing * np.sin(2 * math.pi * times / (load.wave_s * 1000) + asking.phase)
    if load.shape == "curve":
        seconds, values = zip(*load.curve, strict=True)
        return np.asarray(np.interp(times / 1000, seconds, values))
    return np.ones_like(times)


def _ramp(burst: DrawnFault, times: Floats) -> Floats:
    """How far a burst is there: 0 outside, 1 at its height, straight between."""
    assert isinstance(burst.fault, Burst)
    rise = max(burst.fault.rise_s * 1000, 1e-6)
    part = (times - burst.begin) / rise
    if burst.length:
        part = np.minimum(part, (burst.end - times) / rise)
    return np.clip(part, 0.0, 1.0)


def _batch(
    scenario: Scenario,
    seed: int,
    asking: _Asking,
    names: tuple[object, ...],
    number: int,
    times: Floats,
    intensity: Floats,
) -> _Batch:
    """Arrivals of a Poisson process with that intensity, and what each of them wants.

    Each figure takes one draw a wish, whether it is needed or not, so that settings move nothing else.
    """
    rng = arrays(seed, *names)
    done = np.concatenate([[0.0], np.cumsum((intensity[1:] + intensity[:-1]) / 2 * np.diff(times))])
    count = int(rng.poisson(done[-1]))
    due = _rounded(np.interp(np.sort(rng.random(count)) * done[-1], done, times))
    classes, load = scenario.classes, scenario.load
    cls = _shared(rng.random(count), [one.share for one in classes])
    sidecar = _shared(rng.random(count), asking.shares)
    even, normal = rng.standard_exponential(count), rng.standard_normal(count)
    work = np.zeros(count)
    for at, one in enumerate(classes):
        work = np.where(cls == at, asking.means[at] * _spread(one, asking.cvs[at], even, normal), work)
    body, answer = (
        _whole(rng.random(count), cls, [getattr(one, name) for one in classes]) for name in ("body", "answer")
    )
    body = np.where(np.array([one.repeats == "safe" for one in classes])[cls], 0, body)
    tries = 1 + int(asking.most) + (rng.random(count) < asking.most % 1).astype(np.int64)
    low, high = ends(load.retries.try_share)
    try_share = low + rng.random(count) * (high - low)
    patience = np.array([one.deadline_ms for one in classes])[cls] * try_share
    impatient, moment, half, stays = (rng.random(count) for _ in range(4))
    return _Batch(
        due,
        cls,
        sidecar,
        np.maximum(_rounded(work), 0.001),
        body,
        answer,
        tries,
        try_share,
        np.where(impatient < load.impatient, moment * patience, NEVER),
        half < load.half_close,
        stays < load.ask_once,
        np.arange(count, dtype=np.uint64) + np.uint64(number << 32),
    )


def _rounded(figures: Floats) -> Floats:
    # Guards against another day on another machine: numpy's logarithms and sines differ in their last digits.
    return np.round(figures, 6)


def _picked(batch: _Batch, which: NDArray[np.bool_] | NDArray[np.intp]) -> _Batch:
    return _Batch(*(getattr(batch, name)[which] for name in _Batch.__slots__))


def _shared(draws: Floats, shares: Sequence[float]) -> Ints:
    """Positions, each as often as its share has it."""
    steps: Floats = np.cumsum(shares) / sum(shares)
    # Guards against a position past the end, or one of share 0 there, by the rounding of the last sum.
    last = int(np.argmax(steps >= steps[-1]))
    return np.searchsorted(steps, draws, side="right").clip(max=last)


def _spread(one: Class, cv: float, even: Floats, normal: Floats) -> Floats:
    """Work around a mean of 1."""
    if one.dist == "exp":
        return even
    if one.dist == "fixed":
        return np.ones_like(even)
    sigma = math.sqrt(math.log1p(cv**2))
    return np.exp(sigma * normal - sigma**2 / 2)


def _whole(draws: Floats, cls: Ints, figures: Sequence[Figure]) -> Ints:
    """Whole numbers, each evenly from its class's range."""
    table: Floats = np.array([ends(one) for one in figures])
    low: Floats = table[cls, 0]
    whole: Ints = np.rint(low + draws * (table[cls, 1] - low)).astype(np.int64)
    return whole


def _mixed(numbers: NDArray[np.uint64], seed: int, what: str, bits: int) -> list[int]:
    """Numbers of so many bits that look drawn, and differ wherever `numbers` do.

    Each step is one to one: SplitMix64's (Steele, Lea, Flood 2014), cut to `bits`.
    """
    mask = np.uint64(2**bits - 1)
    start = int.from_bytes(hashlib.blake2b(f"{seed} {what}".encode(), digest_size=8).digest())
    mixed = (numbers * np.uint64(0x9E3779B97F4A7C15) + np.uint64(start)) & mask
    for shift, factor in ((30, 0xBF58476D1CE4E5B9), (27, 0x94D049BB133111EB)):
        mixed = ((mixed ^ (mixed >> np.uint64(shift))) * np.uint64(factor)) & mask
    return [int(one) for one in mixed ^ (mixed >> np.uint64(31))]
