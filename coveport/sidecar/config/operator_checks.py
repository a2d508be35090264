"""Checks the sections of the operator's file beyond what their types check.

The module is pure: it does no I/O, and uses no clock or random source of its own.

Each check returns one line per fault; the line names the section and the key.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Any, Final, NamedTuple

import msgspec

from coveport.net.address import parse_address
from coveport.sidecar.config.errors import LeaseTermsError
from coveport.sidecar.config.lease_terms import LeaseTerms
from coveport.sidecar.config.operator_sections import (
    MAX_INSTANCES,
    Fleet,
    InstanceSection,
    IntentLogSection,
    LeaseSection,
    StoreSection,
)

MAX_PORT: Final = 65535
NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9.-]{0,62}")
_HOUR_S: Final = 3600.0
_DAY_S: Final = 24 * _HOUR_S


class Bounds(NamedTuple):
    """The range that a number must be in, both ends included."""

    key: str
    minimum: float
    maximum: float
    text: str = ""  # the range as written in an error message; empty: MINIMUM to MAXIMUM

    def accepts(self, section: msgspec.Struct) -> bool:
        """Return whether the section's value is within the bounds."""
        value: float = getattr(section, self.key)
        return self.minimum <= value <= self.maximum


_INTENT_LOG_BOUNDS: Final = (
    Bounds("kept_s", 1.0, 30 * _DAY_S, "1 s to 30 days"),
    Bounds("body_most", 0, 262144, "0 to 262144 bytes"),
    Bounds("pace", 0.1, 10000.0, "0.1 to 10000 a second"),
)
_FLEET_BOUNDS: Final = (
    Bounds("instances", 0, MAX_INSTANCES),
    Bounds("at_once", 1, MAX_INSTANCES),
    Bounds("a_second", 0.01, 1000),
    Bounds("ready_s", 0.5, _HOUR_S),
    Bounds("stop_s", 1, _HOUR_S),
    Bounds("hung_s", 0.2, _HOUR_S),
    Bounds("backoff_s", 0.01, _HOUR_S),
    Bounds("backoff_most_s", 0.01, _DAY_S),
    Bounds("loop", 2, 1000),
    Bounds("loop_s", 1, _DAY_S),
    Bounds("rest_s", 1, _DAY_S),
    Bounds("hold_s", 0, _HOUR_S),
    Bounds("young_s", 0, _DAY_S),
    Bounds("sockets", 0, 1 << 20),
    Bounds("memory_mb", 0, 1 << 20),
)


def store_faults(store: StoreSection) -> list[str]:
    """Return the faults of `[store]`."""
    faults = list(_url_faults(store.url))
    if not store.prefix.endswith("/"):
        faults.append(f"[store] prefix must end with a slash, not {store.prefix!r}")
    return faults


def _url_faults(url: str) -> Iterator[str]:
    kind, _, rest = url.partition(":")
    if kind not in ("sqlite", "etcd") or not rest.strip("/"):
        yield f"[store] url must be sqlite:PATH or etcd://HOST:PORT,..., not {url!r}"
    elif kind == "etcd":
        for endpoint in rest.removeprefix("//").split(","):
            if not _is_endpoint(endpoint.strip()):
                yield f"[store] url: {endpoint!r} is no HOST:PORT"


def _is_endpoint(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdecimal() and 0 < int(port) <= MAX_PORT


def lease_faults(leases: LeaseSection, store: StoreSection | None) -> list[str]:
    """Return the faults of `[leases]`; `store`: the `[store]` section, None if unreadable."""
    faults = []
    try:
        LeaseTerms(leases.ttl, leases.margin, leases.drift).check()
    except LeaseTermsError as error:
        faults.append(f"[leases] {error}")
    if store is not None and store.url.startswith("etcd:") and leases.ttl != int(leases.ttl):
        faults.append(f"[leases] ttl: an etcd store counts in whole seconds, not {leases.ttl:g}")
    return faults


def intent_log_faults(intent_log: IntentLogSection) -> list[str]:
    """Return the faults of `[work]`."""
    faults = [
        f"[work] refuse: {name!r} is not recorded"
        for name in intent_log.refuse
        if name not in intent_log.record
    ]
    faults += [
        f"[work] {bounds.key}: must be {bounds.text}, not {getattr(intent_log, bounds.key)!r}"
        for bounds in _INTENT_LOG_BOUNDS
        if not bounds.accepts(intent_log)
    ]
    return faults


def fleet_faults(fleet: Fleet, instance: InstanceSection | None) -> list[str]:
    """Return the faults of `[fleet]`; `instance`: the `[instance]` section, None if unreadable."""
    faults = [
        f"[fleet] {bounds.key}: must be {bounds.minimum:g} to {bounds.maximum:g}, "
        f"not {getattr(fleet, bounds.key):g}"
        for bounds in _FLEET_BOUNDS
        if not bounds.accepts(fleet)
    ]
    if fleet.name and not NAME.fullmatch(fleet.name):
        faults.append(f"[fleet] name must consist of letters, digits, dots and dashes, not {fleet.name!r}")
    if fleet.name and instance is not None and instance.name:
        faults.append("[instance] name must be left out: a fleet's instances have names of their own")
    faults += _address_faults(fleet)
    faults += [
        f"[fleet.each.{name}]: an instance's name must be {fleet.name}-NUMBER"
        for name in fleet.each
        if not fleet.number(name)
    ]
    return faults


def _address_faults(fleet: Fleet) -> list[str]:
    """Return the faults of the instances' addresses, up to the first malformed address."""
    faults: list[str] = []
    owners: dict[str, str] = {}
    try:
        parse_address(fleet.listen)
        for name in fleet.names(min(fleet.instances, MAX_INSTANCES)):
            address = fleet.address(name)
            parse_address(address)
            if owners.setdefault(address, name) != name:
                faults.append(f"[fleet] {name} would listen where {owners[address]} does: {address}")
    except ValueError as error:
        faults.append(f"[fleet] listen: {error}")
    return faults


def schema_faults(name: str, kind: type[msgspec.Struct], section: Any) -> list[str]:
    """Return the faults of a section: all unknown keys, missing keys and values of the wrong type."""
    if not isinstance(section, dict):
        return [f"[{name}] must be a section"]
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    faults = [
        f"[{name}] {key}: there is no such key; there are {', '.join(fields)}"
        for key in section
        if key not in fields
    ]
    for key, field in fields.items():
        if key not in section:
            if field.required:
                faults.append(f"[{name}] {key} is missing")
            continue
        try:
            msgspec.convert(section[key], field.type)
        except msgspec.ValidationError as error:
            faults.append(f"[{name}] {key}: {str(error).lower()}")
    return faults
