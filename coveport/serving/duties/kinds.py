"""The kinds of duties that the platform may want."""

from __future__ import annotations

from enum import Enum


class SingletonTaskKind(Enum):
    """What one coordinator at a time does for all."""

    USAGE_REPORTS = "usage_reports"
    FLEET_ORDERS = "fleet_orders"
