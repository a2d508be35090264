"""The operator's own file (TOML): what of the fleet's parts an instance takes part in.

Never read on the platform. Read with a schema, and all that is wrong with it is said at once.
"""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, Literal

import msgspec

from coveport.net.address import parse_address
from coveport.sidecar.config.lease_terms import LeaseTerms, LeaseTermsError

INSTANCES_MOST = 1000  # of a host
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9.-]{0,62}")


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


class Each(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet.each.NAME]`: where one instance differs from the others; 0 or empty: it does not."""

    listen: str = ""
    sockets: int = 0
    memory_mb: float = 0.0


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`: the instances of one host, as a supervisor keeps them: NAME-1, NAME-2, ..."""

    name: str = ""  # of this host's fleet; empty: there is none
    instances: int = 2
    listen: str = "127.0.0.1:9100"  # of the first; each further one has the next port
    state: str = "fleet"  # folder of what is kept on this host, from this file's folder
    sockets: int = 0  # descriptors of each; 0: as the platform's file says
    memory_mb: float = 0.0  # of each; 0: as the platform's file says
    at_once: int = 4  # that may be starting at a time
    a_second: float = 4.0  # started a second, after those
    ready_s: float = 20.0  # from its start until it serves, at the most
    stop_s: float = 15.0  # from SIGTERM until it has ended, at the most
    hung_s: float = 5.0  # without a sign of its loop, after which it is replaced
    backoff_s: float = 0.5  # before it is started again, where it ended by itself; doubled each time ...
    backoff_most_s: float = 30.0  # ... up to this
    loop: int = 5  # ends by itself ...
    loop_s: float = 60.0  # ... in this time: it is left alone ...
    rest_s: float = 300.0  # ... for so long
    hold_s: float = 5.0  # rolling restart: so long a new life must serve before the next one's turn
    young_s: float = 120.0  # a snapshot older than this is not read; 0: none are written
    peers: bool = False  # how many share a node follows from who has a session; needs one store for all
    each: dict[str, Each] = {}

    def number(self, name: str) -> int:
        """An instance's number, by its name; 0 where it is none of ours."""
        head, _, tail = name.rpartition("-")
        return int(tail) if head == self.name and tail.isascii() and tail.isdigit() else 0

    def names(self, count: int) -> tuple[str, ...]:
        """The names of so many."""
        return tuple(f"{self.name}-{number}" for number in range(1, count + 1))

    def address(self, name: str) -> str:
        """Where an instance listens."""
        own = self.each.get(name)
        if own is not None and own.listen:
            return own.listen
        host, _, port = self.listen.rpartition(":")
        return f"{host}:{int(port) + self.number(name) - 1}"


class OperatorFile(msgspec.Struct, frozen=True):
    """The whole file, checked."""

    instance: Instance
    store: Stored
    leases: Leases
    duties: Duties
    log: Logged
    work: Work
    fleet: Fleet
    folder: Path

    @property
    def terms(self) -> LeaseTerms:
        """What leases are asked for."""
        return LeaseTerms(self.leases.ttl, self.leases.margin, self.leases.drift)

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
    def fleet_prefix(self) -> str:
        """Under which supervisors stand: they are no instances."""
        return self.store.prefix.rstrip("/") + "-fleet/"

    @property
    def fleet_folder(self) -> Path:
        """What a fleet keeps on this host."""
        return self.folder / self.fleet.state

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
    "instance": Instance,
    "store": Stored,
    "leases": Leases,
    "duties": Duties,
    "log": Logged,
    "work": Work,
    "fleet": Fleet,
}


