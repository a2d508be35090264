"""What is around the reducer in a small world: what may come next, and the facts to judge by. Pure."""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil, inf

from coveport import balancing
from coveport.balancing import EndpointState, EndpointUpdateKind, Outcome
from coveport.sidecar.reducer import messages as core
from coveport.sidecar.reducer.operation import Answer
from coveport.testbed.check.world import (
    NODE,
    OPERATION,
    START_MS,
    Came,
    Deadline,
    Ended,
    Left,
    Move,
    Probed,
    Reload,
    Timer,
    Told,
    Until,
    Word,
    World,
)

ELSEWHERE = ("127.0.0.1", 1)  # where a reload says that discovery is
PROBE_OUTCOMES = (Outcome.OK, Outcome.CONNECT_FAILED)


class Step:
    """A route step as the world saw it."""

    __slots__ = ("cancelled", "due_at", "node", "outcome", "ripe_at", "sent_at")

    def __init__(self, node: int, sent_at: float, due_at: float, ripe_at: float) -> None:
        self.node = node
        self.sent_at = sent_at
        self.due_at = due_at
        self.ripe_at = ripe_at
        self.outcome: Outcome | None = None  # None: still out
        self.cancelled = False

    @property
    def may_have_run(self) -> bool:
        """Whether it may have had its effect, or may yet."""
        return self.outcome not in balancing.NEVER_RAN


class Asked:
    """An operation as the world saw it."""

    __slots__ = ("answered", "deadline_ms", "gone", "guard_at", "steps", "wish")

    def __init__(self, wish: int, deadline_ms: float) -> None:
        self.wish = wish
        self.deadline_ms = deadline_ms
        self.guard_at = inf
        self.answered = self.gone = False
        self.steps: dict[int, Step] = {}

    @property
    def over(self) -> bool:
        """Whether nothing is owed any more."""
        return self.answered or self.gone

    def out(self) -> list[int]:
        """The route steps that are out."""
        return [number for number, step in self.steps.items() if step.outcome is None]


