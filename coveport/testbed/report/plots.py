"""The plots of a day, each as an SVG element to stand inside a page.

Colours are written as CSS variables of the page (`--ink`, `--green`), so that a plot follows its theme. They
are after Okabe and Ito's palette, which people with any of the usual colour blindnesses can tell apart.
"""

from __future__ import annotations

import io
import re
import warnings
from collections.abc import Sequence
from typing import Any

import matplotlib as mpl
import numpy as np
from matplotlib.axes import Axes
from matplotlib.colors import Normalize
from matplotlib.figure import Figure

from coveport.testbed.day import Day, Span
from coveport.testbed.request_table import KINDS, Floats
from coveport.testbed.time_series import Series

INK, GRID, CARD, FAULT = "ink", "grid", "card", "fault"
KIND_COLOURS = dict(
    zip(KINDS, ("green", "orange", "sky", "red", "purple", "grey", "ink", "blue"), strict=True)
)
LINES = ("blue", "orange", "green", "red", "purple", "sky", "yellow", "grey")
_VARIABLES = (INK, GRID, CARD, FAULT, "green", "orange", "sky", "red", "purple", "grey", "blue", "yellow")
_STAND_INS = {name: f"#0a0b{number:02x}" for number, name in enumerate(_VARIABLES, 1)}

_WIDE, _LEFT, _RIGHT = 11.0, 1.45, 0.12  # inches; the same in all plots, so that their times line up
_LANE, _TITLE, _GAP, _BOTTOM = 0.2, 0.26, 0.14, 0.44
_AWAY = (0.54, 0.56, 0.6, 1.0)
_STYLE: Any = {
    "svg.fonttype": "none",
    "font.size": 9,
    "font.family": "DejaVu Sans",
    "text.parse_math": False,
    "axes.edgecolor": _STAND_INS[GRID],
    "axes.labelcolor": _STAND_INS[INK],
    "text.color": _STAND_INS[INK],
    "xtick.color": _STAND_INS[GRID],
    "ytick.color": _STAND_INS[GRID],
    "xtick.labelcolor": _STAND_INS[INK],
    "ytick.labelcolor": _STAND_INS[INK],
    "grid.color": _STAND_INS[GRID],
    "grid.linewidth": 0.6,
    "axes.spines.top": False,
    "axes.spines.right": False,
    "axes.titlesize": 9.5,
    "axes.titleweight": "bold",
    "axes.linewidth": 0.8,
    "lines.linewidth": 1.5,
    "legend.fontsize": 8.5,
    "lines.solid_capstyle": "round",
}


def colour(name: str) -> str:
    """A stand-in for the page's CSS variable of that name."""
    return _STAND_INS[name]


