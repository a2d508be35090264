"""The outside world's names on the wire, as the operators' protocol gives them. They stand nowhere else."""

from __future__ import annotations

from typing import Final


class Header:
    """HTTP headers, in lower case as the codec hands them out; write them as they stand in `SPELLED`."""

    TRY_ID: Final = "coveport-try-id"
    TIME_LEFT: Final = "coveport-time-left"
    PROMPT_PREFIX: Final = "coveport-prompt-prefix"
    LAST_EVENT_ID: Final = "last-event-id"
    STAMP: Final = "coveport-postmark"
    EXPECT_INCARNATION: Final = "coveport-addressee"
    NOT_RUN: Final = "coveport-not-run"
    RETRY_AFTER: Final = "retry-after"
    IF_MATCH: Final = "if-match"
    INCARNATION: Final = "coveport-instance"
    COLD_MS: Final = "coveport-cold-ms"
    MODEL: Final = "coveport-model"
    TOKENS: Final = "coveport-tokens"
    PRIORITY: Final = "priority"
    VERSIONS: Final = "versions"


class Spelled:
    """Headers that we write, as the protocol spells them."""

    TIME_LEFT: Final = "Coveport-Time-Left"
    LAST_EVENT_ID: Final = "Last-Event-Id"
    EXPECT_INCARNATION: Final = "Coveport-Addressee"
    RETRY_AFTER: Final = "Retry-After"
    PRIORITY: Final = "Priority"


class Path:
    """Paths of the system's own calls and of those to nodes."""

    READY: Final = "/coveport/ready"
    LOOKUP: Final = "/coveport/lookup"
    NODES: Final = "/coveport/nodes/"  # + incarnation
    CONFIG: Final = "/coveport/config"
    EVACUATION: Final = "/coveport/evacuation/"  # + zone
    REPORT: Final = "/coveport/report"
    STATUS: Final = "/coveport/status"  # our own: the state of the core, for people


class Heartbeat:
    """Fields of a node's heartbeat and of its answer."""

    SERVICE: Final = "Service"
    ADDRESS: Final = "Address"
    ZONE: Final = "Zone"
    SLOTS: Final = "Berths"
    STATE: Final = "State"
    COLD_LEFT_MS: Final = "ColdLeftMs"
    LEAVES_IN_MS: Final = "TimeLeftMs"
    SEQUENCE: Final = "CallSeq"
    FORWARD_TO: Final = "ForwardTo"
    ACCEPTING: Final = "accepting"
    CLOSING: Final = "closing"
    SOFTWARE: Final = "Edition"  # of the node
    PHASE: Final = "Phase"
    MODELS: Final = "Models"
    MODEL_NAME: Final = "Name"
    WEIGHTS: Final = "Edition"  # of a model
    ADAPTERS: Final = "Adapters"


class Lookup:
    """Query and answer of a client's lookup."""

    NAME: Final = "Name"
    REGION: Final = "Region"
    ZONE: Final = "Zone"
    ADDRESSES: Final = "Addresses"
    TTL_S: Final = "TtlS"


class Config:
    """Fields of a configuration."""

    EDITION: Final = "Edition"
    ROUTES: Final = "Routes"
    SERVICES: Final = "Services"
    LIMITS: Final = "Limits"
    UPSERT: Final = "Upsert"
    REMOVE: Final = "Remove"
    NAME: Final = "Name"


class Report:
    """Fields of a node's report."""

    QUEUED: Final = "Queued"
    RUNNING: Final = "Running"
    MEMORY_USED: Final = "KvUsed"
    MEMORY_TOTAL: Final = "KvTotal"


ERROR: Final = "Error"
SETTINGS_VARIABLE: Final = "COVEPORT_NODE_FILE"
SERVES_CLIENTS: Final = "counter"
SERVES_CONTROL: Final = "dispatch"
SERVES_LOOKUPS: Final = "registry"
