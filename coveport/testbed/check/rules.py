"""What no path may show: the rules on answers, sends, busy replies and cancels, and what tables may hold.

Judged from what went in and came out alone, but for the tables, which are the reducer's and the module's own.
The names are those of the lab's oracle where it has such a rule. Pure.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from coveport import balancing
from coveport.balancing import Balancer, EndpointState, Outcome
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.messages import Verdict
from coveport.sidecar.reducer.reducer import Reducer
from coveport.testbed.check.surroundings import Asked, Step, Surroundings
from coveport.testbed.check.world import NODE, OPERATION

RULES = {
    "answer-twice": "an operation got a second final answer, or one after its client had gone",
    "answer-none": "an operation got no final answer by its deadline and slack, or no guard to give one",
    "answer-held": "what was known (a node's 200; that nothing more may be tried) was not passed on at once",
    "body": "served with another answer than the node's",
    "double": "refused as a double though none of its name was open, or not refused though one was",
    "refused": "a busy reply for what may have run and may not be repeated",
    "resent": "a route step that class, cell or window forbid, given what may have run",
    "second-copy": "two route steps out together where that is not allowed",
    "attempts": "more route steps than allowed, or a number given twice",
    "after-end": "a route step sent after the final answer, or after the client had gone",
    "span": "a route step with no time, or with more than its operation has",
    "drained": "a route step or probe to a node that drains, or is gone, for longer than the grace",
    "unnamed": "a route step or probe to a node that was never named",
    "cancel-lost": "a route step left out, and not cancelled, after its operation was over",
    "cancel-wrong": "a cancel that names nothing sent, or one of an operation that goes on",
    "cancel-barred": "a cancel where the settings forbid them",
    "probe-barred": "a probe where the settings forbid them",
    "unasked": "the list comes only to those who ask, and it was not asked for in time",
    "complaint": "the reducer complained, or raised",
    "tables": "a table holds what is over, or lacks what is out",
    "timers": "more timers of the module wait together than the world allows",
}


@dataclass(frozen=True, slots=True)
class Breach:
    """A rule that a path breaks."""

    rule: str  # one of `RULES`
    text: str  # one sentence for people


def of_effect(around: Surroundings, effect: core.Effect) -> Iterator[Breach]:
    """What an effect breaks, judged before it is carried out."""
    if isinstance(effect, core.SendAttempt):
        yield from _send(around, effect)
    elif isinstance(effect, core.SendAnswer):
        yield from _answer(around, effect)
    elif isinstance(effect, core.CancelAttempt):
        asked = around.open.get(effect.operation)
        name = f"step {effect.step} of operation {effect.operation - OPERATION}"
        if asked is None or effect.step not in asked.steps:
            yield Breach("cancel-wrong", f"{name} was cancelled, which is not known or long over")
        elif not asked.over:
            yield Breach("cancel-wrong", f"{name} was cancelled while the operation is owed its answer")
        if not around.world.settings.limits.cancel:
            yield Breach("cancel-barred", f"{name} was cancelled, which the settings forbid")
    elif isinstance(effect, core.CheckHealth):
        yield from _destination(around, "a probe", effect.destination)
        if not around.world.settings.limits.probes:
            yield Breach("probe-barred", f"node {effect.destination - NODE} was probed, which is forbidden")
    elif isinstance(effect, core.ReportFault) and not around.world.complaints:
        yield Breach("complaint", effect.text.strip().splitlines()[-1])


def _destination(around: Surroundings, what: str, destination: int) -> Iterator[Breach]:
    node = destination - NODE
    state = around.states.get(node)
    if state is None:
        yield Breach("unnamed", f"{what} went to node {node}, which was never named")
    elif state is not EndpointState.READY:
        since = around.now - around.told_at[node]
        if since > around.world.settings.rules.drain_grace_ms:
            yield Breach(
                "drained",
                f"{what} went to node {node} {since:g} ms after word that it is {state.name.lower()}",
            )


def _send(around: Surroundings, effect: core.SendAttempt) -> Iterator[Breach]:
    limits, number = around.world.settings.limits, effect.operation - OPERATION
    asked = around.open.get(effect.operation)
    name = f"step {effect.step} of operation {number}"
    yield from _destination(around, name, effect.destination)
    if asked is None or asked.over:
        yield Breach("after-end", f"{name} was sent after the operation was over")
        return
    if effect.step in asked.steps or len(asked.steps) >= limits.max_attempts:
        yield Breach(
            "attempts", f"{name} is number {len(asked.steps) + 1}; {limits.max_attempts} are allowed"
        )
    left = asked.deadline_ms - around.now
    if not 0 < effect.timeout_ms <= left:
        yield Breach("span", f"{name} was given {effect.timeout_ms:g} ms, where {left:g} ms are left")
    if asked.out() and not limits.second_copies:
        yield Breach("second-copy", f"{name} was sent while another is out")
    cls = around.world.settings.classes[around.world.wishes[asked.wish].cls]
    for place, step in asked.steps.items():
        why = _forbidden(around, cls, step, effect.destination - NODE) if step.may_have_run else ""
        if why:
            how = step.outcome.name if step.outcome is not None else "still out"
            yield Breach("resent", f"{name} was sent after step {place} ({how}), which may have run: {why}")


def _forbidden(around: Surroundings, cls: balancing.RequestClass, earlier: Step, node: int) -> str:
    if cls.effect is balancing.Effect.SAFE:
        return ""
    if cls.effect is balancing.Effect.UNSAFE:
        return f"{cls.name} must never run twice"
    nodes = around.world.nodes
    if cls.group is not balancing.DeduplicationScope.ALL and nodes[earlier.node].zone != nodes[node].zone:
        return "another zone does not know its key"
    if cls.group is balancing.DeduplicationScope.CELL and nodes[earlier.node].cell != nodes[node].cell:
        return "another cell does not know its key"
    age = around.now - earlier.sent_at
    return f"its key is forgotten, {age:g} ms after" if age > cls.window_ms else ""


def _answer(around: Surroundings, effect: core.SendAnswer) -> Iterator[Breach]:
    name = f"operation {effect.operation - OPERATION}"
    asked = around.open.get(effect.operation)
    if asked is None or asked.over:
        when = "after its client had gone" if asked is not None and asked.gone else "a second time"
        yield Breach("answer-twice", f"{name} was answered ({effect.verdict.value}) {when}")
        return
    wish = around.world.wishes[asked.wish]
    if effect.verdict is Verdict.BUSY:
        cls = around.world.settings.classes[wish.cls]
        may = [place for place, step in asked.steps.items() if step.may_have_run]
        harmless = cls.effect is balancing.Effect.SAFE or (
            cls.effect is balancing.Effect.KEYED and cls.group is balancing.DeduplicationScope.ALL
        )
        if may and not harmless:
            yield Breach("refused", f"{name} ({cls.name}) got a busy reply, and step {may[0]} may have run")
    elif effect.verdict is Verdict.SERVED:
        made = [
            around.answer_of(effect.operation, place)
            for place, step in asked.steps.items()
            if step.outcome is Outcome.OK
        ]
        if effect.answer not in made:
            yield Breach("body", f"{name} was served {effect.answer}, which no node made for it")
    elif effect.verdict is Verdict.DUPLICATE and not _doubled(around, effect.operation, asked):
        yield Breach("double", f"{name} was refused as a double of none")


def _doubled(around: Surroundings, number: int, asked: Asked) -> bool:
    wishes = around.world.wishes
    name = wishes[asked.wish].id
    return bool(name) and any(
        other != number and wishes[one.wish].id == name and wishes[one.wish].room
        for other, one in around.open.items()
    )


def of_input(around: Surroundings, item: core.Input) -> Iterator[Breach]:
    """What is broken once all effects of an input are carried out."""
    if isinstance(item, core.OperationReceived):
        asked = around.open[item.operation]
        name = f"operation {item.operation - OPERATION}"
        latest = asked.deadline_ms + around.world.settings.rules.answer_slack_ms
        if not asked.over and not asked.deadline_ms <= asked.guard_at <= latest:
            yield Breach("answer-none", f"{name} has no guard between its deadline and the slack's end")
        if not asked.answered and item.is_admitted and _doubled(around, item.operation, asked):
            yield Breach("double", f"{name} goes on beside another of its name")
    for number, asked in around.open.items():
        name = f"operation {number - OPERATION}"
        out = asked.out()
        if asked.over:
            for place in out:
                if not asked.steps[place].cancelled and around.world.settings.limits.cancel:
                    yield Breach("cancel-lost", f"step {place} of {name} is left out, and {name} is over")
        elif isinstance(item, core.DeadlineExpired) and item.operation == number:
            yield Breach("answer-none", f"the guard of {name} gave no answer")
        elif any(step.outcome is Outcome.OK for step in asked.steps.values()):
            yield Breach("answer-held", f"{name} was served by a node, and has no answer")
        elif asked.steps and not out:
            cls = around.world.settings.classes[around.world.wishes[asked.wish].cls]
            ran = cls.effect is balancing.Effect.UNSAFE and any(
                one.may_have_run for one in asked.steps.values()
            )
            if ran or len(asked.steps) >= around.world.settings.limits.max_attempts:
                yield Breach("answer-held", f"nothing more may be tried for {name}, and it has no answer")


def of_time(around: Surroundings) -> Iterator[Breach]:
    """What is broken by the time that has passed."""
    settings = around.world.settings
    for number, asked in around.open.items():
        late = around.now - asked.deadline_ms - settings.rules.answer_slack_ms
        if not asked.over and late > 0 and asked.guard_at > around.now:
            yield Breach(
                "answer-none",
                f"operation {number - OPERATION} has no answer {late:g} ms after its deadline and slack",
            )
    if settings.must_ask and not around.asks:
        since = around.now - around.quiet_since
        if since > settings.rules.ask_within_ms:
            yield Breach("unasked", f"the list was not asked for in {since:g} ms")


def of_tables(around: Surroundings, reducer: Reducer, balancer: Balancer) -> Iterator[Breach]:
    """What the tables hold beside what is open and out; those of a module with a fault are its own affair."""
    world = around.world
    owed = {number for number, asked in around.open.items() if not asked.over}
    out = {(number, place) for number, asked in around.open.items() for place in asked.out()}
    ids = {world.wishes[asked.wish].id or str(number) for number, asked in around.open.items()}
    tables: list[tuple[str, object, object]] = [
        ("operations", set(reducer._operations), set(around.open)),
        ("ids", set(reducer._ids), ids),
        ("owed", reducer.owed, len(owed)),
    ]
    if not world.complaints:
        hosts = *balancer.hosts.values(), *(one.host for one in balancer.in_flight.values())
        pending = {key for host in hosts for key in host.pending}
        held = [request.id for request in balancer.queue if request.waiting]
        tables += [
            ("open", set(balancer.requests), owed),
            ("flights", set(balancer.in_flight), out),
            ("pending", pending, out),
            ("held and over", set(held) - owed, set()),
            ("held twice", len(held) - len(set(held)), 0),
            (
                "gone",
                {host for host in balancer.hosts if around.states[host - NODE] is EndpointState.GONE},
                set(),
            ),
            ("due without a timer", bool(balancer.timers) and not around.timers, False),
        ]
    for name, has, should in tables:
        if has != should:
            yield Breach("tables", f"{name}: {has}, and should be {should}")
    instants = [at for at, _ in around.timers]
    twins = max(map(instants.count, instants), default=0)
    for what, most, count in (
        ("wait together", world.most_timers, len(instants)),
        ("wait for the same instant", world.most_twins, twins),
    ):
        if most and count > most:
            yield Breach("timers", f"{count} timers of the module {what}; {most} are allowed")
