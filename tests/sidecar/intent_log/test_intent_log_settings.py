"""Validation of `[work]` in an operator's file."""

from __future__ import annotations

from pathlib import Path

import pytest

from coveport.sidecar.config.errors import OperatorFileError
from coveport.sidecar.config.operator_file import read


@pytest.mark.parametrize(
    ("work", "reason"),
    [
        ('record = "earn"', "[work] record"),
        ('refuse = ["earn"]', "[work] refuse: 'earn' is not recorded"),
        ("kept_s = 0.0", "[work] kept_s: must be 1 s to 30 days"),
        ("pace = 0.0", "[work] pace"),
        ("body_most = -1", "[work] body_most"),
        ("keep = 1", "[work] keep: there is no such key"),
    ],
)
def test_a_file_when_a_key_of_work_is_invalid_is_rejected(work: str, reason: str) -> None:
    text = f'[instance]\nplatform = "p.json"\n[store]\nurl = "sqlite:x"\n[work]\n{work}\n'
    with pytest.raises(OperatorFileError, match=r"(?s)" + reason.replace("[", r"\[")):
        read(text, Path())
