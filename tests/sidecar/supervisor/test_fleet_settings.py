"""The `[fleet]` section of an operator's file."""

from __future__ import annotations

from pathlib import Path

import pytest

from coveport.sidecar.config.errors import OperatorFileError
from coveport.sidecar.config.operator_file import read

VALID = '[instance]\nplatform = "p.json"\n[store]\nurl = "sqlite:x"\n[fleet]\nname = "shop"\n'


def test_fleet_settings_give_each_instance_its_address() -> None:
    text = VALID + 'instances = 3\n[fleet.each.shop-2]\nlisten = "127.0.0.1:8000"\n'
    fleet = read(text, Path(".")).fleet
    assert [fleet.address(name) for name in fleet.names(3)] == [
        "127.0.0.1:9100",
        "127.0.0.1:8000",
        "127.0.0.1:9102",
    ]


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("instances = 1001", "instances: must be"),
        ('listen = "here"', "listen"),
        ("hung_s = 0.0", "hung_s"),
        ("[fleet.each.other-1]\nsockets = 1", "shop-NUMBER"),
        ('[fleet.each.shop-1]\nlisten = "127.0.0.1:9101"', "would listen where"),
        ("at_once = 0", "at_once"),
        ("nonsense = 1", "no such key"),
    ],
)
def test_fleet_settings_when_invalid_are_refused(line: str, message: str) -> None:
    with pytest.raises(OperatorFileError, match=message):
        read(VALID + line + "\n", Path("."))


def test_fleet_settings_with_an_instance_name_are_refused() -> None:
    with pytest.raises(OperatorFileError, match="names of their own"):
        read(VALID.replace('"p.json"', '"p.json"\nname = "x"'), Path("."))