class _Sheet:
    """Panels one below the other over the same time, with a strip of the day's faults on top."""

    def __init__(
        self,
        name: str,
        spans: Sequence[Span],
        until_s: float,
        settle_s: float,
        panels: Sequence[tuple[str, float]],
    ) -> None:
        self.name = name
        self.until_s = until_s
        lanes = _lanes(spans, until_s)
        strip = _LANE * (max(lanes, default=-1) + 1)
        high = strip + sum(_TITLE + tall + _GAP for _, tall in panels) + _BOTTOM - _GAP
        self.figure = Figure(figsize=(_WIDE, high))
        self.axes: list[Axes] = []
        top = high - strip
        wide = (_WIDE - _LEFT - _RIGHT) / _WIDE
        for title, tall in panels:
            top -= _TITLE + tall
            axes = self.figure.add_axes((_LEFT / _WIDE, top / high, wide, tall / high))
            axes.set_title(title, loc="left", pad=5, y=1.0)
            axes.set_xlim(0, until_s)
            axes.grid(axis="y")
            axes.set_axisbelow(True)
            axes.tick_params(axis="x", labelbottom=False)
            if settle_s:
                axes.axvspan(0, settle_s, color=colour(GRID), alpha=0.35, linewidth=0)
            for span in spans:
                begin, end = span.begin / 1000, span.end / 1000
                if end > begin:
                    axes.axvspan(begin, end, color=colour(FAULT), alpha=0.10, linewidth=0)
                for edge in (begin, end):
                    if edge < until_s:
                        axes.axvline(
                            edge, color=colour(FAULT), alpha=0.7, linewidth=0.8, dashes=(3, 2), zorder=3
                        )  # above the heat maps
            self.axes.append(axes)
            top -= _GAP
        self.axes[-1].tick_params(axis="x", labelbottom=True)
        self.axes[-1].set_xlabel("seconds since the day began")
        if strip:
            self._strip(spans, lanes, (_LEFT / _WIDE, 1 - strip / high, wide, strip / high))

    def _strip(
        self, spans: Sequence[Span], lanes: Sequence[int], where: tuple[float, float, float, float]
    ) -> None:
        axes = self.figure.add_axes(where)
        axes.set_axis_off()
        axes.set_xlim(0, self.until_s)
        axes.set_ylim(max(lanes) + 1, 0)
        for span, lane in zip(spans, lanes, strict=True):
            begin, end = span.begin / 1000, min(span.end / 1000, self.until_s)
            axes.plot(
                [begin, max(end, begin)],
                [lane + 0.9] * 2,
                color=colour(FAULT),
                linewidth=2.5,
                solid_capstyle="butt",
                clip_on=False,
            )
            axes.plot([begin], [lane + 0.9], marker="|", color=colour(FAULT), markersize=5, clip_on=False)
            flush = begin + _label_s(span, self.until_s) > self.until_s
            axes.text(
                self.until_s if flush else begin,
                lane + 0.7,
                _label(span),
                fontsize=8,
                ha="right" if flush else "left",
                va="bottom",
            )

    def svg(self, what: str) -> str:
        """The element; `what` says for those who can't see it what is shown."""
        file = io.StringIO()
        with warnings.catch_warnings():
            # Guards against a line for each letter in a title that the layout's font lacks; browsers have it.
            warnings.filterwarnings("ignore", "Glyph .* missing from", UserWarning)
            self.figure.savefig(
                file,
                format="svg",
                transparent=True,
                metadata=dict.fromkeys(("Creator", "Date", "Format", "Type")),
            )
        text = file.getvalue()
        text = text[text.index("<svg") :].strip()
        text = re.sub(r"<metadata>.*?</metadata>", "", text, flags=re.DOTALL)
        text = re.sub(r"<!--.*?-->", "", text, flags=re.DOTALL)
        text = re.sub(r'(<svg[^>]*?) width="[^"]*"', r"\1", text, count=1)
        text = re.sub(r'(<svg[^>]*?) height="[^"]*"', r"\1", text, count=1)
        # Guards against ids that stand twice in one page: equal pictures, and parts of two plots.
        text = re.sub(r'(<image [^>]*?) id="[^"]*"', r"\1", text)
        text = re.sub(r'(\bid="|href="#|url\(#)', rf"\g<1>{self.name}-", text)
        for name, stand_in in _STAND_INS.items():
            text = text.replace(stand_in, f"var(--{name})")
        text = re.sub(r"(font: [^;\"]*?)'DejaVu Sans'[^;\"]*", r"\1var(--font)", text)
        text = re.sub(r"\n\s*", "\n", text)
        return text.replace("<svg", f'<svg role="img" aria-label="{what}"', 1)


def _label(span: Span) -> str:
    return f"{span.number} {span.kind.replace('_', ' ')}"


def _label_s(span: Span, until_s: float) -> float:
    """How many seconds of the strip a fault's label takes."""
    return (len(_label(span)) * 0.072 + 0.1) * until_s / (_WIDE - _LEFT - _RIGHT)


