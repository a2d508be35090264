"""Whether what a scenario says in one place makes sense beside what it says in others. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from coveport.testbed.faults import (
    OF_SIDECARS,
    AnyFault,
    Crash,
    Cut,
    DiscoveryFault,
    Drain,
    HeavyTail,
    Loss,
    Restart,
    Rolling,
    Stall,
    Upgrade,
    Whom,
)
from coveport.testbed.scenario import Scenario
from coveport.testbed.schema import Fleet, Load
from coveport.testbed.tables import Figure, Place, one_of, shown


def portions(shares: Sequence[float], total: int) -> list[int]:
    """Split `total` by shares (their sum above 0): whole parts first, the rest to the largest remainders."""
    exact = [share * total / sum(shares) for share in shares]
    parts = [int(one) for one in exact]
    for position in sorted(range(len(parts)), key=lambda one: parts[one] - exact[one])[: total - sum(parts)]:
        parts[position] += 1
    return parts


class Say(Protocol):
    """Notes that what stands at a place makes no sense beside what stands at others."""

    def __call__(self, place: Place, text: str, *needs: Place) -> None:
        """Note `text`; `needs` are the other places."""


def check_day(day: Scenario, say: Say) -> None:
    """Say of each thing that makes no sense where it stands, and what would."""
    if day.settle_s >= day.length_s:
        say(
            ("settle_s",),
            f"{day.settle_s:g} s leave nothing of the day; less than its {day.length_s:g} s",
            ("length_s",),
        )
    _check_fleet(day.fleet, say)
    _check_classes(day, say)
    _check_load(day.load, say)
    loss = day.network.loss
    for number, fault in enumerate(day.faults):
        if isinstance(fault, Loss):
            loss += _high(fault.size)
        _check_fault(day, fault, ("faults", number), loss, say)
    for name in day.expect.p99_ms:
        if name not in (names := [one.name for one in day.classes]):
            say(("expect", "p99_ms", name), f"no class {shown(name)}; {one_of(name, names)}", ("classes",))


def _check_list(names: Sequence[str], shares: Sequence[float], place: Place, key: Place, say: Say) -> None:
    """Names are there, each once, and their shares share something out."""
    if not names:
        say(place, "is empty; at least one")
    elif not sum(shares) > 0:
        say((*place, 0, "share"), "all shares are 0; at least one above", place)
    for number, name in enumerate(names):
        if name in names[:number]:
            say(
                (*place, number, *key),
                f"{shown(name)} is there already; a name of its own",
                *((*place, one, *key) for one in range(number)),
            )


def _check_fleet(fleet: Fleet, say: Say) -> None:
    _check_list(fleet.zones, [1], ("fleet", "zones"), (), say)
    _check_list(
        [one.name for one in fleet.kinds],
        [one.share for one in fleet.kinds],
        ("fleet", "kinds"),
        ("name",),
        say,
    )


def _check_classes(day: Scenario, say: Say) -> None:
    _check_list(
        [one.name for one in day.classes], [one.share for one in day.classes], ("classes",), ("name",), say
    )
    for number, one in enumerate(day.classes):
        place: Place = ("classes", number)
        if one.deadline_ms < one.aim_ms:
            say(
                (*place, "deadline_ms"),
                f"{one.deadline_ms:g} is before the aim; at least aim_ms = {one.aim_ms:g}",
                (*place, "aim_ms"),
            )
        if one.repeats == "keyed" and not one.window_ms > 0:
            say(
                (*place, "window_ms"),
                "a keyed class remembers its keys for a while; a number above 0",
                (*place, "repeats"),
            )


def _check_load(load: Load, say: Say) -> None:
    place: Place = ("load", "curve")
    if load.shape == "curve" and not load.curve:
        say(place, "is empty; [second, times the rate] at least once, or another shape", ("load", "shape"))
    elif load.curve and load.shape != "curve":
        say(place, f'stands beside shape = "{load.shape}"; shape = "curve"', ("load", "shape"))
    for number, (second, times) in enumerate(load.curve):
        if second < 0 or times < 0:
            say((*place, number), f"{shown([second, times])} is out of bounds; both numbers of at least 0")
        elif number and second <= load.curve[number - 1][0]:
            say((*place, number), f"second {second:g} is not after the one before; seconds in rising order")
    if load.curve and not any(times > 0 for _, times in load.curve):
        say(place, "asks nothing; at least one number above 0")


def _check_fault(day: Scenario, fault: AnyFault, place: Place, loss: float, say: Say) -> None:
    if (latest := _high(fault.at_s)) >= day.length_s:
        say(
            (*place, "at_s"),
            f"{latest:g} is not within the day; below length_s = {day.length_s:g}",
            ("length_s",),
        )
    whom = getattr(fault, "whom", None)
    if whom is not None:
        _check_whom(day.fleet, whom, (*place, "whom"), isinstance(fault, OF_SIDECARS), say)
    moves = isinstance(fault, DiscoveryFault) and fault.how == "moves"
    if (moves or isinstance(fault, Rolling | Restart | Upgrade)) and fault.for_s != 0:
        say((*place, "for_s"), "has no meaning for this fault; leave it out", (*place, "how"))
    if isinstance(fault, Crash) and fault.replaced and not _low(fault.for_s) > 0:
        say((*place, "for_s"), "a replacement comes some time after the crash; a number above 0")
    if isinstance(fault, Stall) and not _low(fault.for_s) > 0:
        say((*place, "for_s"), "a stall has an end; a number above 0")
    if isinstance(fault, Drain) and fault.for_s != 0 and _low(fault.for_s) <= fault.gone_s:
        say(
            (*place, "for_s"),
            f"{_low(fault.for_s):g} is over before the nodes are gone; above gone_s = "
            f"{fault.gone_s:g}, or 0 for never",
            (*place, "gone_s"),
        )
    if isinstance(fault, Cut):
        if fault.zone:
            _check_zone(day.fleet, fault.zone, (*place, "zone"), say)
        if len(day.fleet.zones) < 2:
            say((*place, "zone"), "there is no other zone to be cut off from; two zones", ("fleet", "zones"))
    if (
        isinstance(fault, HeavyTail)
        and fault.cls
        and fault.cls not in (names := [one.name for one in day.classes])
    ):
        say((*place, "cls"), f"no class {shown(fault.cls)}; {one_of(fault.cls, names)}", ("classes",))
    if isinstance(fault, Loss) and loss > 0.9:
        say(
            (*place, "size"),
            f"{loss:g} of all messages lost, all losses together; at most 0.9",
            ("network", "loss"),
        )


def _check_zone(fleet: Fleet, zone: str, place: Place, say: Say) -> None:
    if zone not in fleet.zones:
        say(place, f"no zone {shown(zone)}; {one_of(zone, fleet.zones)}", ("fleet", "zones"))


def _check_whom(fleet: Fleet, whom: Whom, place: Place, sidecars: bool, say: Say) -> None:
    ways = [name for name in ("numbers", "count", "share", "all") if getattr(whom, name)]
    total, party = (fleet.sidecars, "sidecar") if sidecars else (fleet.nodes, "node")
    there: Place = ("fleet", f"{party}s")
    kinds = [one.name for one in fleet.kinds]
    if len(ways) > 1:
        say((*place, ways[1]), f"stands beside {ways[0]}; one of numbers, count, share and all")
    elif not ways and not whom.zone and not whom.kind:
        say(place, "names nobody; one of numbers, count, share and all, or a zone")
    if whom.numbers and (whom.zone or whom.kind):
        say((*place, "numbers"), "stands beside a zone or kind; numbers alone")
    for position, number in enumerate(whom.numbers):
        if not 0 <= number < total:
            say((*place, "numbers", position), f"no {party} {number}; from 0 to {total - 1}", there)
        elif number in whom.numbers[:position]:
            say((*place, "numbers", position), f"{number} is there already; each once")
    most = total
    if whom.zone:
        _check_zone(fleet, whom.zone, (*place, "zone"), say)
        if whom.zone in fleet.zones:
            most = len(range(fleet.zones.index(whom.zone), total, len(fleet.zones)))
            if not most:
                say(
                    (*place, "zone"),
                    f"no {party} is in {whom.zone}; another zone or more {party}s",
                    there,
                    ("fleet", "zones"),
                )
    if whom.kind and sidecars:
        say((*place, "kind"), "sidecars are all of one kind; leave it out")
    elif whom.kind and whom.kind not in kinds:
        say((*place, "kind"), f"no kind {shown(whom.kind)}; {one_of(whom.kind, kinds)}", ("fleet", "kinds"))
    elif whom.kind and sum(one.share for one in fleet.kinds) > 0:
        of_kind = portions([one.share for one in fleet.kinds], total)[kinds.index(whom.kind)]
        most = min(most, of_kind)
        if not of_kind:
            say(
                (*place, "kind"),
                f"no node is of kind {whom.kind}; another kind or more nodes",
                there,
                ("fleet", "kinds"),
            )
    if most and whom.count > most:
        say(
            (*place, "count"),
            f"{whom.count} are more than there are; at most {most}",
            there,
            ("fleet", "zones"),
            ("fleet", "kinds"),
        )


def _low(figure: Figure) -> float:
    return figure[0] if isinstance(figure, tuple) else figure


def _high(figure: Figure) -> float:
    return figure[1] if isinstance(figure, tuple) else figure
