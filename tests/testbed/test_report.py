"""The report of a day: complete, self-contained, and safe to open."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from measure_books import CLASSES, Builder

from coveport.testbed import event_log
from coveport.testbed.measures import judge_expectations, measure
from coveport.testbed.outcome import Broken
from coveport.testbed.report import summary_text, verdict, write
from coveport.testbed.schema import Expect

HOSTILE = "</title><script>alert(1)</script> \"quoted\" 'so' & $x_{$ --> 五"


def eventful(title: str = "A Saturday") -> Builder:
    classes = (msgspec.structs.replace(CLASSES[0], name="$x_{$ <i>"),)
    day = Builder(
        title=title, classes=classes, length_s=40.0, settle_s=1.0, expect=Expect(service=0.9, recovery_s=1.0)
    )
    day.steady(0, 20_000)
    day.steady(20_000, 26_000, good=False)
    day.steady(26_000, 40_000)
    day.fault("heavy_tail", 20_000, 24_000)
    day.fault("cut", 22_000, 23_000, "zone bilbao")
    day.fault("kill", 39_900, 39_900, f"sidecar 1 {title}")
    for at in range(0, 40_000, 500):
        day.rows += [event_log.NodeLoad(at, node, 1, node, 0.5, 3) for node in (0, 1)]
        day.rows.append(event_log.Sample(at, 0, 20.0 + at / 10_000, 12, at / 100_000))
    day.rows += [
        event_log.NodeIs(5000, 1, "down", -1, 1, 1, 1, 0, 1, 1),
        event_log.Life(39_900, 1, "kill"),
        event_log.Life(10, 0, "start", "1"),
        event_log.Life(39_950, 1, "exit", "-9"),
    ]
    return day


def page(tmp_path: Path, day: Builder, broken: int = 0, **more: str) -> str:
    figures = measure(day.played(trace="abc"), name="saturday", variant="plain")
    judge_expectations(figures, day.scenario)
    figures.break_rules(
        [
            Broken("ran-twice", 1000.0 + one, f"op{one}", f"Twice at {day.scenario.title}")
            for one in range(broken)
        ]
    )
    write(tmp_path / "day.html", day.played(), figures, **more)
    return (tmp_path / "day.html").read_text(encoding="utf-8")


def test_it_opens_with_the_verdict_and_tells_all_faults(tmp_path: Path) -> None:
    text = page(tmp_path, eventful(), command="play saturday --seed 7")
    words = re.sub(r"\s+", " ", re.sub(r"<[^>]*>", " ", text))
    assert (
        "All rules were kept; 84.6% of the worth asked was answered in time where 90.0% was expected; "
        "2 of 2 expectations were missed (service of the whole day, "
        "longest recovery after a fault)."
    ) in words
    for fault in (
        "heavy tail nodes 1 20.0 s 24.0 s 0.0% 2.0 s later",
        "cut zone bilbao 22.0 s 23.0 s 0.0% 3.0 s later",
        "kill sidecar 1 A Saturday 39.9 s - - not seen by the end of the day",
    ):
        assert fault in words
    assert "sidecar b killed (SIGKILL)" in words and "sidecar b ended with code -9" in words
    assert "play saturday --seed 7" in words and "sidecar a started" not in words
    labels = re.findall(r'<svg role="img" aria-label="([^"]*)"', text)
    assert len(labels) == 6
    for number, kind in enumerate(("heavy tail", "cut", "kill")):
        assert len(re.findall(rf">{number} {kind}</text>", text)) == len(labels)


def test_it_needs_nothing_from_outside_and_repeats_itself(tmp_path: Path) -> None:
    text = page(tmp_path, eventful())
    assert not [url for url in re.findall(r"https?://[^\s\"'<]*", text) if "//www.w3.org/" not in url]
    assert not re.search(r"<(script|link|iframe|object)|@import|url\((?!#)", text)
    assert not re.search(r"""(src|href)="(?!#|data:image/png)""", text)
    ids = re.findall(r'\bid="([^"]*)"', text)
    assert ids and len(ids) == len(set(ids))
    assert len(text) < 500_000
    assert page(tmp_path, eventful()) == text
    assert not re.search("#0a0b", text)  # a colour that the page's theme would not reach


def test_hostile_text_stays_text_and_breaches_are_listed_up_to_a_point(tmp_path: Path) -> None:
    text = page(tmp_path, eventful(HOSTILE), 230, command=HOSTILE)
    assert "<script" not in text.lower() and text.count("</title>") == 1
    assert "$x_{$ &lt;i&gt;: latency</text>" in text
    assert text.count("&lt;script&gt;alert(1)") == 204  # title twice, a fault, 200 breaches, the command
    assert "1 rule was broken (ran-twice; 230 breaches, the first after 1.0 s)" in text
    assert text.count("<code>ran-twice</code>") == 200 and "230 in all; the first 200 are listed" in text


@pytest.mark.parametrize("length", [0.4, 2.0, 3000.0])
def test_empty_short_and_long_days_have_a_report_too(tmp_path: Path, length: float) -> None:
    day = Builder(length_s=length, classes=CLASSES[:1])
    assert "0.0% of the worth asked" in page(tmp_path, day)
    day.served("only", 100.0)
    assert "100.0% of the worth asked" in page(tmp_path, day)


def test_summary_for_a_terminal() -> None:
    day = eventful()
    figures = measure(day.played(late=True), name="saturday")
    judge_expectations(figures, day.scenario)
    figures.break_rules([Broken("body", 1.0, "op", "no node made it")] * 12)
    lines = summary_text(figures).splitlines()
    assert lines[0] == "saturday: A Saturday (seed 7, virtual)"
    assert lines[1] == verdict(figures) and lines[1].startswith("Void")
    assert "  MISSED  service of the whole day: 84.6% (at least 90.0%)" in lines
    assert "  BROKEN  body after 0.001 s: no node made it" in lines and "  and 2 more" in lines
    assert any("0 heavy_tail: 2.0 s" in line and "2 kill: never" in line for line in lines)


def test_the_plots_library_is_loaded_for_a_report_alone() -> None:
    code = (
        "import sys, coveport.testbed, coveport.testbed.measures, coveport.testbed.report; "
        "sys.exit('matplotlib' in sys.modules)"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
