"""A day as drawn from a scenario and a seed: who is there, who asks what when, and what changes when.

All chance that belongs to the day is drawn here, ahead, so that the same day can be played on either ground
and by any variant of the sidecar. `draw` (in `drawing`) makes a `Day` from a `Scenario`.
"""

from __future__ import annotations

from msgspec import Struct

from coveport.testbed.scenario import Scenario

NEVER = -1.0


class NodeDrawn(Struct, frozen=True):
    """One ledger node; ranges of its kind are drawn."""

    number: int  # position; a replacement has a number of its own
    name: str  # as discovery calls it; tells nothing of zone, kind or age
    zone: int
    cell: int
    kind: str
    cores: int
    speed: float
    slots: int  # operations in work at once, all cores together
    waiting: int  # room for those that wait, all cores together
    crowd_at: float  # operations held (all cores together) above which it slows
    crowd_cost: float
    cold_from: float
    warm_ms: float
    pause_every_ms: float
    pause_ms: float
    error_rate: float
    cancel: str  # "none", "waiting", "all"
    drops_expired: bool
    connections: int  # all cores together
    handshake_ms: float
    handshake_trips: float
    idle_ms: float
    closes_behind: float
    probe_ms: float
    report_every_ms: float
    report_late_ms: float
    report_noise: float
    jam_at: float  # operations waiting (all cores together) that begin a jam; 0: never
    jam_over_ms: float
    jam_slower: float
    jam_below: float
    jam_rest_ms: float
    jam_most_ms: float
    seed: int  # for its own draws while the day runs
    born: bool = True  # False: appears only later, as a replacement


class SidecarDrawn(Struct, frozen=True):
    """One sidecar."""

    number: int
    name: str
    zone: int
    seed: int


class Wish(Struct, frozen=True, gc=False):
    """What somebody wants of the ledger, once; its tries follow from it."""

    due: float  # ms since the day began
    sidecar: int
    cls: int
    op: str  # id of its first try, 16 hex digits; later tries get `op` with the try's number worked in
    key: str  # Idempotency-Key, the same at every try; empty where the class has none
    work_ms: float  # on a core of speed 1
    body: int  # bytes asked with
    answer: int  # bytes answered with
    tries: int  # it may be tried so often in all
    try_share: float  # of the deadline left, after which a try is given up
    leaves_ms: float = NEVER  # impatient: gives up so long after it asked
    half: bool = False  # ends its sending once it has asked, and waits all the same
    stays: bool = False  # its connection is not used again and stays open


class Change(Struct, frozen=True):
    """Something in the world changes. Those with `on` False take back what the same `fault` began."""

    at: float  # ms since the day began
    fault: int  # position in the scenario's list; changes of several faults add up
    what: str  # see WHATS
    on: bool = True
    target: int = -1  # node, zone or sidecar, by `what`; -1: all
    value: float = 0.0
    share: float = 0.0


NODE_CHANGES = {
    "die": "the process dies: connections are reset, new ones refused",
    "start": "a process starts at its address (or for the first time), cold",
    "slow": "runs `value` times slower",
    "silent": "takes nothing and says nothing, its connections stay open",
    "leaving": "drains: turns new work away, ends what it holds; discovery is told at once",
    "errors": "`value` of its answers are a 500; `share` of them have run",
    "resets": "`value` of its attempts end in a reset; `share` of them have run",
    "spoilt": "`value` of its answers are spoilt",
}
QUEUE_CHANGES = {
    "full-queue": "has no room for connections that wait to be accepted",
}
NETWORK_CHANGES = {
    "cut": "zone `target` is cut off from all others",
    "delay": "ways between zones take `value` ms longer; with `share` 1 those within a zone too",
    "loss": "`value` of messages is lost and sent again",
}
DISCOVERY_CHANGES = {
    "discovery-silent": "answers nothing",
    "discovery-late": "tells everything `value` ms later",
    "discovery-garbled": "answers with garbage",
    "discovery-empty": "tells an empty list",
    "discovery-overbooked": "takes `value` ms for a call and for each line told, for all sidecars in turn",
    "discovery-moves": "listens at another address from now on; sidecars are told by a reload",
}
SIDECAR_CHANGES = {
    "kill": "SIGKILL",
    "launch": "starts (again) with an empty memory",
    "stall": "gets no CPU for `value` ms",
    "term": "SIGTERM; starts again once it has ended",
    "clock": "the machine's wall clock is `value` ms off",
    "starve": "gets `value` of a core",
    "descriptors": "may hold `value` descriptors",
    "upgrade": "a second process starts beside it, and it is told to stop once that one is ready",
    "lameduck": "staff drain it, and take it back",
    "retune": "its file allows `value` attempts, and it is told so",
    "scrape": "staff ask for its figures every `value` ms, beside `share` callers who say nothing",
}
TILL_CHANGES = {
    "slow-reader": "`share` of the sidecar's tills read nothing for up to `value` ms once they have asked",
}


