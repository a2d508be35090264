"""The operator's own file (TOML): what of the fleet's parts an instance takes part in.

Never read on the platform. Read with a schema, and all that is wrong with it is said at once.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, Literal

import msgspec

from coveport.config.terms import BadTermsError, Terms


class OperatorFileError(Exception):
    """The file can't be used; a line for each fault."""


class Instance(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[instance]`: who this is."""

    platform: str  # the platform's JSON file, from this file's folder
    name: str = ""  # empty: the platform file's, or LB_NAME


class Stored(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[store]`: where leases are kept."""

    url: str  # sqlite:PATH | etcd://HOST:PORT,HOST:PORT
    prefix: str = "coveport/"


class Leases(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[leases]`: seconds, and drift as a share."""

    ttl: float = 3.0
    margin: float = 0.2
    drift: float = 0.02


class Duties(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[duties]`: which of them this instance contends for."""

    warden: bool = False
    rollout: bool = False
    looking: bool = False
    drill: bool = False

    def wished(self, zone: int) -> tuple[str, ...]:
        """The duties that are held by one at a time, for an instance of that zone."""
        named = {"warden": f"warden@{zone}", "rollout": "rollout", "drill": "drill"}
        return tuple(duty for name, duty in named.items() if getattr(self, name))


class Work(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[work]`: which operations are written down, so that another instance goes on with them."""

    record: tuple[str, ...] = ()  # names of classes
    refuse: tuple[str, ...] = ()  # of those, what is turned away while the store is gone
    by_request_id: bool = False  # tills that ask again bear the same X-Request-Id
    key_file: str = ""  # from this file's folder; empty: requests and answers are left out
    kept_s: float = 600.0  # how long a closed one is kept for who asks again
    body_most: int = 65536  # bytes; longer bodies are left out
    pace: float = 50.0  # of lost ones' records, taken up a second


class Logged(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[log]`: JSON lines of what is held and done."""

    path: str = ""  # empty: standard error
    level: Literal["debug", "info"] = (
        "info"  # debug: each renewal and each act, as a trial's judge wants them
    )


class OperatorFile(msgspec.Struct, frozen=True):
    """The whole file, checked."""

    instance: Instance
    store: Stored
    leases: Leases
    duties: Duties
    log: Logged
    work: Work
    folder: Path

    @property
    def terms(self) -> Terms:
        """What leases are asked for."""
        return Terms(self.leases.ttl, self.leases.margin, self.leases.drift)

    @property
    def platform(self) -> Path:
        """The platform's JSON file."""
        return self.folder / self.instance.platform

    @property
    def sqlite(self) -> Path | None:
        """The file of the store, where it is one."""
        kind, _, rest = self.store.url.partition(":")
        return self.folder / rest if kind == "sqlite" else None

    @property
    def work_prefix(self) -> str:
        """Under which records stand: beside what all instances watch."""
        return self.store.prefix.rstrip("/") + "-work/"

    @property
    def key_file(self) -> Path | None:
        """The keys that seal what is members' data; None: it is left out."""
        return self.folder / self.work.key_file if self.work.key_file else None

    @property
    def endpoints(self) -> tuple[str, ...]:
        """The members of the engine, where the store is one."""
        kind, _, rest = self.store.url.partition("://")
        return tuple(part.strip() for part in rest.split(",")) if kind == "etcd" else ()


SECTIONS: dict[str, type[msgspec.Struct]] = {
    "instance": Instance, "store": Stored, "leases": Leases, "duties": Duties, "log": Logged,
    "work": Work}


def _section(name: str, kind: type[msgspec.Struct], told: Any, faults: list[str]) -> Any:
    """One section; each of its faults by itself, so that one does not hide the next."""
    if not isinstance(told, dict):
        faults.append(f"[{name}] must be a section")
        return None
    known = {one.name: one for one in msgspec.structs.fields(kind)}
    before = len(faults)
    faults += [f"[{name}] {key}: there is no such key; there are {', '.join(known)}"
               for key in told if key not in known]
    for key, one in known.items():
        if key in told:
            try:
                msgspec.convert(told[key], one.type)
            except msgspec.ValidationError as problem:
                faults.append(f"[{name}] {key}: {str(problem).lower()}")
        elif one.required:
            faults.append(f"[{name}] {key} is missing")
    return msgspec.convert(told, kind) if len(faults) == before else None


def read(text: str, folder: Path) -> OperatorFile:
    """Read and check a file's text; OperatorFileError says all that is wrong with it, a line each."""
    try:
        told = tomllib.loads(text)
    except tomllib.TOMLDecodeError as problem:
        raise OperatorFileError(f"not TOML: {problem}") from problem
    faults = [f"[{name}]: there is no such section; there are {', '.join(SECTIONS)}"
              for name in told if name not in SECTIONS]
    parts = {name: _section(name, kind, told.get(name, {}), faults) for name, kind in SECTIONS.items()}
    store, leases = parts["store"], parts["leases"]
    if store is not None:
        kind, _, rest = store.url.partition(":")
        if kind not in ("sqlite", "etcd") or not rest.strip("/"):
            faults.append(f"[store] url: sqlite:PATH or etcd://HOST:PORT,..., not {store.url!r}")
        elif kind == "etcd":
            for one in rest.removeprefix("//").split(","):
                host, _, port = one.strip().rpartition(":")
                if not host or not port.isdecimal() or not 0 < int(port) < 65536:
                    faults.append(f"[store] url: {one!r} is no HOST:PORT")
        if not store.prefix.endswith("/"):
            faults.append(f"[store] prefix must end with a slash, not {store.prefix!r}")
    if leases is not None:
        try:
            Terms(leases.ttl, leases.margin, leases.drift).check()
        except BadTermsError as problem:
            faults.append(f"[leases] {problem}")
        if store is not None and store.url.startswith("etcd:") and leases.ttl != int(leases.ttl):
            faults.append(f"[leases] ttl: such a store counts in whole seconds, not {leases.ttl:g}")
    work = parts["work"]
    if work is not None:
        faults += [f"[work] refuse: {name!r} is not recorded" for name in work.refuse
                   if name not in work.record]
        faults += [f"[work] {name}: must be {said}, not {value!r}" for name, value, least, most, said in (
            ("kept_s", work.kept_s, 1.0, 86400.0 * 30, "1 s to 30 days"),
            ("body_most", work.body_most, 0, 262144, "0 to 262144 bytes"),
            ("pace", work.pace, 0.1, 10000.0, "0.1 to 10000 a second")) if not least <= value <= most]
    if faults:
        raise OperatorFileError("\n".join(faults))
    return OperatorFile(folder=folder, **parts)


def load(path: Path) -> OperatorFile:
    """Read a file; its faults are said with its name."""
    try:
        return read(path.read_text(encoding="utf-8"), path.resolve().parent)
    except (OperatorFileError, UnicodeDecodeError) as problem:
        raise OperatorFileError(
            "\n".join(f"{path}: {line}" for line in str(problem).splitlines())
        ) from problem