def _lanes(spans: Sequence[Span], until_s: float) -> list[int]:
    """In which lane of the strip each fault stands, so that neither bars nor labels meet."""
    free: list[float] = []  # where each lane's last bar or label ends
    lanes: list[int] = []
    for span in spans:
        label = _label_s(span, until_s)
        begin = min(span.begin / 1000, until_s - label)
        end = max(min(span.end / 1000, until_s), begin + label)
        lane = next((one for one, ends in enumerate(free) if ends <= begin), len(free))
        free[lane : lane + 1] = [end]
        lanes.append(lane)
    return lanes


def _legend(axes: Axes, columns: int = 8) -> None:
    axes.legend(
        loc="lower right",
        bbox_to_anchor=(1.0, 1.0),
        ncols=columns,
        frameon=False,
        borderaxespad=0.2,
        handlelength=1.4,
        columnspacing=1.4,
        handletextpad=0.5,
    )


def _steps(axes: Axes, one: Series, values: Floats, name: str, label: str = "", **style: Any) -> None:
    edges = np.append(one.at_s, one.at_s[-1] + one.step_s)
    axes.stairs(
        values, edges, baseline=None, color=colour(name), label=label or None, **{"linewidth": 1.5, **style}
    )


def _shares(axes: Axes) -> None:
    axes.yaxis.set_major_formatter(lambda value, _: f"{value:.0%}")


def draw(day: Day, one: Series, spans: Sequence[Span]) -> list[tuple[str, str]]:
    """All plots of a day that have data, as (what it is and how to read it, SVG element)."""
    with mpl.rc_context(_STYLE):
        mpl.rcParams["svg.hashsalt"] = "lab"
        plots = [
            _service(day, one, spans),
            _latency(day, one, spans),
            _answers(day, one, spans),
            _nodes(day, one, spans),
            _traffic(day, one, spans),
            _sidecars(day, one, spans),
        ]
    return [plot for plot in plots if plot is not None]


def _sheet(
    name: str, day: Day, one: Series, spans: Sequence[Span], panels: Sequence[tuple[str, float]]
) -> _Sheet:
    return _Sheet(name, spans, float(one.at_s[-1] + one.step_s), day.scenario.settle_s, panels)


def _service(day: Day, one: Series, spans: Sequence[Span]) -> tuple[str, str]:
    sheet = _sheet("service", day, one, spans, [("Service", 1.9), ("Worth a second", 1.5)])
    above, below = sheet.axes
    _steps(above, one, one.service, "grey", f"over {one.step_s:g} s", alpha=0.6)
    wide = min(max(1, round(3 / one.step_s)), len(one.at_s))
    kernel = np.ones(wide)
    asked = np.convolve(one.offered, kernel, "same")
    with np.errstate(invalid="ignore"):
        smooth = np.convolve(one.served, kernel, "same") / asked
    above.plot(
        one.at_s + one.step_s / 2,
        smooth,
        color=colour("green"),
        linewidth=2,
        label=f"over {wide * one.step_s:g} s",
    )
    if day.scenario.expect.service:
        above.axhline(
            day.scenario.expect.service,
            color=colour("red"),
            linewidth=1,
            linestyle=":",
            label="expected of the whole day",
        )
    low = float(np.nanmin(one.service)) if not np.isnan(one.service).all() else 0.0
    above.set_ylim(min(0.8, max(0.0, low - 0.05)), 1.02)
    _shares(above)
    _legend(above)
    below.stairs(
        one.offered,
        np.append(one.at_s, one.at_s[-1] + one.step_s),
        fill=True,
        color=colour("grey"),
        alpha=0.3,
        linewidth=0,
        label="asked",
    )
    _steps(below, one, one.offered, "grey")
    _steps(below, one, one.served, "green", "answered in time")
    below.set_ylim(bottom=0)
    _legend(below)
    return (
        "Service is the worth answered in time over the worth asked, by when it was asked. Below it the "
        "load: where the two lines part, worth was lost.",
        sheet.svg("Service and load over time"),
    )


