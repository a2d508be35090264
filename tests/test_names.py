"""Nothing is decided by a name: the same day with all names changed gets the same decisions."""

from __future__ import annotations

import tomllib
from itertools import product
from pathlib import Path

import pytest
from helpers import SAFE, Driver, settings
from msgspec.structs import replace

from coveport import balancing
from coveport.testbed import scenario, scenario_file
from coveport.testbed.drawing import draw
from coveport.testbed.event_log import Answered, Arrived, Asked
from coveport.testbed.simulated_network.play import play_day

ROOT = Path(__file__).parent.parent
DAY = """
title = "More than all can do"
length_s = 6
load.level = 1.3
faults = [
    {kind = "errors", at_s = 1, for_s = 4, size = 0.05},
    {kind = "drain", at_s = 2, for_s = 3, gone_s = 2, whom = {count = 2}},
]
"""
# As many letters each, in the other order by alphabet.
NAMES = {
    "classes.0.name": ("alpha01", "zulu001"),
    "classes.1.name": ("bravo01", "yankee1"),
    "classes.2.name": ("charly1", "xray001"),
    "fleet.kinds.0.name": ("mike001", "papa001"),
    "fleet.kinds.1.name": ("november", "oscar001"),
}
ZONES = ('fleet.zones=["north","middl","south"]', 'fleet.zones=["south","north","middl"]')


def named(which: int) -> scenario.Scenario:
    sets = [f'{key}="{names[which]}"' for key, names in NAMES.items()]
    return scenario_file.parse(DAY, "names", (*sets, ZONES[which]))


def decided(which: int) -> list[tuple[object, ...]]:
    """Who was asked what, where it went and how it ended: one day, drawn once, under these names."""
    played = play_day(replace(draw(named(0), 5), scenario=named(which)))
    found = list[tuple[object, ...]]()
    for row in played.rows:
        if isinstance(row, Asked):
            found.append((row.at, row.op, row.sidecar, row.cls))
        elif isinstance(row, Arrived):
            found.append((row.at, row.op, row.sidecar, row.node, row.took))
        elif isinstance(row, Answered):
            found.append((row.at, row.op, row.status, row.retry_after_ms))
    return found


def test_a_day_with_all_names_changed_is_the_same_day() -> None:
    first = decided(0)
    assert len(first) > 1000 and first == decided(1)


def test_of_equal_classes_no_name_goes_first() -> None:
    # Of what was held, lines of equal rank went by their classes' names.
    logs = []
    for names in (("a", "b", "c"), ("c", "b", "a")):
        classes = tuple(
            balancing.RequestClass(
                name=name, aim_ms=SAFE.aim_ms, deadline_ms=SAFE.deadline_ms, effect=SAFE.effect
            )
            for name in names
        )
        driver = Driver(settings(*classes, peers=1), ())
        for number in range(30):
            driver.request(number % 3)
        driver.feed(
            balancing.EndpointUpdate(
                balancing.EndpointUpdateKind.FULL,
                (balancing.Endpoint(100, 0, 0), balancing.Endpoint(101, 0, 0)),
            )
        )
        for _ in range(20):
            driver.advance(10)
            for sent in list(driver.flying.values()):
                driver.reply(sent)
        logs.append([(sent.id, sent.host, sent.at) for sent in driver.log])
    assert len(logs[0]) == 30 and logs[0] == logs[1]


SOURCES = [
    path for folder in ("coveport",) for path in (ROOT / folder).rglob("*.py") if "testbed" not in path.parts
]


@pytest.mark.parametrize("name", ["deploy/balancer.toml", *(str(one.relative_to(ROOT)) for one in SOURCES)])
def test_no_file_of_the_program_names_a_class_or_a_zone_of_a_site(name: str) -> None:
    text = (ROOT / name).read_text(encoding="utf-8")
    words = set[str]()
    for path in (ROOT / "deploy" / "sites").glob("*/*.toml"):
        site = tomllib.loads(path.read_text(encoding="utf-8"))
        words |= {site["name"], *site["net"]["zones"], *(one["name"] for one in site["class"])}
        words |= {one["name"] for tier in site["tier"] for one in (tier, *tier["kind"])}
    assert len(words) > 10
    words |= {"balance", "earn", "redeem", "bilbao", "oviedo", "pamplona", "ledger-norte"}
    for word, quote in product(words, "\"'"):
        assert f"{quote}{word}{quote}" not in text
