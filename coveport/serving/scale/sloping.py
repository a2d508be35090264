"""Linear fits of the figures of scale runs, extrapolated to the target size. Pure."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import mean
from typing import Any, Final

from coveport.serving.scale.slopes import LinearFit, TooFewPointsError, fit_linear

__all__ = ["Slope", "TooFewPointsError", "find_slopes", "slope_rows"]

TARGET_PROXIES, TARGET_NODES = 340, 600
Result = dict[str, Any]


@dataclass(frozen=True, slots=True)
class Slope:
    """The linear fit of one figure against one size."""

    figure: str
    by: str  # name of the size
    fit: LinearFit
    at_target: float


def _coordinator_mean(result: Result, pick: Callable[[Result], float]) -> float:
    return mean(map(pick, result["calm"]["coordinators"]))


def _proxies(result: Result) -> float:
    return float(result["size"]["proxies"] + result["size"]["real_proxies"])


def _nodes(result: Result) -> float:
    return float(result["size"]["nodes"])


@dataclass(frozen=True, slots=True)
class Figure:
    """One figure of a run, and the size that it grows with."""

    name: str
    by: str  # name of the size
    size_of: Callable[[Result], float]
    value_of: Callable[[Result], float]


def _kb_s(rate: dict[str, float]) -> float:
    return rate["bytes_s"] / 1000


def _sent_kb_s(coordinator: Result) -> float:
    return _kb_s(coordinator["sent"])


def _proxy_received_kb_s(window: Result) -> float:
    return _kb_s(window["proxy_received"])


def _received_kb_s(coordinator: Result) -> float:
    return _kb_s(coordinator["received"])


FIGURES: Final = (
    Figure("coordinator, cores", "nodes", _nodes, lambda r: _coordinator_mean(r, lambda c: c["cores"])),
    Figure("coordinator, MB", "nodes", _nodes, lambda r: _coordinator_mean(r, lambda c: c["resident_mb"])),
    Figure("coordinator sends, KB/s", "nodes", _nodes, lambda r: _coordinator_mean(r, _sent_kb_s)),
    Figure("coordinator receives, KB/s", "nodes", _nodes, lambda r: _coordinator_mean(r, _received_kb_s)),
    Figure("proxy's control, cores", "proxies", _proxies, lambda r: r["calm"]["proxy_cores"]),
    Figure("proxy's control with faults, cores", "proxies", _proxies, lambda r: r["day"]["proxy_cores"]),
    Figure("proxy receives, KB/s", "proxies", _proxies, lambda r: _proxy_received_kb_s(r["calm"])),
    Figure("proxy receives with faults, KB/s", "proxies", _proxies, lambda r: _proxy_received_kb_s(r["day"])),
    Figure("real proxy, MB", "nodes", _nodes, lambda r: r["day"]["real_proxy_mb"]),
    Figure("change in force, worst s", "proxies", _proxies, lambda r: r["change"]["worst_s"]),
    Figure("closing known, worst s", "proxies", _proxies, lambda r: r["closing"]["worst_s"]),
    Figure("takeover, s", "proxies", _proxies, lambda r: r["takeover"]["worst_s"]),
)  # fmt: skip


def find_slopes(results: Sequence[Result]) -> list[Slope]:
    """Return a fit for each figure; raise TooFewPointsError if all runs have the same size."""
    fitted_slopes = []
    for figure in FIGURES:
        fit = fit_linear([(figure.size_of(result), figure.value_of(result)) for result in results])
        target = TARGET_NODES if figure.by == "nodes" else TARGET_PROXIES
        fitted_slopes.append(Slope(figure.name, figure.by, fit, fit.at(target)))
    return fitted_slopes


def slope_rows(results: Sequence[Result]) -> list[tuple[str, ...]]:
    """Return the fits as rows of text."""
    return [
        (
            slope.figure, slope.by, f"{slope.fit.base:.4g}", f"{slope.fit.slope:.3g}",
            f"{slope.fit.spread:.2g}", f"{slope.at_target:.4g}",
        )
        for slope in find_slopes(results)
    ]  # fmt: skip
