"""The kinds of singleton tasks that the platform may require."""

from __future__ import annotations

from enum import Enum


class SingletonTaskKind(Enum):
    """A task that one coordinator at a time performs for the whole deployment."""

    USAGE_REPORTS = "usage_reports"
    FLEET_ORDERS = "fleet_orders"
