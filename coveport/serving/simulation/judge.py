"""Judges a day by its event log alone, by the operators' rules. Pure.

The judge is more lenient than the operators' rules in two places: a machine counts as unreachable while any
fault names it, however small the fault's effect; and the judge does not see bodies that pass through machines
of other regions.
"""

from __future__ import annotations

from coveport.serving.settings.boot import Bounds
from coveport.serving.simulation import control_rules, request_rules, tenant_rules
from coveport.serving.simulation.events import EventLog
from coveport.serving.simulation.history import Breach, History

RULES = (
    request_rules.mixed,
    request_rules.order,
    request_rules.unasked,
    request_rules.twice,
    request_rules.refused,
    request_rules.denied,
    request_rules.route,
    request_rules.home,
    tenant_rules.unknown_key,
    tenant_rules.tenant_name,
    request_rules.lost,
    control_rules.drain,
    control_rules.evacuation,
    control_rules.failback,
    control_rules.budget,
    control_rules.configuration,
)


def judge(event_log: EventLog, bounds: Bounds, core_size: int = 3) -> list[Breach]:
    """Return all breaches of a day in order of time. `core_size`: the number of coordinators."""
    history = History.of(event_log, bounds, core_size)
    found = [breach for rule in RULES for breach in rule(history)]
    return sorted(found, key=lambda breach: breach.at_s)
