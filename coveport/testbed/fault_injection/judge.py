"""Judges a trial by the instances' histories and the store's own book, knowing of neither how it is made.

Rules, by name:

    order      accepted acts of a duty come in the order of their tokens, and none after a later holder's
    first told       what an instance was told as done is in the book, with the revision it was told; what
    was told as
               refused is not
    overlap    no two instances believe in the same duty at the same time (not judged where a clock ran wild)
    once       a duty's steps follow each other without a gap, and none was done twice
    lost       what a duty kept is what its steps came to; no successor began anew
    again      each duty is held by somebody a stated time after the last fault
    tenths     a roll-out takes a further step only when all of the last that are there run it, and none twice
    flood      what fresh nodes were sent on grants stays under their part of the safe load in any window
    crash      no instance ended by a fault of its own
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from coveport.sidecar.leases import log_events
from coveport.sidecar.leases.keys import INSTANCE_PREFIX
from coveport.sidecar.leases.store import Change, Entry
from coveport.sidecar.singletons.rollout_plan import RolloutPlan, instance_statuses
from coveport.sidecar.singletons.slow_start_coordinator import GRANTED_SHARE
from coveport.sidecar.singletons.slow_start_messages import SafeLoad
from coveport.testbed.fault_injection.history import Histories, Record


@dataclass(frozen=True, slots=True)
class Accepted:
    """An act in the store's book: a transaction that changed a duty's state."""

    duty: str
    at: float
    revision: int
    token: int  # of the duty's key as it stood then; 0: there was none
    holder: str  # the incarnation in the duty's key as it stood then
    state: bytes


def accepted(book: Iterable[tuple[float, Change]], prefix: str = "coveport/") -> list[Accepted]:
    """The acts in a store's book: its changes with their times, in the order in which they were made."""
    holders: dict[str, Entry] = {}
    acts = []
    for at, change in book:
        kind, _, duty = change.key.removeprefix(prefix).partition("/")
        if kind == "duty" and change.entry is None:
            holders.pop(duty, None)
        elif kind == "duty" and change.entry is not None:
            holders[duty] = change.entry
        elif kind == "state" and change.entry is not None:
            holder = holders.get(duty)
            acts.append(
                Accepted(
                    duty,
                    at,
                    change.revision,
                    0 if holder is None else holder.created,
                    "" if holder is None else holder.value.decode(),
                    change.entry.value,
                )
            )
    return acts


@dataclass(frozen=True, slots=True)
class Finding:
    """A rule that was broken."""

    rule: str
    at: float
    what: str


@dataclass(frozen=True, slots=True)
class Belief:
    """An instance believed in a holding from `start` to `end`, by the time that all share."""

    duty: str
    instance: str
    incarnation: str
    token: int
    start: float
    end: float


def beliefs(histories: Histories, deaths: Mapping[str, float], end: float) -> list[Belief]:
    """What each incarnation believed, and until when.

    A holding lasts to the record that ends it, but no longer than the session as it was last renewed: an
    instance that stands still writes its end down only when it goes on. Who acts believes: an act that is
    sent under a token draws that belief out to its moment, whatever was written before. `deaths`: when an
    incarnation's process ended.
    """
    found: list[Belief] = []
    open_: dict[tuple[str, str], tuple[Record, float]] = {}  # by incarnation and duty
    acted: dict[tuple[str, str, int], float] = {}  # by incarnation, duty and token: when it last sent an act

    def until(record: Record) -> float:
        # In the time that all share; over the seconds of a lease the clocks' different rates come to
        # little, and the terms' drift is for them.
        return record.at + record.seconds("until") - record.clock

    def close(key: tuple[str, str], at: float) -> None:
        begin, believed = open_.pop(key)
        last = max(min(at, believed), acted.get((*key, begin.number("token")), 0.0))
        last = min(last, deaths.get(key[0], end), end)
        if last > begin.at:
            found.append(Belief(key[1], begin.instance, key[0], begin.number("token"), begin.at, last))

    for one in histories.of(log_events.COMMIT_SENT):
        acted[one.incarnation, one.text("duty"), one.number("token")] = one.at
    for one in histories.records:
        if one.event == log_events.ROLE_ACQUIRED:
            key = one.incarnation, one.text("duty")
            if key in open_:
                close(key, one.at)
            open_[key] = one, until(one)
        elif one.event == log_events.LEASE_RENEWED:
            for key in [key for key in open_ if key[0] == one.incarnation]:
                open_[key] = open_[key][0], until(one)
        elif one.event == log_events.ROLE_LOST and (one.incarnation, one.text("duty")) in open_:
            close((one.incarnation, one.text("duty")), one.at)
    for key in list(open_):
        close(key, end)
    return sorted(found, key=lambda belief: (belief.start, belief.end))


def order(book: Sequence[Accepted]) -> list[Finding]:
    """Rule `order`, by the token and the holder that each accepted act was made under.

    The book tells whose key stood when the act was accepted; an act by anybody else has broken through the
    fence.
    """
    found, highest = [], defaultdict[str, int](int)
    for act in sorted(book, key=lambda one: one.revision):
        if act.token < highest[act.duty] or act.token == 0:
            found.append(
                Finding(
                    "order",
                    act.at,
                    f"{act.duty}: an act under token {act.token} at revision "
                    f"{act.revision}, after one under {highest[act.duty]}",
                )
            )
        highest[act.duty] = max(highest[act.duty], act.token)
    return found


