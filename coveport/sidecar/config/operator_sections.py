"""The sections of the operator's file. Fields have the names of the keys; deploy/coveport.toml explains them.

Each class is the schema of one section; `operator_checks` checks what a type can't express.
"""

from __future__ import annotations

from typing import Final, Literal

import msgspec

MAX_INSTANCES: Final = 1000  # maximum number of instances per host


class InstanceSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[instance]`: the identity of this instance."""

    platform: str  # path of the platform's JSON file, relative to this file's folder
    name: str = ""  # empty: LB_NAME, or the name in the platform's file


class StoreSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[store]`: the store of the leases."""

    url: str  # sqlite:PATH | etcd://HOST:PORT,HOST:PORT
    prefix: str = "coveport/"


class LeaseSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[leases]`: the lease terms in seconds, `drift` as a fraction."""

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
        """Return the singleton roles for which an instance of that zone contends.

        Health checking (`looking`) is not a singleton role: each instance whose health checking is on takes
        part.
        """
        roles = {"warden": f"warden@{zone}", "rollout": "rollout", "drill": "drill"}
        return tuple(role for name, role in roles.items() if getattr(self, name))


class IntentLogSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[work]`: the operations that are logged before they run, for another instance to take over."""

    record: tuple[str, ...] = ()  # names of the request classes that are logged
    refuse: tuple[str, ...] = ()  # classes in `record` that are rejected while the store is unreachable
    by_request_id: bool = False  # whether clients retry with the same X-Request-Id
    key_file: str = ""  # path relative to this file's folder; empty: requests and responses are not stored
    kept_s: float = 600.0  # how long a finished operation is retained for retries
    body_most: int = 65536  # bytes; longer bodies are not stored
    pace: float = 50.0  # maximum number of records of failed instances that are taken over per second


class LogSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[log]`: the log of leases and roles, as JSON lines."""

    path: str = ""  # empty: standard error
    level: Literal["debug", "info"] = "info"  # debug: also each renewal and each action of a role


class InstanceOverrides(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet.each.NAME]`: settings of one instance; 0 or empty: as for the other instances."""

    listen: str = ""
    sockets: int = 0
    memory_mb: float = 0.0


class Fleet(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`: the instances of one host under a supervisor, NAME-1, NAME-2, ..."""

    name: str = ""  # name of this host's fleet; empty: there is no fleet
    instances: int = 2  # number of instances
    listen: str = "127.0.0.1:9100"  # address of the first instance; each further instance has the next port
    state: str = "fleet"  # folder of the state on this host, relative to this file's folder
    sockets: int = 0  # descriptors per instance; 0: as in the platform's file
    memory_mb: float = 0.0  # memory per instance; 0: as in the platform's file
    at_once: int = 4  # maximum number of instances that are starting at the same time
    a_second: float = 4.0  # maximum number of starts per second, after a burst of `at_once` starts
    ready_s: float = 20.0  # time-out from an instance's start until the instance serves
    stop_s: float = 15.0  # time-out from SIGTERM until the instance has exited
    hung_s: float = 5.0  # an instance without a heartbeat of its event loop for this long is replaced
    backoff_s: float = 0.5  # backoff before the restart after a crash; doubled at each further crash
    backoff_most_s: float = 30.0  # maximum backoff before a restart after a crash
    loop: int = 5  # number of crashes within `loop_s` that make a crash loop
    loop_s: float = 60.0  # time in which the crashes of a crash loop are counted
    rest_s: float = 300.0  # time for which an instance in a crash loop isn't restarted
    # Rolling restart: how long an instance must serve before the next instance is restarted.
    hold_s: float = 5.0
    young_s: float = 120.0  # maximum age of a snapshot of discovery that is read; 0: no snapshots
    # Whether the sidecars that share a node are counted by their sessions; needs one store for all sidecars.
    peers: bool = False
    each: dict[str, InstanceOverrides] = {}  # overrides by instance name

    def number(self, name: str) -> int:
        """Return an instance's number by its name; 0 if no instance of this fleet has the name."""
        head, _, tail = name.rpartition("-")
        return int(tail) if head == self.name and tail.isascii() and tail.isdigit() else 0

    def names(self, count: int) -> tuple[str, ...]:
        """Return the names of the first `count` instances."""
        return tuple(f"{self.name}-{number}" for number in range(1, count + 1))

    def address(self, name: str) -> str:
        """Return the address at which an instance listens, as HOST:PORT.

        Raise ValueError if `listen` has no port.
        """
        overrides = self.each.get(name)
        if overrides is not None and overrides.listen:
            return overrides.listen
        host, _, port = self.listen.rpartition(":")
        return f"{host}:{int(port) + self.number(name) - 1}"
