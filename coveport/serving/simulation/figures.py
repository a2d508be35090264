"""Figures of a day from its book: how many requests were served, in time, and how soon. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from coveport.serving.simulation.events import Book, Ending, TryEnded, TrySent


@dataclass(frozen=True, slots=True)
class Objective:
    """Within what a kind of request is in time."""

    first_event_s: float
    pause_s: float


@dataclass(frozen=True, slots=True)
class KindFigures:
    """What became of one kind of request."""

    asked: int
    served: int
    in_time: int
    tries: int
    statuses: tuple[tuple[str, int], ...]  # how tries ended that served nothing, with counts
    first_event_ms: tuple[float, float, float]  # median, 95th and 99th of a hundred, of the served

    @property
    def served_share(self) -> float:
        """Of those asked."""
        return self.served / self.asked if self.asked else 1.0

    @property
    def in_time_share(self) -> float:
        """Of those asked."""
        return self.in_time / self.asked if self.asked else 1.0


def figures(book: Book, objectives: Mapping[str, Objective]) -> dict[str, KindFigures]:
    """The figures by kind of request; probes are left out."""
    ended = {line.try_id: line for line in book.of(TryEnded)}
    requests: dict[str, list[TrySent]] = defaultdict(list)
    for sent in book.of(TrySent):
        if not sent.is_probe:
            requests[sent.request].append(sent)
    by_kind: dict[str, list[list[TrySent]]] = defaultdict(list)
    for tries in requests.values():
        by_kind[tries[0].kind].append(tries)
    return {kind: _of_kind(asked, ended, objectives[kind]) for kind, asked in sorted(by_kind.items())}


def _of_kind(asked: list[list[TrySent]], ended: Mapping[str, TryEnded], objective: Objective) -> KindFigures:
    served = in_time = 0
    statuses: dict[str, int] = defaultdict(int)
    latencies: list[float] = []
    for tries in asked:
        lines = [ended[one.try_id] for one in tries if one.try_id in ended]
        for line in lines:
            if not _is_success(line):
                statuses[f"{line.ending.value} {line.status}"] += 1
        if not any(_is_success(line) for line in lines):
            continue
        served += 1
        latency = min(_answered_s(line) for line in lines if _answered_s(line)) - tries[0].first_sent_s
        latencies.append(latency)
        pause = max(line.longest_pause_s for line in lines)
        in_time += latency <= objective.first_event_s and pause <= objective.pause_s
    return KindFigures(
        len(asked), served, in_time, sum(map(len, asked)), tuple(sorted(statuses.items())),
        _quantiles_ms(latencies),
    )  # fmt: skip


def _is_success(line: TryEnded) -> bool:
    return line.ending is Ending.COMPLETE and 200 <= line.status < 300


def _answered_s(line: TryEnded) -> float:
    """When the first event came, or a whole answer; 0.0: never."""
    if line.first_event_s:
        return line.first_event_s
    return line.at_s if _is_success(line) else 0.0


def _quantiles_ms(latencies: list[float]) -> tuple[float, float, float]:
    if not latencies:
        return 0.0, 0.0, 0.0
    ranked = sorted(latencies)
    last = len(ranked) - 1
    middle, late, latest = (1000 * ranked[round(share * last)] for share in (0.5, 0.95, 0.99))
    return middle, late, latest
