"""Each bound below the time that this system requires is logged with its key."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest
from settings_examples import PROXY, read_valid

from coveport.serving.proxy.subscription import ANSWER_TIMEOUT_S, CONNECT_TIMEOUT_S
from coveport.serving.role_process import log_tight_bounds
from coveport.serving.settings.boot import Bounds
from coveport.serving.settings.bound_checks import REQUIRED_TIMES, tight_bounds
from coveport.serving.wire.settings import BOUNDS


def test_default_bounds_are_not_too_tight() -> None:
    assert list(tight_bounds(Bounds())) == []


@pytest.mark.parametrize("required", REQUIRED_TIMES, ids=[required.field for required in REQUIRED_TIMES])
def test_each_bound_below_its_required_time_is_logged_once_by_its_key(required: Any) -> None:
    events: list[dict[str, Any]] = []

    class Log:
        def warning(self, event: str, **values: Any) -> None:
            assert event == "bound_too_tight"
            events.append(values)

    tight = replace(Bounds(), **{required.field: required.needed - 0.1})
    log_tight_bounds(replace(read_valid(PROXY), bounds=tight), Log())  # type: ignore[arg-type]
    assert [event["key"] for event in events] == [BOUNDS[required.field]]
    assert list(tight_bounds(replace(Bounds(), **{required.field: required.needed}))) == []


def test_time_to_leave_an_unresponsive_coordinator_matches_the_subscription() -> None:
    needed_by_field = {time.field: time.needed for time in REQUIRED_TIMES}
    assert needed_by_field["config_apply_ms"] == 1000 * (ANSWER_TIMEOUT_S + CONNECT_TIMEOUT_S)
