"""Reads single fields of a parsed TOML file, and collects faults with their locations."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any, TypeVar

from coveport.net.address import Address, parse_address
from coveport.serving.model.findings import Findings

Value = TypeVar("Value")


class FieldReader:
    """Reads the fields of one file.

    Each method always returns a value of the right type: a faulty field adds a finding and reads as a
    harmless default, so that all faults of a file are found in one run.
    """

    def __init__(self, data: Mapping[str, Any], findings: Findings) -> None:
        self.data = data
        self.findings = findings

    def required(self, name: str, kind: type[Value], default: Value) -> Value:
        """Return a required field of a type; a string must not be empty."""
        if name not in self.data:
            self.findings.add(name, "is missing")
            return default
        value: Value = self.data[name]
        if not isinstance(value, kind):
            self.findings.add(name, f"must be {'true or false' if kind is bool else 'a string'}")
            return default
        if value == "":
            self.findings.add(name, "is empty")
        return value

    def required_strings(self, name: str) -> tuple[str, ...]:
        """Return a required list of strings at the top level."""
        return self.strings(self.data, name, name)

    def strings(self, table: Mapping[str, Any], name: str, location: str) -> tuple[str, ...]:
        """Return a required list of strings of a table."""
        value = table.get(name)
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return tuple(value)
        self.findings.add(location, "is missing" if value is None else "must be a list of strings")
        return ()

    def flag(self, table: Mapping[str, Any], name: str, location: str) -> bool:
        """Return a boolean of a table; the caller has checked that the field is present."""
        value = table[name]
        if isinstance(value, bool):
            return value
        self.findings.add(location, "must be true or false")
        return False

    def table(self, name: str) -> Mapping[str, Any]:
        """Return a table; empty where it is missing."""
        value = self.data.get(name, {})
        if isinstance(value, dict):
            return value
        self.findings.add(name, "must be a table")
        return {}

    def address(self, text: object, location: str) -> Address | None:
        """Return the address, IP and port, in a text; None where the text is not an address."""
        try:
            return parse_address(text)
        except ValueError as error:
            self.findings.add(location, f"must be an address such as 10.0.0.1:80 ({error})")
            return None

    def number(
        self, table: Mapping[str, Any], name: str, location: str, *, is_zero_allowed: bool = True
    ) -> float:
        """Return a required number of a table; it must be finite and not negative."""
        if name not in table:
            self.findings.add(location, "is missing")
            return 0.0
        value = table[name]
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            self.findings.add(location, "must be a number")
            return 0.0
        if value < 0:
            self.findings.add(location, "must not be negative")
        elif value == 0 and not is_zero_allowed:
            self.findings.add(location, "must be above 0")
        return value