def _section(name: str, kind: type[msgspec.Struct], told: Any, faults: list[str]) -> Any:
    """One section; each of its faults by itself, so that one does not hide the next."""
    if not isinstance(told, dict):
        faults.append(f"[{name}] must be a section")
        return None
    known = {one.name: one for one in msgspec.structs.fields(kind)}
    before = len(faults)
    faults += [
        f"[{name}] {key}: there is no such key; there are {', '.join(known)}"
        for key in told
        if key not in known
    ]
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
    faults = [
        f"[{name}]: there is no such section; there are {', '.join(SECTIONS)}"
        for name in told
        if name not in SECTIONS
    ]
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
            LeaseTerms(leases.ttl, leases.margin, leases.drift).check()
        except LeaseTermsError as problem:
            faults.append(f"[leases] {problem}")
        if store is not None and store.url.startswith("etcd:") and leases.ttl != int(leases.ttl):
            faults.append(f"[leases] ttl: such a store counts in whole seconds, not {leases.ttl:g}")
    work = parts["work"]
    if work is not None:
        faults += [
            f"[work] refuse: {name!r} is not recorded" for name in work.refuse if name not in work.record
        ]
        faults += [
            f"[work] {name}: must be {said}, not {value!r}"
            for name, value, least, most, said in (
                ("kept_s", work.kept_s, 1.0, 86400.0 * 30, "1 s to 30 days"),
                ("body_most", work.body_most, 0, 262144, "0 to 262144 bytes"),
                ("pace", work.pace, 0.1, 10000.0, "0.1 to 10000 a second"),
            )
            if not least <= value <= most
        ]
    if parts["fleet"] is not None:
        faults += _fleet_faults(parts["fleet"], parts["instance"])
    if faults:
        raise OperatorFileError("\n".join(faults))
    return OperatorFile(folder=folder, **parts)


def _fleet_faults(fleet: Fleet, instance: Instance | None) -> list[str]:
    """What is wrong with `[fleet]`."""
    faults = [
        f"[fleet] {key}: must be {least:g} to {most:g}, not {value:g}"
        for key, value, least, most in (
            ("instances", fleet.instances, 0, INSTANCES_MOST),
            ("at_once", fleet.at_once, 1, INSTANCES_MOST),
            ("a_second", fleet.a_second, 0.01, 1000),
            ("ready_s", fleet.ready_s, 0.5, 3600),
            ("stop_s", fleet.stop_s, 1, 3600),
            ("hung_s", fleet.hung_s, 0.2, 3600),
            ("backoff_s", fleet.backoff_s, 0.01, 3600),
            ("backoff_most_s", fleet.backoff_most_s, 0.01, 86400),
            ("loop", fleet.loop, 2, 1000),
            ("loop_s", fleet.loop_s, 1, 86400),
            ("rest_s", fleet.rest_s, 1, 86400),
            ("hold_s", fleet.hold_s, 0, 3600),
            ("young_s", fleet.young_s, 0, 86400),
            ("sockets", fleet.sockets, 0, 1 << 20),
            ("memory_mb", fleet.memory_mb, 0, 1 << 20),
        )
        if not least <= value <= most
    ]
    if fleet.name and not NAME.fullmatch(fleet.name):
        faults.append(f"[fleet] name: letters, digits, dots and dashes, not {fleet.name!r}")
    if fleet.name and instance is not None and instance.name:
        faults.append("[instance] name: a fleet's instances have names of their own; leave it out")
    addresses: dict[str, str] = {}
    try:
        parse_address(fleet.listen)
        for name in fleet.names(min(fleet.instances, INSTANCES_MOST)):
            address = fleet.address(name)
            parse_address(address)
            if addresses.setdefault(address, name) != name:
                faults.append(f"[fleet] {name} would listen where {addresses[address]} does: {address}")
    except ValueError as problem:
        faults.append(f"[fleet] listen: {problem}")
    faults += [
        f"[fleet.each.{name}]: an instance is called {fleet.name}-NUMBER"
        for name in fleet.each
        if not fleet.number(name)
    ]
    return faults


def load(path: Path) -> OperatorFile:
    """Read a file; its faults are said with its name."""
    try:
        return read(path.read_text(encoding="utf-8"), path.resolve().parent)
    except (OperatorFileError, UnicodeDecodeError) as problem:
        raise OperatorFileError(
            "\n".join(f"{path}: {line}" for line in str(problem).splitlines())
        ) from problem
