"""Where a day's worth was lost, by cause and by window, and what the nodes did meanwhile. Pure.

Reads the event log alone. A wish (a first try with its client's retries) is lost where no 200 came within its
class's aim, counted from when it was due. Its cause is that of its last try, by what nodes and till wrote.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

import numpy as np
from msgspec import Struct

from coveport.testbed import event_log
from coveport.testbed.day import Day
from coveport.testbed.playing import Played

WINDOW_MS = 2000.0
IDLE, CROWDED = 0.6, 5.0  # a node's busy share under which it idles; operations above which it is crowded
SHADES = " .:-=+*#%@"  # operations held by a node in a window: none, then up to 1, 2, 3, 4, 6, 8, 12, 16
_TAKEN = ("work", "repeat")
STEPS = (0.05, 1, 2, 3, 4, 6, 8, 12, 16)

CAUSES = {
    "turned away": "a busy reply, and no node ever had an attempt of it",
    "after a try": "a busy reply after an attempt that a node had",
    "timed out": "an attempt was given up before its answer",
    "broken": "a node answered with an error, reset, or died",
    "late": "a 200 came, after the aim",
    "unanswered": "no answer, or nobody to ask",
}
"""Why a wish may be lost."""


class Window(Struct):
    """A stretch of the day; shares are of the worth due in it, node figures means over its nodes."""

    at_s: float
    wishes: int
    served: float
    lost: dict[str, float]  # by cause
    busy: float  # of the nodes' cores
    idle: float  # share of the nodes that idle
    crowded: float  # share that is crowded
    held: float  # operations at a node
    unlike: float  # share of the nodes that idle while as many others are crowded


class Picture(Struct):
    """A day explained."""

    windows: list[Window]
    served: float
    lost: dict[str, float]
    attempts: float  # for each wish
    crossings: float  # share of attempts that left their zone
    connections: float  # opened, for each attempt
    wasted: float  # share of the work that came to nodes whose attempt had no answer
    heat: list[tuple[int, int, str]]  # zone, node, a shade for each window


def explain(played: Played) -> Picture:
    """The picture of a day that was played on whatever ground."""
    day, rows = played.day, played.rows
    tries: dict[str, list[event_log.Asked]] = defaultdict(list)
    answers: dict[str, event_log.Answered] = {}
    arrived: dict[str, list[event_log.Arrived]] = defaultdict(list)
    replied: dict[tuple[int, int], event_log.Replied] = {}
    ended: dict[tuple[int, int], event_log.Ended] = {}
    loads: list[event_log.NodeLoad] = []
    links = 0
    for row in rows:
        if isinstance(row, event_log.Asked):
            tries[row.first].append(row)
        elif isinstance(row, event_log.Answered):
            answers[row.op] = row
        elif isinstance(row, event_log.Arrived):
            arrived[row.op].append(row)
        elif isinstance(row, event_log.Replied):
            replied[row.node, row.attempt] = row
        elif isinstance(row, event_log.Ended):
            ended[row.node, row.attempt] = row
        elif isinstance(row, event_log.NodeLoad):
            loads.append(row)
        elif isinstance(row, event_log.Linked):
            links += row.up

    def cause(first: str, due: float, aim_ms: float) -> str:
        of_wish = tries.get(first, [])
        good = [answers[one.op].at for one in of_wish if one.op in answers and answers[one.op].status == 200]
        if good:
            return "late" if min(good) - due > aim_ms else ""
        if not of_wish or of_wish[-1].op not in answers:
            return "unanswered"
        attempts = [row for one in of_wish for row in arrived.get(one.op, ()) if row.took in _TAKEN]
        if answers[of_wish[-1].op].status in (429, 503):
            return "after a try" if attempts else "turned away"
        given_up = any(
            (at := (row.node, row.attempt)) not in replied and getattr(ended.get(at), "how", "end") == "end"
            for row in attempts
        )
        return "timed out" if given_up else "broken"

    count = max(1, int(np.ceil(day.scenario.length_s * 1000 / WINDOW_MS)))
    due_worth, wishes = np.zeros(count), np.zeros(count, dtype=int)
    lost: list[dict[str, float]] = [defaultdict(float) for _ in range(count)]
    for wish in day.wishes:
        at = min(count - 1, max(0, int(wish.due // WINDOW_MS)))
        cls = day.scenario.classes[wish.cls]
        due_worth[at] += cls.worth
        wishes[at] += 1
        if why := cause(wish.op, wish.due, cls.aim_ms):
            lost[at][why] += cls.worth
    all_arrived = [row for some in arrived.values() for row in some]
    work = sum(row.work_ms for row in all_arrived)
    wasted = sum(row.work_ms for row in all_arrived if (row.node, row.attempt) not in replied)
    zones = {node.number: node.zone for node in day.nodes}
    homes = [one.zone for one in day.sidecars]
    crossed = sum(zones[row.node] != homes[row.sidecar] for row in all_arrived)
    total = max(float(due_worth.sum()), 1e-9)
    return Picture(
        _windows(loads, count, due_worth, wishes, lost),
        1 - sum(sum(one.values()) for one in lost) / total,
        {why: sum(one.get(why, 0.0) for one in lost) / total for why in CAUSES},
        len(all_arrived) / max(1, len(day.wishes)),
        crossed / max(1, len(all_arrived)),
        links / max(1, len(all_arrived)),
        wasted / max(work, 1e-9),
        _heat(day, loads, count),
    )


def _windows(
    loads: Iterable[event_log.NodeLoad],
    count: int,
    due: np.ndarray,
    wishes: np.ndarray,
    lost: list[dict[str, float]],
) -> list[Window]:
    seen: list[dict[int, list[tuple[float, float]]]] = [defaultdict(list) for _ in range(count)]
    for row in loads:
        if 0 <= row.at < count * WINDOW_MS:
            seen[int(row.at // WINDOW_MS)][row.node].append((row.busy, row.working + row.waiting))
    windows = []
    for at, nodes in enumerate(seen):
        means = np.array([np.mean(some, axis=0) for some in nodes.values()] or [[0.0, 0.0]])
        idle, crowded = float(np.mean(means[:, 0] < IDLE)), float(np.mean(means[:, 1] > CROWDED))
        worth = max(float(due[at]), 1e-9)
        windows.append(
            Window(
                at * WINDOW_MS / 1000,
                int(wishes[at]),
                1 - sum(lost[at].values()) / worth,
                {why: lost[at].get(why, 0.0) / worth for why in CAUSES},
                float(np.mean(means[:, 0])),
                idle,
                crowded,
                float(np.mean(means[:, 1])),
                2 * min(idle, crowded),
            )
        )
    return windows


def _heat(day: Day, loads: Iterable[event_log.NodeLoad], count: int) -> list[tuple[int, int, str]]:
    held: dict[int, list[list[int]]] = {node.number: [[] for _ in range(count)] for node in day.nodes}
    for row in loads:
        if 0 <= row.at < count * WINDOW_MS:
            held[row.node][int(row.at // WINDOW_MS)].append(row.working + row.waiting)
    return sorted(
        (
            node.zone,
            node.number,
            "".join(
                SHADES[int(np.searchsorted(STEPS, np.mean(some), side="right"))] if some else "x"
                for some in held[node.number]
            ),
        )
        for node in day.nodes
    )


def text(picture: Picture, zones: tuple[str, ...]) -> str:
    """For a terminal: a line a window, then a line a node."""
    names = list(CAUSES)
    lines = [
        f"served {picture.served:.3f}; lost: "
        + ", ".join(f"{why} {share:.3f}" for why, share in picture.lost.items() if share >= 0.0005),
        f"attempts a wish {picture.attempts:.2f}, crossed {picture.crossings:.2f}, connections an attempt "
        f"{picture.connections:.2f}, work without an answer {picture.wasted:.2f}",
        "",
        f"{'from':>6} {'wishes':>7} {'served':>7} "
        + " ".join(f"{why:>11}" for why in names)
        + f" {'busy':>6} {'idle':>6} {'crowded':>8} {'held':>6} {'unlike':>7}",
    ]
    for one in picture.windows:
        lines.append(
            f"{one.at_s:5.0f}s {one.wishes:7} {one.served:7.3f} "
            + " ".join(f"{one.lost[why]:11.3f}" for why in names)
            + f" {one.busy:6.2f} {one.idle:6.2f} {one.crowded:8.2f} {one.held:6.1f}"
            + f" {one.unlike:7.2f}"
        )
    lines += ["", "operations held by each node, a column for each two seconds (x: not there)"]
    for zone, number, shades in picture.heat:
        lines.append(f"{zones[zone]:>12} {number:5} |{shades}|")
    return "\n".join(lines)
