"""The operator's file (TOML): settings of the fleet's coordination, and an instance's part in it.

Instances on the platform don't read such a file. All faults of a file are reported at once.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, Final

import msgspec

from coveport.sidecar.config import operator_checks as checks
from coveport.sidecar.config.errors import OperatorFileError
from coveport.sidecar.config.lease_terms import LeaseTerms
from coveport.sidecar.config.operator_sections import (
    Fleet,
    InstanceSection,
    IntentLogSection,
    LeaseSection,
    LogSection,
    SingletonSection,
    StoreSection,
)


class OperatorFile(msgspec.Struct, frozen=True):
    """The checked settings of the complete file."""

    instance: InstanceSection
    store: StoreSection
    leases: LeaseSection
    duties: SingletonSection
    log: LogSection
    work: IntentLogSection
    fleet: Fleet
    folder: Path  # the folder of the file, to which paths in it are relative

    @property
    def terms(self) -> LeaseTerms:
        """The terms of the instance's lease."""
        return LeaseTerms(self.leases.ttl, self.leases.margin, self.leases.drift)

    @property
    def platform(self) -> Path:
        """The platform's JSON file."""
        return self.folder / self.instance.platform

    @property
    def sqlite(self) -> Path | None:
        """The file of an SQLite store; None for any other store."""
        kind, _, rest = self.store.url.partition(":")
        return self.folder / rest if kind == "sqlite" else None

    @property
    def endpoints(self) -> tuple[str, ...]:
        """The members of an etcd store, as HOST:PORT; empty for any other store."""
        kind, _, rest = self.store.url.partition("://")
        return tuple(endpoint.strip() for endpoint in rest.split(",")) if kind == "etcd" else ()

    @property
    def work_prefix(self) -> str:
        """The key prefix of the intent log in the store; instances don't watch keys under it."""
        return self.store.prefix.rstrip("/") + "-work/"

    @property
    def fleet_prefix(self) -> str:
        """The key prefix of the supervisors in the store; supervisors are not instances."""
        return self.store.prefix.rstrip("/") + "-fleet/"

    @property
    def fleet_folder(self) -> Path:
        """The folder of the fleet's state on this host."""
        return self.folder / self.fleet.state

    @property
    def key_file(self) -> Path | None:
        """The file of the keys that encrypt members' data; None: members' data is not stored."""
        return self.folder / self.work.key_file if self.work.key_file else None


SECTIONS: Final[dict[str, type[msgspec.Struct]]] = {
    "instance": InstanceSection,
    "store": StoreSection,
    "leases": LeaseSection,
    "duties": SingletonSection,
    "log": LogSection,
    "work": IntentLogSection,
    "fleet": Fleet,
}


def load(path: Path) -> OperatorFile:
    """Read and check a file; raise OperatorFileError, whose lines each begin with the path."""
    try:
        return read(path.read_text(encoding="utf-8"), path.resolve().parent)
    except (OperatorFileError, UnicodeDecodeError) as error:
        faults = "\n".join(f"{path}: {line}" for line in str(error).splitlines())
        raise OperatorFileError(faults) from error


def read(text: str, folder: Path) -> OperatorFile:
    """Read and check a file's text; raise OperatorFileError with a line for each fault."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise OperatorFileError(f"not TOML: {error}") from error
    faults = [
        f"[{name}]: there is no such section; there are {', '.join(SECTIONS)}"
        for name in document
        if name not in SECTIONS
    ]
    sections = {
        name: _read_section(name, kind, document.get(name, {}), faults) for name, kind in SECTIONS.items()
    }
    faults += _section_faults(sections)
    if faults:
        raise OperatorFileError("\n".join(faults))
    return OperatorFile(folder=folder, **sections)


def _read_section(name: str, kind: type[msgspec.Struct], section: Any, faults: list[str]) -> Any:
    """Return a section as an instance of its class; None if there are faults, which are added to `faults`."""
    own_faults = checks.schema_faults(name, kind, section)
    faults += own_faults
    return None if own_faults else msgspec.convert(section, kind)


def _section_faults(sections: dict[str, Any]) -> list[str]:
    """Return the faults of the sections that could be read."""
    store = sections["store"]
    faults: list[str] = []
    if store is not None:
        faults += checks.store_faults(store)
    if sections["leases"] is not None:
        faults += checks.lease_faults(sections["leases"], store)
    if sections["work"] is not None:
        faults += checks.intent_log_faults(sections["work"])
    if sections["fleet"] is not None:
        faults += checks.fleet_faults(sections["fleet"], sections["instance"])
    return faults
