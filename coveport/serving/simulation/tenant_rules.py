"""The rules on tenants' API keys: which requests may run, and for which tenant. Pure."""

from __future__ import annotations

from collections.abc import Iterator

from coveport.serving.simulation.events import AttemptStarted, RequestArrived
from coveport.serving.simulation.history import Breach, History, Version


def unknown_key(history: History) -> Iterator[Breach]:
    """Report each request that ran although no configuration that was ever sent admits its key."""
    for attempt_id, runs in history.ran.items():
        started = history.attempts.get(attempt_id)
        if started is None or not history.versions:
            continue
        if not any(version.admits(started) for version in history.versions):
            yield Breach("ROUTE", runs[0].at_s, f"try {attempt_id} ran, its key was never held")


def tenant_name(history: History) -> Iterator[Breach]:
    """Report each request that reached a node with its API key, or that ran for the wrong tenant."""
    for arrival in history.arrivals:
        if not any(ran.incarnation == arrival.incarnation for ran in history.ran.get(arrival.attempt_id, [])):
            continue
        started = history.attempts.get(arrival.attempt_id)
        if started is None:
            continue
        if arrival.api_key:
            yield Breach("UNASKED", arrival.at_s, f"try {arrival.attempt_id} reached a node with its key")
        breach = _name_breach(history, started, arrival)
        if breach is not None:
            yield breach


def _name_breach(history: History, started: AttemptStarted, arrival: RequestArrived) -> Breach | None:
    """Return the breach of a request whose key some version admits; `unknown_key` reports unknown keys."""
    possible = [
        version
        for version in history.versions
        if version.may_be_in_force and version.started.at_s <= arrival.at_s and version.admits(started)
    ]
    if not possible or arrival.tenant in _names(possible, started):
        newest = _newest_required(history, started)
        required = [version for version in possible if version.edition >= newest]
        if not required or arrival.tenant in _names(required, started):
            return None
        text = f"try {started.attempt_id} ran for tenant {arrival.tenant!r} as before edition {newest}"
        return Breach("CONFIG", arrival.at_s, text)
    text = f"try {started.attempt_id} ran for tenant {arrival.tenant!r}, which doesn't hold its key"
    return Breach("UNASKED", arrival.at_s, text)


def _names(versions: list[Version], started: AttemptStarted) -> set[str]:
    """Return the tenant names that a request may run for; "" stands for no tenant."""
    holders = (version.tenant(started.api_key) for version in versions)
    return {holder.name if holder is not None else "" for holder in holders}


def _newest_required(history: History, started: AttemptStarted) -> int:
    """Return the newest edition that must have been in force for an attempt; 0 if there is none."""
    allowance_s = history.allowance_s(started.attempt_id, started.at_s)
    if allowance_s is None:
        return 0
    bound_s = history.bounds.config_apply_ms / 1000 + allowance_s
    return history.newest_acknowledged(started.at_s - bound_s)
