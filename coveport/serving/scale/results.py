"""The result of a scale run, as table rows and as JSON."""

from __future__ import annotations

import dataclasses
from dataclasses import dataclass, field
from typing import Any

from coveport.serving.scale.measures import Delay, WindowRates
from coveport.serving.scale.sizes import ScaleSize


@dataclass(frozen=True, slots=True)
class FaultCounts:
    """Numbers of the faults injected into the system."""

    losses: int = 0
    restarts: int = 0
    rack: int = 0  # machines lost at the same time
    zone_stops: int = 0
    region_stops: int = 0
    primary_kills: int = 0


@dataclass(frozen=True, slots=True)
class ScaleResult:
    """The result of one run."""

    size: ScaleSize
    ready_s: float  # from the first node's start until all proxies have the configuration and all nodes
    calm: WindowRates  # rates of the window without faults
    day: WindowRates  # rates of the window with faults
    change: Delay  # from sending a change until it is in force at a proxy
    change_acknowledged: Delay  # from sending a change until the operator's response
    closing: Delay  # from the acknowledgement of `closing` until a proxy observes it
    takeover: Delay  # from the kill of a primary to the next acknowledged change
    faults: FaultCounts
    memory_mb: float  # highest observed total of all processes
    machine_load: float  # load average per processor at the end; above 1, all times are too long
    problems: tuple[str, ...] = field(default=())  # steps that failed or timed out; empty if none did


def as_json(result: ScaleResult) -> dict[str, Any]:
    """Return the result as JSON values."""
    return dataclasses.asdict(result)


Rows = list[tuple[str, str]]


def rows(result: ScaleResult) -> Rows:
    """Return the result as rows of name and value."""
    size = result.size
    table: Rows = [
        ("proxies (hollow + real)", f"{size.proxies} + {size.real_proxies}"),
        ("nodes", str(size.nodes)),
        ("coordinators", str(size.coordinators)),
        ("routes, services", f"{size.routes}, {size.services}"),
        ("all ready after", f"{result.ready_s:.1f} s"),
        ("change in force (median, 99th, worst)", _delay(result.change)),
        ("change acknowledged", _delay(result.change_acknowledged)),
        ("closing known", _delay(result.closing)),
        ("primary killed to next acknowledgement", _delay(result.takeover)),
    ]
    for name, window in (("calm", result.calm), ("faults", result.day)):
        table += [(f"{name}: {key}", value) for key, value in _window_rows(window)]
    faults = dataclasses.asdict(result.faults)
    table.append(("faults", ", ".join(f"{key} {value}" for key, value in faults.items())))
    table.append(("memory of all processes", f"{result.memory_mb:.0f} MB"))
    table.append(("load of this machine, a processor", f"{result.machine_load:.1f}"))
    table += [("problem", problem) for problem in result.problems]
    return table


def _window_rows(window: WindowRates) -> Rows:
    table = [
        ("a proxy's control, core", f"{window.proxy_cores:.2%}"),
        ("a proxy receives", _rate(window.proxy_received.messages_s, window.proxy_received.bytes_s)),
        ("a proxy sends", _rate(window.proxy_sent.messages_s, window.proxy_sent.bytes_s)),
        ("a real proxy", f"{window.real_proxy_cores:.2%} of a core, {window.real_proxy_mb:.0f} MB"),
        ("heartbeats", f"{window.node_calls_s:.0f}/s"),
    ]
    for coordinator in window.coordinators:
        sent, received = coordinator.sent, coordinator.received
        table.append(
            (coordinator.name, f"{coordinator.cores:.1%} of a core, {coordinator.resident_mb:.0f} MB")
        )
        table.append((f"{coordinator.name} sends", _rate(sent.messages_s, sent.bytes_s)))
        table.append((f"{coordinator.name} receives", _rate(received.messages_s, received.bytes_s)))
    return table


def _rate(messages_s: float, bytes_s: float) -> str:
    return f"{messages_s:.1f} messages/s, {bytes_s / 1000:.2f} KB/s"


def _delay(delay: Delay) -> str:
    if not delay.count:
        return "not measured" if not delay.missing else f"never ({delay.missing} missing)"
    missing = f", {delay.missing} missing" if delay.missing else ""
    return f"{delay.median_s:.2f}, {delay.p99_s:.2f}, {delay.worst_s:.2f} s of {delay.count}{missing}"
