"""The sections of the operator's file. Fields have the names of the keys, explained in deploy/coveport.toml.

Each class is the schema of one section; `operator_checks` holds what a type can't say.
"""

from __future__ import annotations

from typing import Final, Literal

import msgspec

MAX_INSTANCES: Final = 1000  # of a host


class InstanceSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[instance]`: the identity of this instance."""

    platform: str  # the platform's JSON file, from this file's folder
    name: str = ""  # empty: the platform file's, or LB_NAME


class StoreSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[store]`: where leases are kept."""

    url: str  # sqlite:PATH | etcd://HOST:PORT,HOST:PORT
    prefix: str = "coveport/"


class LeaseSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[leases]`: seconds; drift as a fraction."""

    ttl: float = 3.0
    margin: float = 0.2
    drift: float = 0.02


class SingletonSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[duties]`: the singleton roles for which this instance contends."""

    warden: bool = False
    rollout: bool = False
    looking: bool = False
    drill: bool = False

    def contended_roles(self, zone: int) -> tuple[str, ...]:
        """Return the roles with one holder at a time for which an instance of that zone contends.

        Health checking (`looking`) isn't among them: every instance that is asked to does it.
        """
        roles = {"warden": f"warden@{zone}", "rollout": "rollout", "drill": "drill"}
        return tuple(role for name, role in roles.items() if getattr(self, name))


class IntentLogSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[work]`: the operations that are logged ahead, so that another instance can take them over."""

    record: tuple[str, ...] = ()  # names of classes
    refuse: tuple[str, ...] = ()  # of those, which are rejected while the store is unreachable
    by_request_id: bool = False  # clients retry with the same X-Request-Id
    key_file: str = ""  # from this file's folder; empty: requests and responses are left out
    kept_s: float = 600.0  # how long a finished operation is retained for retries
    body_most: int = 65536  # bytes; longer bodies are left out
    pace: float = 50.0  # records of lost instances that are taken over a second


class LogSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[log]`: JSON lines of what is held and done."""

    path: str = ""  # empty: standard error
    level: Literal["debug", "info"] = "info"  # debug: each renewal and each act, for the checks of a trial


class InstanceOverrides(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet.each.NAME]`: where one instance differs from the others; 0 or empty: it doesn't."""

    listen: str = ""
    sockets: int = 0
    memory_mb: float = 0.0


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`: the instances of one host under a supervisor, NAME-1, NAME-2, ..."""

    name: str = ""  # of this host's fleet; empty: there is none
    instances: int = 2
    listen: str = "127.0.0.1:9100"  # of the first; each further one has the next port
    state: str = "fleet"  # folder of what is stored on this host, from this file's folder
    sockets: int = 0  # descriptors of each; 0: as the platform's file says
    memory_mb: float = 0.0  # of each; 0: as the platform's file says
    at_once: int = 4  # instances that may be starting at a time
    a_second: float = 4.0  # instances started a second, after those
    ready_s: float = 20.0  # time-out from its start until it serves
    stop_s: float = 15.0  # time-out from SIGTERM until it has ended
    hung_s: float = 5.0  # without a heartbeat of its loop, after which it is replaced
    backoff_s: float = 0.5  # before it is restarted after a crash; doubled each time ...
    backoff_most_s: float = 30.0  # ... up to this
    loop: int = 5  # so many crashes ...
    loop_s: float = 60.0  # ... in this time are a crash loop: it isn't restarted ...
    rest_s: float = 300.0  # ... for so long
    hold_s: float = 5.0  # rolling restart: how long an instance must serve before the next one's turn
    young_s: float = 120.0  # an older snapshot of discovery isn't read; 0: none are written
    peers: bool = False  # how many share a node follows from who has a session; needs one store for all
    each: dict[str, InstanceOverrides] = {}

    def number(self, name: str) -> int:
        """Return an instance's number by its name; 0 where it is none of this fleet."""
        head, _, tail = name.rpartition("-")
        return int(tail) if head == self.name and tail.isascii() and tail.isdigit() else 0

    def names(self, count: int) -> tuple[str, ...]:
        """Return the names of the first `count` instances."""
        return tuple(f"{self.name}-{number}" for number in range(1, count + 1))

    def address(self, name: str) -> str:
        """Return the address at which an instance listens, as HOST:PORT.

        Raises ValueError where `listen` has no port.
        """
        own = self.each.get(name)
        if own is not None and own.listen:
            return own.listen
        host, _, port = self.listen.rpartition(":")
        return f"{host}:{int(port) + self.number(name) - 1}"
