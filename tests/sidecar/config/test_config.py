"""An invalid configuration is reported in one line, before the process starts to serve."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from coveport.sidecar.config import platform
from coveport.sidecar.config.errors import PlatformFileError

EXAMPLE = json.loads((Path(__file__).parents[3] / "example/config.json").read_text())


def example_with(key: str, value: object) -> str:
    """Return the example with one value replaced; a list's element is given by its index."""
    document: Any = json.loads(json.dumps(EXAMPLE))
    *parents, last = key.split(".")
    container = document
    for parent in parents:
        container = container[int(parent) if parent.isdecimal() else parent]
    container[last] = value
    return json.dumps(document)


HUGE = 10**400


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("limits.sockets", HUGE),
        ("limits.memory_mb", HUGE),
        ("limits.sockets", 0.5),
        ("limits.sockets", 0),
        ("settings.limits.keepalive_ms", HUGE),
        ("settings.classes.0.gain", HUGE),
        ("settings.classes.0.aim_ms", HUGE),
        ("settings.prices.waste", HUGE),
        ("settings.zone", []),
        ("settings.classes.0.name", 3),
        ("settings.classes.0.name", ["a"]),
        ("settings.telemetry.fields", [["a"]]),
        ("listen", "fe80::1%a..b:80"),
    ],
    ids=lambda value: str(value)[:30],
)
def test_a_value_that_would_fail_later_is_rejected(key: str, value: object) -> None:
    # Found by fuzzing: such values caused a traceback at the start, the first operation or the first answer.
    assert platform.read(json.dumps(EXAMPLE), {}).sockets == 1024
    with pytest.raises(PlatformFileError) as error:
        platform.read(example_with(key, value), {})
    assert "\n" not in str(error.value)