def told(histories: Histories, book: Sequence[Accepted]) -> list[Finding]:
    """Rules `told` and, by the acts' own words, `order`: a token that was used is the one that stood then."""
    by_revision = {(act.duty, act.revision): act for act in book}
    found = []
    for one in histories.of(log_events.COMMIT_FINISHED):
        act = by_revision.get((one.text("duty"), one.number("revision")))
        end = one.text("end")
        if end == "Done" and act is None:
            found.append(
                Finding(
                    "told",
                    one.at,
                    f"{one.instance}: told done at revision {one.number('revision')}, "
                    "the book has no such act",
                )
            )
        elif end == "Done" and act is not None and act.token != one.number("token"):
            found.append(
                Finding(
                    "order",
                    one.at,
                    f"{one.instance}: an act under token {one.number('token')} was "
                    f"accepted while {act.token} stood",
                )
            )
    return found


def steps(book: Sequence[Accepted], duty: str = "drill") -> list[Finding]:
    """Rules `once` and `lost` for the drill, whose state is a count."""
    found, before = [], 0
    for act in sorted((one for one in book if one.duty == duty), key=lambda one: one.revision):
        count = int(json.loads(act.state)["count"])
        if count <= before:
            rule = "lost" if count == 1 and before > 1 else "once"
            found.append(Finding(rule, act.at, f"{duty}: step {count} after step {before}"))
        elif count > before + 1:
            found.append(Finding("once", act.at, f"{duty}: step {count} after step {before}: one left out"))
        before = count
    return found


def rollouts(
    book: Iterable[tuple[float, Change]], prefix: str = "coveport/", news_s: float = 3.0
) -> list[Finding]:
    """Rule `tenths`: by the plan as the store had it, and what instances had told of themselves by then.

    `news_s`: who has come back within that time may not be known of yet (a holder whose news are older than
    the time to live holds nothing), and catches up by itself with what a step before it has proven.
    """
    found: list[Finding] = []
    there: dict[str, Entry] = {}
    came: dict[str, float] = {}
    before: RolloutPlan | None = None
    for at, change in book:
        key = change.key.removeprefix(prefix)
        if key != "state/rollout" or change.entry is None:
            if change.entry is None:
                there.pop(key, None)
            else:
                if key not in there:
                    came[key] = at
                there[key] = change.entry
            continue
        plan = msgspec.json.decode(change.entry.value, type=RolloutPlan)
        if (
            before is not None
            and before.new_settings == plan.new_settings
            and plan.steps_done != before.steps_done
        ):
            if plan.steps_done != before.steps_done + 1:
                found.append(Finding("tenths", at, f"step {plan.steps_done} after step {before.steps_done}"))
            late = [
                name
                for name, one in instance_statuses(there).items()
                if name in before.updated_instances
                and one.running != plan.new_settings
                and at - came[INSTANCE_PREFIX + name] > news_s
            ]
            if late:
                found.append(
                    Finding(
                        "tenths", at, f"step {plan.steps_done} while {late[0]} has not taken the one before"
                    )
                )
        before = plan
    return found


def floods(histories: Histories, born: float, service_s: float, safe: SafeLoad) -> list[Finding]:
    """Rule `flood`: what was sent on grants, all instances together."""
    used = [(one.at, one.number("count")) for one in histories.of("used")]
    found = []
    for begin, _ in used:
        came = sum(count for at, count in used if begin <= at <= begin + safe.overload_window_s)
        bears = GRANTED_SHARE * safe.operations(begin - born, service_s)
        if came > bears:
            found.append(
                Finding(
                    "flood",
                    begin,
                    f"{came} operations in {safe.overload_window_s:g} s on grants; "
                    f"{bears:.0f} are their part",
                )
            )
    return found


def overlaps(held: Iterable[Belief], allowed_s: float) -> list[Finding]:
    """Rule `overlap`: by at most so much, which clocks within their drift can't bring about."""
    found, by_duty = [], defaultdict[str, list[Belief]](list)
    for one in held:
        by_duty[one.duty].append(one)
    for duty, line in by_duty.items():
        last: Belief | None = None
        for one in line:
            if last is not None and one.start < last.end - allowed_s and one.token != last.token:
                both = min(one.end, last.end) - one.start
                found.append(
                    Finding(
                        "overlap",
                        one.start,
                        f"{duty}: {one.instance} (token {one.token}) and "
                        f"{last.instance} (token {last.token}), {both:.3f} s",
                    )
                )
            if last is None or one.end > last.end:
                last = one
    return found


def gaps(held: Iterable[Belief], duty: str, start: float, end: float) -> list[tuple[float, float]]:
    """When nobody believed in a duty between two times."""
    found, free = [], start
    for one in sorted((one for one in held if one.duty == duty), key=lambda one: one.start):
        if one.start > free:
            found.append((free, min(one.start, end)))
        free = max(free, one.end)
        if free >= end:
            break
    if free < end:
        found.append((free, end))
    return [(begin, over) for begin, over in found if over > begin]


def again(
    held: Sequence[Belief], duties: Iterable[str], calm_from: float, within_s: float, end: float
) -> list[Finding]:
    """Rule `again`: from `within_s` after the last fault on, each duty is held but for handing on."""
    found = []
    for duty in duties:
        first = next(
            (
                one.start
                for one in sorted(held, key=lambda one: one.start)
                if one.duty == duty and one.end > calm_from
            ),
            None,
        )
        if first is None or first > calm_from + within_s:
            found.append(
                Finding(
                    "again",
                    calm_from + within_s,
                    f"{duty}: nobody holds it {within_s:.1f} s after the last fault",
                )
            )
            continue
        for begin, over in gaps(held, duty, calm_from + within_s, end):
            if over - begin > within_s:
                found.append(
                    Finding("again", begin, f"{duty}: nobody for {over - begin:.1f} s on a calm stretch")
                )
    return found
