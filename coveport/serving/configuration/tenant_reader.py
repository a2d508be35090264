"""Reads and validates the tenants of a configuration. Findings name tenants and positions, never a key."""

from __future__ import annotations

import re
from typing import Any, Final

from coveport.serving.configuration.raw_types import RawTenant
from coveport.serving.configuration.type_checker import Checked, TypeChecker
from coveport.serving.model.configuration import Tenant
from coveport.serving.model.findings import Findings
from coveport.serving.wire.configuration import CONFIGURATION, TENANT

_CONTROL: Final = re.compile(r"[\x00-\x1f\x7f]")  # tenant names are sent to nodes as a header value


class TenantReader:
    """Reads all tenants of one configuration."""

    def __init__(self, checker: TypeChecker, findings: Findings) -> None:
        self._checker = checker
        self._findings = findings
        self._names: set[str] = set()
        self._locations_by_key: dict[str, str] = {}  # location of the first tenant with the key

    def read(self, items: list[Any]) -> tuple[Tenant, ...]:
        """Return the tenants in a JSON list; not usable where there are findings."""
        tenants = []
        for number, item in enumerate(items):
            location = f"{CONFIGURATION['tenants']}[{number}]"
            checked = self._checker.check(RawTenant, item, location)
            if checked is not None:
                tenants.append(self._read_tenant(checked, location))
        return tuple(tenants)

    def _read_tenant(self, checked: Checked[RawTenant], location: str) -> Tenant:
        raw = checked.value
        if "name" not in checked.invalid_fields:
            self._check_name(raw.name, f"{location}.{TENANT['name']}")
        if "api_keys" not in checked.invalid_fields:
            self._check_keys(raw.api_keys, location)
        return Tenant(
            name=raw.name,
            api_keys=tuple(raw.api_keys),
            priority=None if raw.priority is None else int(raw.priority),
            home_regions=frozenset(raw.home_regions or ()),
        )

    def _check_name(self, name: str, location: str) -> None:
        if not name or name != name.strip() or _CONTROL.search(name):
            self._findings.add(location, "must be a text without control characters and spaces around it")
        elif name in self._names:
            self._findings.add(location, f"another tenant is named {name!r} too")
        self._names.add(name)

    def _check_keys(self, keys: list[str], tenant_location: str) -> None:
        for number, key in enumerate(keys):
            location = f"{tenant_location}.{TENANT['api_keys']}[{number}]"
            if not key:
                self._findings.add(location, "is empty")
                continue
            owner_location = self._locations_by_key.setdefault(key, tenant_location)
            if owner_location != tenant_location:
                self._findings.add(location, f"is a key of {owner_location} too")
