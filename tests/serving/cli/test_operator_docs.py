"""The operators' pages list every field, verb and exit code, and no field that doesn't exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from coveport.serving.cli.app import app
from coveport.serving.cli.exit_codes import ExitCode
from coveport.serving.wire import configuration as wire
from coveport.serving.wire import settings
from coveport.serving.wire.names import SETTINGS_VARIABLE

DOCS = Path(__file__).parents[3] / "docs" / "operators"
CONFIGURATION = (DOCS / "configuration.md").read_text()
COMMAND_LINE = (DOCS / "command-line.md").read_text()
START = (DOCS / "start.md").read_text()


def first_cells(text: str, heading: str) -> list[str]:
    """Return the first column of the table under a heading."""
    after = text.partition(f"| {heading} |")[2].partition("\n\n")[0]
    return re.findall(r"^\| ([^|]+?) \|", after, re.MULTILINE)


@pytest.mark.parametrize(
    ("heading", "names"),
    [
        ("Field of a route", wire.ROUTE),
        ("Field of a service", wire.SERVICE),
        ("Field of a tenant", wire.TENANT),
        ("Field of the limits", wire.CLIENT_LIMITS),
    ],
)
def test_each_table_has_the_fields_that_are_read(heading: str, names: dict[str, str]) -> None:
    assert sorted(first_cells(CONFIGURATION, heading)) == sorted(f"`{name}`" for name in names.values())


@pytest.mark.parametrize("names", [wire.CONFIGURATION, wire.ENGINE, wire.SCALING, wire.WEIGHTED_SERVICE])
def test_fields_without_a_table_are_named(names: dict[str, str]) -> None:
    assert [name for name in names.values() if f"`{name}`" not in CONFIGURATION] == []


def test_every_verb_is_documented() -> None:
    documented = " ".join(first_cells(COMMAND_LINE, "Verb"))
    verbs = [name for name in app if not name.startswith("-")]
    assert len(verbs) >= 8
    assert [verb for verb in verbs if not re.search(rf"`{verb}\b", documented)] == []
    subverbs = [
        f"{verb} {name}" for verb in ("check", "config") for name in app[verb] if not name.startswith("-")
    ]
    assert len(subverbs) == 6
    assert [verb for verb in subverbs if f"`{verb}" not in documented] == []


def test_every_exit_code_is_documented() -> None:
    assert first_cells(COMMAND_LINE, "Exit code") == [str(int(code)) for code in ExitCode]


def test_every_setting_is_in_the_page() -> None:
    fields = {value for name, value in vars(settings.Boot).items() if name.isupper()}
    assert len(fields) == 17
    assert set(re.findall(r"`(\w+)`", " ".join(first_cells(START, "Field")))) == fields


@pytest.mark.parametrize(
    "names", [settings.LISTEN, settings.LIMITS, settings.TOLERATED, settings.BOUNDS, settings.PLATFORM]
)
def test_every_setting_of_a_table_is_in_the_page(names: dict[str, str]) -> None:
    assert [name for name in (*names.values(), SETTINGS_VARIABLE) if f"`{name}`" not in START] == []


def test_links_between_pages_resolve() -> None:
    pages = [*DOCS.glob("*.md"), *DOCS.parent.glob("*.md"), DOCS.parents[1] / "README.md"]
    links = [
        (page, link.partition("#")[0])
        for page in pages
        for link in re.findall(r"\]\(([^)]+)\)", page.read_text())
        if "://" not in link and not link.startswith("#")
    ]
    assert len(links) > 30
    assert [(page.name, link) for page, link in links if not (page.parent / link).exists()] == []
