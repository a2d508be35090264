"""Simulated days are functions of their seeds, whatever Python's hash seed is."""

from __future__ import annotations

from typing import Any

import pytest

from coveport.system.proxy.routing import open_nodes


@pytest.fixture(autouse=True)
def _candidates_in_one_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """Nodes stand in a map that is ordered by hashes of texts, and two are drawn from it by their places."""

    def in_order(*told: Any) -> list[Any]:
        return sorted(open_nodes(*told), key=lambda known: known.node.incarnation)

    monkeypatch.setattr("coveport.system.proxy.selection.open_nodes", in_order)
