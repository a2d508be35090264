"""Sidecars that are broken on purpose, to show that the oracle sees it, and legal ones of another policy.

Each is the real program with one part replaced. They run on simulated ground only.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from coveport import balancing
from coveport.balancing import Balancer
from coveport.balancing.host import Host
from coveport.balancing.request_state import RequestState
from coveport.sidecar.discovery.endpoint_reader import DiscoveredEndpoints
from coveport.sidecar.downstream.operation_client import OperationClient
from coveport.sidecar.effects import Effects
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.operation import Answer, Operation
from coveport.sidecar.reducer.reducer import Reducer
from coveport.sidecar.upstream.attempt import Attempt

EVERY = 40  # of so many operations, one meets the fault where it is not a matter of circumstances

MakeReducer = Callable[[balancing.Settings, int], Reducer]


@dataclass(frozen=True)
class Variant:
    """A sidecar that differs from the shipped one."""

    name: str
    about: str
    rule: str = ""  # what the oracle must find broken; empty: it breaks none
    reducer: MakeReducer = Reducer
    effects: type[Effects] = Effects
    scenario: tuple[str, ...] = ()  # settings under which the fault shows, where it needs some


def _lied(change: Callable[[balancing.Settings], balancing.Settings]) -> MakeReducer:
    """Everything that decides is told something else than what holds."""
    return lambda settings, seed: Reducer(change(settings), seed)


def _decides(balancer: type[Balancer]) -> MakeReducer:
    return lambda settings, seed: Reducer(settings, seed, balancer)


def _classes(settings: balancing.Settings, kind: balancing.Effect, **changed: object) -> balancing.Settings:
    return dataclasses.replace(
        settings,
        classes=tuple(
            dataclasses.replace(cls, **changed) if cls.effect is kind else cls  # type: ignore[arg-type]
            for cls in settings.classes
        ),
    )


def _limits(settings: balancing.Settings, **changed: object) -> balancing.Settings:
    return dataclasses.replace(settings, limits=dataclasses.replace(settings.limits, **changed))  # type: ignore[arg-type]


# Deciders.


class _DeafToDrains(Balancer):
    def _update_endpoints(self, event: balancing.EndpointUpdate) -> None:
        entries = tuple(
            dataclasses.replace(one, state=balancing.EndpointState.READY) for one in event.entries
        )
        super()._update_endpoints(balancing.EndpointUpdate(event.kind, entries, event.version))


class _FloodsTheCold(Balancer):
    def _slow_start_allows(self, host: Host, request: RequestState, first: bool) -> bool:
        return True

    def _is_saturated(self) -> bool:
        return False

    def _draw(self, level: list[Host], request: RequestState) -> Host | None:
        usable = [host for host in level if host.readmit_at == inf and self._is_allowed(request, host)]
        return max(usable, key=lambda host: (host.slow_start_at, -host.id), default=None)


class _RefusesAll(Balancer):
    def _answer(self, request: RequestState) -> None:
        self.actions.append(balancing.Refuse(request.id, 0.0))
        self._end(request.id)


class _RandomPick(Balancer):
    def _draw(self, level: list[Host], request: RequestState) -> Host | None:
        tried = [attempt.host for attempt in request.attempts]
        usable = [host for host in level if host not in tried and self._is_usable(host, request, True)]
        return self.random.choice(usable) if usable else None


# Hands.


class _Hands(Effects):
    """Meets its fault at one operation in `EVERY`."""

    def struck(self, number: int) -> bool:
        return number % EVERY == EVERY - 1


class _AnswersTwice(_Hands):
    def _answer(self, effect: core.SendAnswer) -> None:
        client = self._open[effect.operation].client
        super()._answer(effect)
        if client is not None and self.struck(effect.operation):
            client.answer(effect.verdict, effect.answer, effect.retry_after_ms)


class _ForgetsAnswers(_Hands):
    def _answer(self, effect: core.SendAnswer) -> None:
        if not self.struck(effect.operation):
            super()._answer(effect)


class _MixesBodies(_Hands):
    _last: Answer | None = None

    def _answer(self, effect: core.SendAnswer) -> None:
        if effect.answer is not None:
            mine, self._last = effect.answer, effect.answer if self._last is None else self._last
            if self.struck(effect.operation):
                effect.answer = self._last
            self._last = mine
        super()._answer(effect)


class _CutsBodies(_Hands):
    def _answer(self, effect: core.SendAnswer) -> None:
        if effect.answer is not None and self.struck(effect.operation):
            effect.answer = Answer(effect.answer.body[:-1], effect.answer.content_type)
        super()._answer(effect)


class _AnswersLate(_Hands):
    def accept(self, number: int, client: OperationClient, operation: Operation) -> None:
        if self.struck(number):
            loop = self._net.loop
            at = loop.time() + operation.wait_ms / 1000 + 0.04
            client = _Later(lambda call: loop.call_at(at, call), client)
        super().accept(number, client, operation)


class _HoldsBack(_Hands):
    """What it gives up is answered only when the client's time is nearly over, to spare a retry."""

    def accept(self, number: int, client: OperationClient, operation: Operation) -> None:
        until = self._net.now_s() + 0.95 * operation.wait_ms / 1000
        loop = self._net.loop
        held = _Later(lambda call: loop.call_later(max(0.0, until - loop.time()), call), client, served=False)
        super().accept(number, held, operation)


