"""Statistics of a day from its event log: requests served, served in time, and latencies. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass

from coveport.serving.simulation.events import AttemptEnded, AttemptStarted, Ending, EventLog


@dataclass(frozen=True, slots=True)
class Objective:
    """The latency targets of a kind of request, in seconds."""

    first_event_s: float
    inter_token_s: float


@dataclass(frozen=True, slots=True)
class KindFigures:
    """Statistics of one kind of request."""

    requests: int
    served: int
    in_time: int
    attempts: int
    statuses: tuple[tuple[str, int], ...]  # endings of failed attempts, with counts
    first_event_ms: tuple[float, float, float]  # 50th, 95th and 99th percentile of served requests

    @property
    def served_fraction(self) -> float:
        """Return the fraction of requests that were served."""
        return self.served / self.requests if self.requests else 1.0

    @property
    def in_time_fraction(self) -> float:
        """Return the fraction of requests that met the latency targets."""
        return self.in_time / self.requests if self.requests else 1.0


def figures(event_log: EventLog, objectives: Mapping[str, Objective]) -> dict[str, KindFigures]:
    """Return the statistics by kind of request; requests that check one proxy directly don't count."""
    ended = {entry.attempt_id: entry for entry in event_log.of(AttemptEnded)}
    attempts_by_request: dict[str, list[AttemptStarted]] = defaultdict(list)
    for started in event_log.of(AttemptStarted):
        if not started.is_direct:
            attempts_by_request[started.request].append(started)
    by_kind: dict[str, list[list[AttemptStarted]]] = defaultdict(list)
    for attempts in attempts_by_request.values():
        by_kind[attempts[0].kind].append(attempts)
    return {
        kind: _kind_figures(requests, ended, objectives[kind]) for kind, requests in sorted(by_kind.items())
    }


def _kind_figures(
    requests: list[list[AttemptStarted]], ended: Mapping[str, AttemptEnded], objective: Objective
) -> KindFigures:
    served = in_time = 0
    statuses: dict[str, int] = defaultdict(int)
    latencies: list[float] = []
    for attempts in requests:
        entries = [ended[attempt.attempt_id] for attempt in attempts if attempt.attempt_id in ended]
        for entry in entries:
            if not _is_success(entry):
                statuses[f"{entry.ending.value} {entry.status}"] += 1
        if not any(_is_success(entry) for entry in entries):
            continue
        served += 1
        latency = (
            min(_answered_s(entry) for entry in entries if _answered_s(entry)) - attempts[0].request_started_s
        )
        latencies.append(latency)
        longest = max(entry.longest_inter_token_s for entry in entries)
        in_time += latency <= objective.first_event_s and longest <= objective.inter_token_s
    return KindFigures(
        len(requests), served, in_time, sum(map(len, requests)), tuple(sorted(statuses.items())),
        _quantiles_ms(latencies),
    )  # fmt: skip


def _is_success(entry: AttemptEnded) -> bool:
    return entry.ending is Ending.COMPLETE and 200 <= entry.status < 300


def _answered_s(entry: AttemptEnded) -> float:
    """Return the time of the first event or of the complete answer; 0.0 if there was neither."""
    if entry.first_event_s:
        return entry.first_event_s
    return entry.at_s if _is_success(entry) else 0.0


def _quantiles_ms(latencies: list[float]) -> tuple[float, float, float]:
    if not latencies:
        return 0.0, 0.0, 0.0
    ranked = sorted(latencies)
    last = len(ranked) - 1
    middle, late, latest = (1000 * ranked[round(quantile * last)] for quantile in (0.5, 0.95, 0.99))
    return middle, late, latest
