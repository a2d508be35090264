"""The external names of the HTTP interfaces, as the operators' protocol defines them.

No other module repeats these names: this module maps this system's own terms to them.
"""

from __future__ import annotations

from typing import Final


class Header:
    """Names of HTTP headers in lower case, as the HTTP codec returns them."""

    ATTEMPT_ID: Final = "coveport-try-id"
    TIME_LEFT: Final = "coveport-time-left"
    PROMPT_PREFIX: Final = "coveport-prompt-prefix"
    LAST_EVENT_ID: Final = "last-event-id"
    STAMP: Final = "coveport-postmark"
    EXPECT_INCARNATION: Final = "coveport-addressee"
    NOT_RUN: Final = "coveport-not-run"
    RETRY_AFTER: Final = "retry-after"
    IF_MATCH: Final = "if-match"
    INCARNATION: Final = "coveport-instance"
    WARM_UP_MS: Final = "coveport-cold-ms"
    MODEL: Final = "coveport-model"
    TOKENS: Final = "coveport-tokens"
    PRIORITY: Final = "priority"
    VERSIONS: Final = "versions"
    EXPECT_VERSION: Final = "expect-version"  # version of the weights; a node with other weights answers 421
    API_KEY: Final = "x-api-key"
    TENANT: Final = "coveport-sender"


class CanonicalHeader:
    """Names of headers that this system writes, in the protocol's spelling."""

    TIME_LEFT: Final = "Coveport-Time-Left"
    LAST_EVENT_ID: Final = "Last-Event-Id"
    EXPECT_INCARNATION: Final = "Coveport-Addressee"
    RETRY_AFTER: Final = "Retry-After"
    PRIORITY: Final = "Priority"
    TENANT: Final = "Coveport-Sender"
    AUTHENTICATE: Final = "WWW-Authenticate"
    HOLDER: Final = "Coveport-Holder"  # holder of a duty; sent in calls to the platform
    FENCE: Final = "Coveport-Fence"


class Path:
    """Paths of the HTTP calls to this system and to nodes."""

    READY: Final = "/coveport/ready"
    LOOKUP: Final = "/coveport/lookup"
    NODES: Final = "/coveport/nodes/"  # followed by the incarnation
    CONFIG: Final = "/coveport/config"
    EVACUATION: Final = "/coveport/evacuation/"  # followed by the zone
    REPORT: Final = "/coveport/report"
    USAGE: Final = "/usage"  # served by the platform
    FLEET: Final = "/fleet"  # served by the platform
    STATUS: Final = "/coveport/status"  # state of the core, for operators; not part of the protocol


class Heartbeat:
    """Fields of a node's heartbeat and of the response to it."""

    SERVICE: Final = "Service"
    ADDRESS: Final = "Address"
    ZONE: Final = "Zone"
    SLOTS: Final = "Berths"
    STATE: Final = "State"
    WARM_UP_LEFT_MS: Final = "ColdLeftMs"
    SHUTDOWN_IN_MS: Final = "TimeLeftMs"
    SEQUENCE: Final = "CallSeq"
    FORWARD_TO: Final = "ForwardTo"
    ACCEPTING: Final = "accepting"
    CLOSING: Final = "closing"
    SOFTWARE: Final = "Edition"  # version of the node's software
    PHASE: Final = "Phase"
    MODELS: Final = "Models"
    MODEL_NAME: Final = "Name"
    WEIGHTS: Final = "Edition"  # version of a model's weights
    ADAPTERS: Final = "Adapters"


class Lookup:
    """Query parameters and response fields of a client's lookup."""

    NAME: Final = "Name"
    REGION: Final = "Region"
    ZONE: Final = "Zone"
    ADDRESSES: Final = "Addresses"
    TTL_S: Final = "TtlS"


class Config:
    """Fields of a configuration and of a patch."""

    EDITION: Final = "Edition"
    ROUTES: Final = "Routes"
    SERVICES: Final = "Services"
    LIMITS: Final = "Limits"
    TENANTS: Final = "Senders"
    UPSERT: Final = "Upsert"
    REMOVE: Final = "Remove"
    NAME: Final = "Name"


class Usage:
    """Fields of a usage report to the platform."""

    WINDOW: Final = "WindowNo"
    COUNTS: Final = "Counts"


class Fleet:
    """Fields of a fleet order, which requests nodes from the platform."""

    SERVICE: Final = "Service"
    ZONE: Final = "Zone"
    WANTED: Final = "Wanted"


class Report:
    """Fields of a node's load report."""

    QUEUED: Final = "Queued"
    RUNNING: Final = "Running"
    MEMORY_USED: Final = "KvUsed"
    MEMORY_TOTAL: Final = "KvTotal"


ERROR: Final = "Error"  # field of the response to a rejected call: one reason or a list

SETTINGS_VARIABLE: Final = "COVEPORT_NODE_FILE"  # environment variable with the path of the settings file

# Values of the setting `Serves`.
SERVES_CLIENTS: Final = "counter"
SERVES_CONTROL: Final = "dispatch"
SERVES_LOOKUPS: Final = "registry"