class _Later:
    def __init__(
        self, later: Callable[[Callable[[], None]], object], client: OperationClient, served: bool = True
    ) -> None:
        self._later = later
        self._client = client
        self._served = served

    def answer(self, verdict: core.Verdict, answer: Answer | None, retry_after_ms: float) -> None:
        if verdict is core.Verdict.SERVED and not self._served:
            self._client.answer(verdict, answer, retry_after_ms)
        else:
            self._later(lambda: self._client.answer(verdict, answer, retry_after_ms))

    def begin(self, answer: Answer, source: Attempt) -> None:
        self._client.begin(answer, source)

    def more(self, data: bytes) -> None:
        self._client.more(data)

    def finish(self, complete: bool) -> None:
        self._client.finish(complete)

    def has_disconnected(self) -> bool:
        return self._client.has_disconnected()


class _LosesCancels(Effects):
    def _execute(self, effect: core.Effect) -> None:
        if not isinstance(effect, core.CancelAttempt):
            super()._execute(effect)


class _ChangesKeys(_Hands):
    def _send(self, effect: core.SendAttempt) -> None:
        asked = self._open[effect.operation].operation
        if asked.key is not None and effect.step:
            asked.key = asked.key[::-1]
        super()._send(effect)


class _SendsOn(_Hands):
    """Sends once more what has its answer already."""

    def _answer(self, effect: core.SendAnswer) -> None:
        asked = self._open[effect.operation].operation
        super()._answer(effect)
        if self.struck(effect.operation) and self.connection_pool._endpoints:
            number = next(iter(self.connection_pool._endpoints))
            self._net.loop.call_later(
                0.3, lambda: self.connection_pool.send(number, asked, 1.0, lambda result: None)
            )


class _KeepsTheGone(Effects):
    """Sends where the list said, and goes on where it says no more."""

    def _apply_update(self, update: DiscoveredEndpoints) -> None:
        update.endpoints = [(number, place) for number, place in update.endpoints if place is not None]
        entries = tuple(one for one in update.update.entries if one.state is balancing.EndpointState.READY)
        update.update = balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.DELTA, entries, update.update.version
        )
        super()._apply_update(update)


class _Dies(Effects):
    def accept(self, number: int, client: OperationClient, operation: Operation) -> None:
        super().accept(number, client, operation)
        if number == 2 * EVERY:
            raise SystemExit(3)


class _NeverEnds(Effects):
    @property
    def owed(self) -> int:
        return 1


_ALL = (
    Variant(
        "redeem-resent",
        "a redeem is tried again though it may have run",
        "resent",
        _lied(lambda s: _classes(s, balancing.Effect.UNSAFE, effect=balancing.Effect.SAFE)),
    ),
    Variant(
        "earn-elsewhere",
        "an earn is tried again in another cell",
        "resent",
        _lied(lambda s: _classes(s, balancing.Effect.KEYED, group=balancing.DeduplicationScope.ALL)),
    ),
    Variant(
        "earn-past-window",
        "an earn is tried again when its window is over",
        "resent",
        _lied(lambda s: _classes(s, balancing.Effect.KEYED, window_ms=1e6)),
        scenario=("classes.1.window_ms=300",),
    ),
    Variant("answers-twice", "a second final answer", "answer-twice", effects=_AnswersTwice),
    Variant("answers-none", "no final answer", "answer-none", effects=_ForgetsAnswers),
    Variant("mixes-bodies", "the body of another operation", "body", effects=_MixesBodies),
    Variant("cuts-bodies", "a body that is not whole", "body", effects=_CutsBodies),
    Variant("answers-late", "an answer after the client's time", "answer-late", effects=_AnswersLate),
    Variant(
        "holds-back", "what is given up is answered late, to spare a retry", "answer-held", effects=_HoldsBack
    ),
    Variant("deaf-to-drains", "goes on sending to what drains", "drained", _decides(_DeafToDrains)),
    Variant(
        "floods-cold",
        "sends all to the node that has just started",
        "cold",
        _decides(_FloodsTheCold),
        scenario=("load.level=1.0",),
    ),
    Variant(
        "fourth-attempt",
        "more attempts than allowed",
        "attempts",
        _lied(lambda s: _limits(s, max_attempts=9)),
        scenario=("rules.most_tries=2",),
    ),
    Variant(
        "loses-cancels", "attempts go on when their operation is over", "cancel-lost", effects=_LosesCancels
    ),
    Variant(
        "second-copy",
        "a second copy where none is allowed",
        "second-copy",
        _lied(lambda s: _limits(s, second_copies=True)),
        scenario=("rules.second_copies=false",),
    ),
    Variant("refuses-all", "a busy reply for what may have run", "refused", _decides(_RefusesAll)),
    Variant("changes-keys", "another key at a further attempt", "changed", effects=_ChangesKeys),
    Variant("sends-on", "an attempt after the final answer", "after-end", effects=_SendsOn),
    Variant("keeps-the-gone", "never forgets a node", "drained", effects=_KeepsTheGone),
    Variant("dies", "ends by itself", "process", effects=_Dies),
    Variant("never-ends", "hangs at its planned end", "process", effects=_NeverEnds),
    Variant("random-pick", "picks at random among the usable", reducer=_decides(_RandomPick)),
    Variant(
        "no-retries",
        "one attempt, no second copies",
        reducer=_lied(lambda s: _limits(s, max_attempts=1, second_copies=False)),
    ),
)

VARIANTS = {one.name: one for one in _ALL}
"""All of them by name."""

SHIPPED = Variant("", "the sidecar as it is shipped")


def variant_named(name: str) -> Variant:
    """The variant of that name, the shipped one for an empty name; ValueError with the names there are."""
    if not name:
        return SHIPPED
    if name not in VARIANTS:
        raise ValueError(f"no variant {name!r}; one of {', '.join(VARIANTS)}")
    return VARIANTS[name]
