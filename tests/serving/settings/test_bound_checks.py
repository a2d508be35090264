"""Bounds that are tighter than what this system needs are logged, each with its key."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from settings_examples import PROXY, read_valid

from coveport.serving.proxy.subscription import ANSWER_TIMEOUT_S, CONNECT_TIMEOUT_S
from coveport.serving.role_process import log_tight_bounds
from coveport.serving.settings.boot import Bounds
from coveport.serving.settings.bound_checks import OWN_TIMES, tight_bounds
from coveport.serving.wire.settings import BOUNDS


def test_the_usual_bounds_are_wide_enough() -> None:
    assert list(tight_bounds(Bounds())) == []


@pytest.mark.parametrize("own", OWN_TIMES, ids=[own.field for own in OWN_TIMES])
def test_each_bound_below_what_is_needed_is_logged_once_by_its_key(own: Any) -> None:
    events: list[dict[str, Any]] = []

    class Log:
        def warning(self, event: str, **values: Any) -> None:
            assert event == "bound_too_tight"
            events.append(values)

    tight = replace(Bounds(), **{own.field: own.needed - 0.1})
    log_tight_bounds(replace(read_valid(PROXY), bounds=tight), Log())  # type: ignore[arg-type]
    assert [event["key"] for event in events] == [BOUNDS[own.field]]
    assert list(tight_bounds(replace(Bounds(), **{own.field: own.needed}))) == []


def test_the_time_to_leave_a_silent_coordinator_is_that_of_the_subscription() -> None:
    needed = {own.field: own.needed for own in OWN_TIMES}
    assert needed["config_apply_ms"] == 1000 * (ANSWER_TIMEOUT_S + CONNECT_TIMEOUT_S)
