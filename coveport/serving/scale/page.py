"""Renders several runs as one self-contained HTML page with charts. Loads matplotlib and jinja2."""

from __future__ import annotations

import io
from collections.abc import Sequence
from typing import Any

import matplotlib
from jinja2 import Environment, StrictUndefined
from markupsafe import Markup

from coveport.serving.scale.sloping import FIGURES, Result

matplotlib.use("svg")

TEMPLATE = """<!doctype html>
<meta charset="utf-8"><title>Scale runs</title>
<style>body{font:15px sans-serif;margin:2em;max-width:70em}table{border-collapse:collapse}
td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}svg{width:24em;height:auto}</style>
<h1>Scale runs</h1>
<table><tr><th>proxies<th>nodes<th>coordinators<th>routes
{%- for name in names %}<th>{{ name }}{% endfor %}<th>problems</tr>
{%- for run in runs %}<tr>
{%- for cell in run.cells %}<td>{{ cell }}{% endfor %}<td>{{ run.problems }}</tr>
{%- endfor %}</table>
{% for chart in charts %}{{ chart }}{% endfor %}
"""


def render(results: Sequence[Result]) -> str:
    """Return the HTML page of some runs, given as `results.as_json` returns them."""
    environment = Environment(autoescape=True, undefined=StrictUndefined)
    return environment.from_string(TEMPLATE).render(
        names=[figure.name for figure in FIGURES],
        runs=[{"cells": _cells(result), "problems": "; ".join(result["problems"])} for result in results],
        charts=[Markup(_chart(figure, results)) for figure in FIGURES],  # trusted: SVG that this module draws
    )


def _cells(result: Result) -> list[str]:
    size = result["size"]
    sizes = [str(size[name]) for name in ("proxies", "nodes", "coordinators", "routes")]
    return sizes + [f"{figure.value_of(result):.4g}" for figure in FIGURES]


def _chart(figure: Any, results: Sequence[Result]) -> str:
    import matplotlib.pyplot as plot

    chart, axes = plot.subplots(figsize=(4, 2.6), layout="tight")
    for coordinators in sorted({result["size"]["coordinators"] for result in results}):
        chosen = [result for result in results if result["size"]["coordinators"] == coordinators]
        points = sorted((figure.size_of(result), figure.value_of(result)) for result in chosen)
        axes.plot(*zip(*points, strict=True), marker="o", label=f"{coordinators} coordinators")
    axes.set_xlabel(figure.by)
    axes.set_title(figure.name)
    axes.set_ylim(bottom=0)
    axes.legend()
    text = io.StringIO()
    chart.savefig(text, format="svg")
    plot.close(chart)
    return text.getvalue().partition("<svg")[1] + text.getvalue().partition("<svg")[2]