def _latency(day: Day, one: Series, spans: Sequence[Span]) -> tuple[str, str] | None:
    seen = [number for number in range(len(one.classes)) if not np.isnan(one.p50_ms[number]).all()]
    if not seen:
        return None
    sheet = _sheet("latency", day, one, spans, [(f"{one.classes[number]}: latency", 1.35) for number in seen])
    low = float(np.nanmin(one.p50_ms)) * 0.7
    high = max(float(np.nanmax(one.p99_ms)), *(two.aim_ms for two in day.scenario.classes)) * 1.5
    for axes, number in zip(sheet.axes, seen, strict=True):
        axes.set_yscale("log")
        axes.set_ylim(max(low, 0.01), high)
        axes.yaxis.set_major_formatter(
            lambda value, _: f"{value:g} ms" if value < 1000 else f"{value / 1000:g} s"
        )
        axes.minorticks_off()
        axes.axhline(
            day.scenario.classes[number].aim_ms, color=colour("red"), linewidth=1, linestyle=":", label="aim"
        )
        axes.plot(one.at_s + one.step_s / 2, one.p50_ms[number], color=colour("blue"), label="half of them")
        axes.plot(one.at_s + one.step_s / 2, one.p99_ms[number], color=colour("orange"), label="99% of them")
        if axes is sheet.axes[0]:
            _legend(axes)
    return (
        "How long those wishes took that were served, in time or late, counted from when they were due. "
        "Above the dotted line an answer is worth nothing. The scale is logarithmic.",
        sheet.svg("Latency over time by class"),
    )


def _answers(day: Day, one: Series, spans: Sequence[Span]) -> tuple[str, str]:
    sheet = _sheet(
        "answers",
        day,
        one,
        spans,
        [("How wishes ended, a second", 1.6), ("The same without those served in time", 1.6)],
    )
    edges = np.append(one.at_s, one.at_s[-1] + one.step_s)
    for axes, first in zip(sheet.axes, (0, 1), strict=True):
        base: Floats = np.zeros(len(one.at_s))
        for number, kind in enumerate(KINDS):
            if number >= first and one.answers[number].any():
                axes.stairs(
                    base + one.answers[number],
                    edges,
                    baseline=base,
                    fill=True,
                    linewidth=0,
                    color=colour(KIND_COLOURS[kind]),
                    label=kind,
                )
                base = base + one.answers[number]
        axes.set_ylim(0, max(1.0, float(base.max()) * 1.05))
    if one.answers.any():
        _legend(sheet.axes[0])
    return (
        "Each wish is counted where it was due, by how it ended; the words are explained below.",
        sheet.svg("How wishes ended over time, by kind"),
    )


