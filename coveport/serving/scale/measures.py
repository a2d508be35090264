"""Computes rates between two readings, and summaries of delays. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from math import ceil

Counts = dict[str, tuple[int, int]]  # by kind of message: messages, bytes


@dataclass(frozen=True, slots=True)
class CoordinatorReading:
    """The counters of one coordinator at one time; counts since its start."""

    cpu_s: float
    resident_mb: float
    sent: Counts = field(default_factory=dict)
    received: Counts = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Reading:
    """The counters of all processes at one time; processes that are down are missing."""

    at_s: float
    coordinators: dict[str, CoordinatorReading]
    proxy_workers_cpu_s: float  # total of all hollow proxies
    proxy_workers_mb: float
    real_proxies_cpu_s: dict[str, float]
    real_proxies_mb: dict[str, float]
    node_workers_cpu_s: float
    node_calls: int
    node_request_bytes: int


@dataclass(frozen=True, slots=True)
class Rate:
    """Messages and bytes per second."""

    messages_s: float = 0.0
    bytes_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CoordinatorRates:
    """The rates and memory of one coordinator in a window."""

    name: str
    cores: float
    resident_mb: float
    sent: Rate
    received: Rate
    by_kind: dict[str, Rate]  # by kind of message: `>Kind` sent, `<Kind` received


@dataclass(frozen=True, slots=True)
class WindowRates:
    """The rates of each role between two readings."""

    seconds: float
    coordinators: tuple[CoordinatorRates, ...]
    proxy_cores: float  # processor cores used by one hollow proxy
    proxy_sent: Rate  # mean of all proxies, hollow or real
    proxy_received: Rate
    hollow_proxy_mb: float  # the workers' memory divided by the number of hollow proxies
    real_proxy_cores: float  # mean of the real proxies
    real_proxy_mb: float  # maximum of the real proxies
    node_calls_s: float
    node_request_bytes_s: float


def window_rates(before: Reading, after: Reading, hollow: int, proxies: int) -> WindowRates:
    """Return rates between two readings; `hollow`: number of hollow proxies, `proxies`: of all proxies."""
    seconds = after.at_s - before.at_s
    coordinators = tuple(
        _coordinator_rates(name, before.coordinators[name], after.coordinators[name], seconds)
        for name in sorted(before.coordinators.keys() & after.coordinators.keys())
    )
    real = before.real_proxies_cpu_s.keys() & after.real_proxies_cpu_s.keys()
    real_cores = [
        (after.real_proxies_cpu_s[name] - before.real_proxies_cpu_s[name]) / seconds for name in real
    ]
    return WindowRates(
        seconds=seconds,
        coordinators=coordinators,
        proxy_cores=(after.proxy_workers_cpu_s - before.proxy_workers_cpu_s) / seconds / max(1, hollow),
        proxy_sent=_mean_rate(coordinators, "<UpdateRequest", proxies),
        proxy_received=_mean_rate(coordinators, ">Update", proxies),
        hollow_proxy_mb=after.proxy_workers_mb / max(1, hollow),
        real_proxy_cores=sum(real_cores) / len(real_cores) if real_cores else 0.0,
        real_proxy_mb=max(after.real_proxies_mb.values(), default=0.0),
        node_calls_s=(after.node_calls - before.node_calls) / seconds,
        node_request_bytes_s=(after.node_request_bytes - before.node_request_bytes) / seconds,
    )


def _coordinator_rates(
    name: str, before: CoordinatorReading, after: CoordinatorReading, seconds: float
) -> CoordinatorRates:
    sent = _rates(before.sent, after.sent, seconds)
    received = _rates(before.received, after.received, seconds)
    by_kind = {f">{kind}": rate for kind, rate in sent.items()}
    by_kind.update({f"<{kind}": rate for kind, rate in received.items()})
    return CoordinatorRates(
        name,
        (after.cpu_s - before.cpu_s) / seconds,
        after.resident_mb,
        _sum(sent.values()),
        _sum(received.values()),
        by_kind,
    )


def _rates(before: Counts, after: Counts, seconds: float) -> dict[str, Rate]:
    rates = {}
    for kind, (messages, size) in after.items():
        messages_before, size_before = before.get(kind, (0, 0))
        if messages > messages_before:
            rates[kind] = Rate((messages - messages_before) / seconds, (size - size_before) / seconds)
    return rates


def _sum(rates: Iterable[Rate]) -> Rate:
    all_rates = list(rates)
    return Rate(sum(rate.messages_s for rate in all_rates), sum(rate.bytes_s for rate in all_rates))


def _mean_rate(coordinators: Iterable[CoordinatorRates], kind: str, count: int) -> Rate:
    total = _sum(coordinator.by_kind.get(kind, Rate()) for coordinator in coordinators)
    return Rate(total.messages_s / max(1, count), total.bytes_s / max(1, count))


@dataclass(frozen=True, slots=True)
class Delay:
    """The delays of one kind of operation, in seconds, over all proxies and repetitions."""

    count: int
    median_s: float
    p99_s: float
    worst_s: float
    missing: int = 0  # observations that did not arrive before the time-out


def summarize(delays_s: Iterable[float], missing: int = 0) -> Delay:
    """Return the median, 99th percentile and worst delay (nearest rank); zeros without delays."""
    ordered = sorted(delays_s)
    if not ordered:
        return Delay(0, 0.0, 0.0, 0.0, missing)
    return Delay(len(ordered), _rank(ordered, 0.5), _rank(ordered, 0.99), ordered[-1], missing)


def _rank(ordered: list[float], quantile: float) -> float:
    return ordered[max(0, ceil(quantile * len(ordered)) - 1)]
