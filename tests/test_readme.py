"""The README's example runs as it stands."""

from __future__ import annotations

import re
from pathlib import Path

import pytest


def test_the_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(code, "README.md", "exec"), {})
    assert "send request 1 to host" in capsys.readouterr().out
