"""What can't be used of a configuration is told in one line, before anything starts."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from coveport.sidecar.config import platform

GOOD = json.loads((Path(__file__).parents[3] / "example/config.json").read_text())


def laid(key: str, value: object) -> str:
    """The example with one value laid over it, positions in lists by number."""
    told: Any = json.loads(json.dumps(GOOD))
    here, parts = told, key.split(".")
    for part in parts[:-1]:
        here = here[int(part) if part.isdecimal() else part]
    here[parts[-1]] = value
    return json.dumps(told)


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
    ids=lambda one: str(one)[:30],
)
def test_what_would_fail_later_is_refused(key: str, value: object) -> None:
    # Seen in fuzzing: a traceback at the start, at the first operation or at the first answer.
    assert platform.read(json.dumps(GOOD), {}).sockets == 1024
    with pytest.raises(platform.ConfigError) as problem:
        platform.read(laid(key, value), {})
    assert "\n" not in str(problem.value)