class Surroundings:
    """The facts: what came, what is out, what is due, what was told."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.now = START_MS
        self.open: dict[int, Asked] = {}  # not over, or with route steps out
        self.came = 0
        first = {wish: place for place, wish in reversed(list(enumerate(world.wishes)))}
        self.wishes = [0] * len(world.wishes)  # how many of each sort are still to come
        for wish in world.wishes:
            self.wishes[first[wish]] += 1
        self.word = self.lull = 0  # the next ones
        self.faults = world.faults
        self.leaves = world.leaves
        self.reloads = world.reloads
        self.stalls = world.stalls
        self.timers: list[tuple[float, int]] = []
        self.probes: list[tuple[float, float, int]] = []  # due, sent, node
        self.states: dict[int, EndpointState] = {}  # of nodes named; gone ones stay
        self.told_at: dict[int, float] = {}  # since when a node is to be sent nothing
        self.births: dict[tuple[int, int], float] = {}
        self.asks, self.quiet_since = False, self.now  # whether discovery is asked; since when not

    # What may come next.

    def moves(self) -> list[tuple[float, Move]]:
        """All that may happen next, each with its time."""
        now, found = self.now, self._due()
        due = min((at for at, _ in found), default=inf)
        # Of what is due the first comes first, as a loop's timers do; what comes from outside, at any time.
        moves: list[tuple[float, Move]] = [(now, move) for at, move in found if at == due]
        moves += ((now, move) for move in self._offered())
        if due < inf:
            return moves
        instants = sorted(set(self._instants()))
        if instants:
            moves.append((instants[0], Until()))
            if self.stalls and len(instants) > 1:
                moves.append((instants[1], Until(asleep=True)))
        elif self.lull < len(self.world.lulls_ms):
            moves.append((now + self.world.lulls_ms[self.lull], Until()))
        return moves

    def next_due(self) -> tuple[float, Move] | None:
        """What is due first of all, whenever that is."""
        return min(self._due(inf), key=lambda one: one[0], default=None)

    def _due(self, until: float | None = None) -> list[tuple[float, Move]]:
        until = self.now if until is None else until
        due: dict[tuple[float, Move], None] = {}
        for at, token in self.timers:
            if at <= until:
                due[at, Timer(token)] = None
        for number, asked in self.open.items():
            if asked.guard_at <= until:
                due[asked.guard_at, Deadline(number - OPERATION)] = None
            for place, step in asked.steps.items():
                if step.outcome is None and step.due_at <= until:
                    due[step.due_at, Ended(number - OPERATION, place, Outcome.TIMEOUT)] = None
        for at, _, node in self.probes:
            if at <= until:
                due[at, Probed(node, Outcome.TIMEOUT)] = None
        return list(due)

    def _offered(self) -> Iterator[Move]:
        for place, count in enumerate(self.wishes):
            if count:
                yield Came(place)
        for number, asked in self.open.items():
            for place, step in asked.steps.items():
                if step.outcome is None:
                    yield from self._ends(number - OPERATION, place, step)
            if self.leaves and not asked.over:
                yield Left(number - OPERATION)
        for _, sent, node in dict.fromkeys(self.probes):
            for outcome in PROBE_OUTCOMES:
                if self.now >= sent + self.world.quick_ms and (self.faults or outcome is Outcome.OK):
                    yield Probed(node, outcome)
        if self.word < len(self.world.words) and (self.asks or not self.world.settings.must_ask):
            yield Told()
        if self.reloads:
            yield Reload()

    def _ends(self, number: int, place: int, step: Step) -> Iterator[Move]:
        ripe = self.now >= step.ripe_at
        if ripe:
            yield Ended(number, place, Outcome.OK)
        if self.faults:
            for outcome in self.world.outcomes:
                if ripe or outcome is Outcome.CONNECT_FAILED:
                    yield Ended(number, place, outcome)
        if step.cancelled:
            yield Ended(number, place, Outcome.CANCELLED)

    def _instants(self) -> Iterator[float]:
        """Where time may stop: what is due, an answer that may come, just after a figure of a rule."""
        world, now = self.world, self.now
        yield from (at for at, _ in self.timers)
        yield from (at for at, _, _ in self.probes)
        yield from (at for _, sent, _ in self.probes if (at := sent + world.quick_ms) > now)
        for asked in self.open.values():
            if asked.guard_at < inf:
                yield asked.guard_at
            cls = world.settings.classes[world.wishes[asked.wish].cls]
            for step in asked.steps.values():
                if step.outcome is None:
                    yield step.due_at
                    if step.ripe_at > now:
                        yield step.ripe_at
                if cls.effect is balancing.Effect.KEYED and not asked.over and step.may_have_run:
                    at = self.on_grid(step.sent_at + cls.window_ms) + world.grid_ms
                    if now < at < asked.deadline_ms:
                        yield at
        if any(self.wishes) or any(not asked.over for asked in self.open.values()):
            for since in self.told_at.values():
                at = self.on_grid(since + world.settings.rules.drain_grace_ms) + world.grid_ms
                if at > now:
                    yield at

    def on_grid(self, at: float) -> float:
        """The instant at which a timer for then fires."""
        return ceil(at / self.world.grid_ms) * self.world.grid_ms

    # What comes.

    def take(self, at: float, move: Move) -> core.Input | None:
        """Let a move happen; the input that it is to the reducer."""
        if isinstance(move, Until):
            if at > self.now and not move.asleep and not any(True for _ in self._instants()):
                self.lull += 1
            self.stalls -= move.asleep
            self.now = at
            return None
        if isinstance(move, Came):
            return self._came(move.wish)
        if isinstance(move, Ended):
            return self.ended(move.operation + OPERATION, move.step, move.outcome)
        if isinstance(move, Left):
            self.leaves -= 1
            asked = self.open[move.operation + OPERATION]
            asked.gone, asked.guard_at = True, inf
            return core.ClientDisconnected(move.operation + OPERATION)
        if isinstance(move, Timer):
            self.timers.remove(min(timer for timer in self.timers if timer[1] == move.token))
            return core.TimerExpired(move.token)
        if isinstance(move, Deadline):
            self.open[move.operation + OPERATION].guard_at = inf
            return core.DeadlineExpired(move.operation + OPERATION)
        if isinstance(move, Probed):
            probe = min(probe for probe in self.probes if probe[2] == move.node)
            self.probes.remove(probe)
            self.faults -= move.outcome not in (Outcome.OK, Outcome.TIMEOUT)
            return core.HealthCheckEnded(move.node + NODE, move.outcome, self.now - probe[1])
        if isinstance(move, Reload):
            self.reloads -= 1
            return core.ConfigurationReloaded(ELSEWHERE)
        self.word += 1
        return self.told(self.world.words[self.word - 1])

    def _came(self, place: int) -> core.Input:
        wish = self.world.wishes[place]
        self.wishes[place] -= 1
        self.came += 1
        number = OPERATION + self.came
        deadline = self.now + wish.wait_ms
        self.open[number] = Asked(place, deadline)
        return core.OperationReceived(
            number, wish.cls, deadline, wish.repeat, 0.0, wish.room, wish.id or str(number)
        )

    def ended(self, number: int, place: int, outcome: Outcome) -> core.Input:
        """A route step ends."""
        step = self.open[number].steps[place]
        step.outcome = outcome
        self.faults -= outcome not in (Outcome.OK, Outcome.TIMEOUT, Outcome.CANCELLED)
        answer = self.answer_of(number, place) if outcome is Outcome.OK else None
        return core.AttemptEnded(number, place, outcome, (), answer)

    @staticmethod
    def answer_of(number: int, place: int) -> Answer:
        """The answer that a ledger node makes for this very route step."""
        return Answer(b"%d.%d" % (number - OPERATION, place))

    def told(self, word: Word) -> core.Input:
        """Word from discovery."""
        if word.kind is EndpointUpdateKind.FAILED:
            self.asks, self.quiet_since = False, self.now
            return core.EndpointsUpdated(balancing.EndpointUpdate(word.kind))
        entries = []
        for line in word.lines:
            place = self.world.nodes[line.node]
            born = 0.0
            if line.birth:
                born = self.births.setdefault((line.node, line.birth), self.now - self.world.age_ms)
            entries.append(
                balancing.Endpoint(line.node + NODE, place.zone, place.cell, line.state, 1.0, born)
            )
            self._now_is(line.node, line.state)
        if word.kind is not EndpointUpdateKind.DELTA:
            for node in self.states.keys() - {line.node for line in word.lines}:
                self._now_is(node, EndpointState.GONE)
        return core.EndpointsUpdated(balancing.EndpointUpdate(word.kind, tuple(entries)))

    def _now_is(self, node: int, state: EndpointState) -> None:
        self.states[node] = state
        if state is EndpointState.READY:
            self.told_at.pop(node, None)
        else:
            self.told_at.setdefault(node, self.now)

    # What is asked for.

    def carry_out(self, effect: core.Effect) -> core.Input | None:
        """Do what the reducer asks; what comes of it at once."""
        if isinstance(effect, core.SendAttempt):
            asked = self.open.get(effect.operation)
            if asked is not None:
                asked.steps[effect.step] = Step(
                    effect.destination - NODE,
                    self.now,
                    self.on_grid(self.now + effect.timeout_ms),
                    self.on_grid(self.now + self.world.quick_ms),
                )
        elif isinstance(effect, core.CancelAttempt):
            asked = self.open.get(effect.operation)
            step = asked.steps.get(effect.step) if asked is not None else None
            if step is not None and step.outcome is None:
                step.cancelled = True
                if self.world.prompt:
                    return self.ended(effect.operation, effect.step, Outcome.CANCELLED)
        elif isinstance(effect, core.SendAnswer):
            asked = self.open.get(effect.operation)
            if asked is not None:
                asked.answered, asked.guard_at = True, inf
        elif isinstance(effect, core.SetTimer):
            self.timers.append((self.on_grid(self.now + effect.delay_ms), effect.token))
        elif isinstance(effect, core.SetDeadlineTimer):
            asked = self.open.get(effect.operation)
            if asked is not None:
                asked.guard_at = self.on_grid(effect.at_ms)
        elif isinstance(effect, core.CheckHealth):
            timeout = 2 * self.world.settings.limits.connect_timeout_ms
            self.probes.append((self.on_grid(self.now + timeout), self.now, effect.destination - NODE))
        elif isinstance(effect, core.RequestEndpoints):
            self.asks = True
        return None

    def settle(self) -> None:
        """Forget operations that are over and have nothing out."""
        over = [number for number, asked in self.open.items() if asked.over and not asked.out()]
        for number in over:
            del self.open[number]