class Span(Struct, frozen=True):
    """When a fault of the scenario lasts, and whom it concerns (for people: "nodes 3, 7", "zone bilbao")."""

    number: int  # position in the scenario's list
    kind: str
    begin: float
    end: float
    whom: str


class Day(Struct, frozen=True):
    """A drawn day."""

    scenario: Scenario
    seed: int
    nodes: tuple[NodeDrawn, ...]  # replacements included
    sidecars: tuple[SidecarDrawn, ...]
    wishes: tuple[Wish, ...]  # in order of time
    changes: tuple[Change, ...]  # in order of time
    spans: tuple[Span, ...]  # one for each fault, load faults included
    same_ms: float
    cross_ms: tuple[tuple[float, ...], ...]  # one way, by zones; the diagonal holds `same_ms`
    client_ms: float
    jitter: float
    notice_ms: float  # until discovery sees a death
    add_ms: float  # until it sees a start
    capacity: float  # worth of the warm fleet's work: ms of standard work it can do in a ms


def sidecar_settings(day: Day, sidecar: SidecarDrawn) -> dict[str, object]:
    """The settings of a sidecar, in the platform's form (the JSON under `settings`)."""
    scenario = day.scenario
    rules = scenario.rules
    semantics = {"safe": "idempotent", "keyed": "deduplicated", "never": "at_most_once"}
    return {
        "classes": [
            {
                "name": one.name,
                "aim_ms": one.aim_ms,
                "deadline_ms": one.deadline_ms,
                "gain": one.worth,
                "late_share": 0.0,
                "semantics": semantics[one.repeats],
                "key_scope": one.scope,
                "window_ms": one.window_ms,
                "stream": False,
            }
            for one in scenario.classes
        ],
        "limits": {
            "cancel": True,
            "connect_timeout_ms": rules.connect_timeout_ms,
            "keepalive_ms": _low(scenario.fleet.idle_s) * 1000,
            "most_tries": rules.most_tries,
            "max_retry_after_ms": rules.max_retry_after_ms,
            "probes": rules.probes,
            "retry_after": rules.retry_after,
            "second_copies": rules.second_copies,
            "streams_per_conn": 1,
        },
        "invariants": {
            "answer_slack_ms": rules.answer_slack_ms,
            "cold_from": rules.cold_from,
            "warm_after_ms": rules.warm_after_ms,
            "overload_factor": rules.overload_factor,
            "fall_ms": rules.fall_ms,
            "stop_sending_within_ms": rules.drain_grace_ms,
            "ask_within_ms": 10000.0,
        },
        "prices": {"cross_zone": 0.055, "waste": 0.018, "late_fail": 0.05, "probe": 0.01},
        "telemetry": {"fields": ["fail_rate", "busy"], "how": "inline"},
        "localities": list(scenario.fleet.zones),
        "zone": sidecar.zone,
        "peers_total": len(day.sidecars),
        "registry_mode": "subscribe" if scenario.discovery.asked else "automatic",
        "me": sidecar.number,
        "round_ms": 5.0,
    }


def _low(figure: float | tuple[float, float]) -> float:
    return figure[0] if isinstance(figure, tuple) else figure