def _nodes(day: Day, one: Series, spans: Sequence[Span]) -> tuple[str, str] | None:
    if not one.nodes or np.isnan(one.held).all():
        return None
    drawn = {node.number: node for node in day.nodes}
    order = sorted(range(len(one.nodes)), key=lambda row: (drawn[one.nodes[row]].zone, one.nodes[row]))
    names = []
    for row in order:
        node = drawn[one.nodes[row]]
        names.append(f"{node.number} {day.scenario.fleet.zones[node.zone][:10]} {node.kind[:10]}")
    tall = min(max(0.17 * len(order), 0.9), 6.0)
    every = max(1, round(len(order) * 0.15 / tall))
    sheet = _sheet(
        "nodes",
        day,
        one,
        spans,
        [("Operations that each ledger node holds", tall), ("How busy its cores are", tall)],
    )
    most = max(1.0, float(np.nanpercentile(one.held, 99.5)))
    for axes, values, top in zip(sheet.axes, (one.held, one.busy), (most, 1.0), strict=True):
        norm = Normalize(0, top, clip=True)
        picture = mpl.colormaps["cividis"](norm(np.nan_to_num(values[order])))
        picture[np.isnan(values[order])] = 0
        picture[one.away[order]] = _AWAY
        axes.imshow(
            picture,
            extent=(0, one.at_s[-1] + one.step_s, len(order), 0),
            aspect="auto",
            interpolation="none",
            zorder=2,
        )
        axes.grid(False)
        axes.set_ylim(len(order), 0)
        axes.set_yticks(np.arange(0, len(order), every) + 0.5, names[::every], fontsize=7.5)
        axes.tick_params(axis="y", length=0)
        scale = axes.inset_axes((0.78, 1.0 + 0.08 / tall, 0.18, 0.1 / tall))
        scale.imshow(
            mpl.colormaps["cividis"](np.linspace(0, 1, 64))[None],
            extent=(0, top, 0, 1),
            aspect="auto",
            interpolation="none",
        )
        scale.set_axis_off()
        highest = "100%" if values is one.busy else f"{top:.0f}"
        for at, text, side in ((-0.03, "0", "right"), (1.03, highest, "left")):
            scale.text(at, 0.5, text, transform=scale.transAxes, fontsize=8, va="center", ha=side)
    return (
        "One line for each ledger node, named by number, zone and kind. Grey: down or silent.",
        sheet.svg("Load of each ledger node over time"),
    )


def _traffic(day: Day, one: Series, spans: Sequence[Span]) -> tuple[str, str]:
    sheet = _sheet(
        "traffic",
        day,
        one,
        spans,
        [
            ("Attempts a second at the ledger nodes", 1.2),
            ("Busy replies to clients a second", 0.9),
            ("Open connections to ledger nodes", 0.9),
        ],
    )
    first, second, third = sheet.axes
    _steps(first, one, one.attempts, "blue", "attempts")
    _steps(first, one, one.answers.sum(axis=0), "grey", "wishes")
    if one.probes.any():
        _steps(first, one, one.probes, "orange", "probes")
    _legend(first)
    _steps(second, one, one.busy_replies, "sky")
    _steps(third, one, one.connections, "purple")
    for axes in sheet.axes:
        axes.set_ylim(0, max(1.0, axes.get_ylim()[1]))
    return (
        "Attempts above wishes are retries, second copies, or work for wishes of a moment before.",
        sheet.svg("Attempts, busy replies and connections over time"),
    )


def _sidecars(day: Day, one: Series, spans: Sequence[Span]) -> tuple[str, str] | None:
    panels = [
        (title, values, limit)
        for title, values, limit in (
            ("Sidecars' memory in MB", one.memory_mb, day.scenario.limits.memory_mb),
            ("Sidecars' descriptors", one.descriptors, day.scenario.limits.descriptors),
        )
        if np.nan_to_num(values).any()
    ]
    if not panels:
        return None
    sheet = _sheet("sidecars", day, one, spans, [(title, 1.2) for title, _, _ in panels])
    few = len(one.sidecars) <= len(LINES)
    for axes, (_, values, limit) in zip(sheet.axes, panels, strict=True):
        for number, line in enumerate(values):
            known = ~np.isnan(line)
            name = LINES[number] if few else "blue"
            axes.plot(
                one.at_s[known],
                line[known],
                color=colour(name),
                alpha=1.0 if few else 0.35,
                linewidth=1.2,
                label=f"{one.sidecars[number]}",
            )
        axes.set_ylim(0, max(1.0, axes.get_ylim()[1] * 1.1))
        if limit <= 3 * axes.get_ylim()[1]:
            axes.axhline(limit, color=colour("red"), linewidth=1, linestyle=":", label="limit")
            axes.set_ylim(0, max(axes.get_ylim()[1], limit * 1.08))
    if few:
        _legend(sheet.axes[0], 10)
    return (
        "What each sidecar's process holds, seen from outside.",
        sheet.svg("Sidecars' memory and descriptors over time"),
    )
