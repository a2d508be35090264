"""States kept as bytes, and told apart by value. Pure.

A *key* is equal for two states from which the same may follow. Instants count from now, and those too old to
matter are as good as long ago; what is over is left out; operations count in the order in which they came;
nodes of the same kind are interchangeable, so what is known of each is sorted.
"""

from __future__ import annotations

import io
import marshal
import pickle
from collections import deque
from collections.abc import Callable, Iterable
from enum import Enum
from hashlib import blake2b
from math import inf
from typing import Any, cast

from coveport.balancing import Balancer, Effect
from coveport.balancing.balancer import SERVICE_WEIGHT
from coveport.balancing.host import Attempt, Host
from coveport.balancing.outlier_ejection import FAILURES_TO_EJECT
from coveport.balancing.request_state import RequestState
from coveport.sidecar.reducer.reducer import Reducer
from coveport.testbed.check.chance import Chooser, Draw
from coveport.testbed.check.play import Play
from coveport.testbed.check.surroundings import Asked, Surroundings
from coveport.testbed.check.world import NODE, OPERATION, START_MS, World

_INSTANTS = START_MS / 2


# Keeping.


def _kept(place: int) -> Any:
    """Stands in a snapshot for what all states share."""
    raise NotImplementedError


def _blank(place: int) -> Any:
    """Stands in a snapshot for an empty object of a class."""
    raise NotImplementedError


class Keeper:
    """Makes snapshots of states and states of snapshots; what never changes is shared, not copied."""

    def __init__(self, shared: Iterable[object], classes: Iterable[type]) -> None:
        kept, empty = list(shared), list(classes)
        places = {id(one): place for place, one in enumerate(kept)}

        def keep(value: Any) -> Any:
            if id(value) not in places:  # a module may have settings of its own; they never change either
                places[id(value)] = len(kept)
                kept.append(value)
            return _kept, (places[id(value)],)

        self._table: dict[type, Callable[[Any], Any]] = {type(one): keep for one in kept}

        def fill(place: int) -> Callable[[Any], Any]:
            return lambda value: (_blank, (place,), value.__dict__)

        for place, cls in enumerate(empty):  # by place: a class within a function has no name to find
            self._table[cls] = fill(place)
        known: dict[tuple[str, str], Any] = {
            (__name__, _kept.__name__): kept.__getitem__,
            (__name__, _blank.__name__): lambda place: object.__new__(empty[place]),
        }

        class Unpickler(pickle.Unpickler):
            def find_class(self, module: str, name: str) -> Any:
                found = known.get((module, name))
                if found is None:
                    found = known[module, name] = super().find_class(module, name)
                return found

        self._unpickler = Unpickler

    def keep(self, play: Play) -> bytes:
        """A snapshot."""
        file = io.BytesIO()
        pickler = pickle.Pickler(file, pickle.HIGHEST_PROTOCOL)
        pickler.dispatch_table = self._table
        pickler.dump(play)
        return file.getvalue()

    def back(self, snapshot: bytes) -> Play:
        """The state that a snapshot was made of."""
        return cast(Play, self._unpickler(io.BytesIO(snapshot)).load())


# Telling apart.

_SKIPPED = {  # fields that never change, or are set before they are read
    Balancer: {
        "settings",
        "rules",
        "limits",
        "random",
        "actions",
        "now",
        "effective_now",
        "latency_target",
        "cross_zone_cost",
        "max_in_flight",
        "congested_latency",
        "retry_ratio",
        "hosts",
        "local",
        "wide",
        "ready_hosts",
        "requests",
        "queue",
        "in_flight",
        "timers",
        "arrivals_at",
        "resubset_at",
    },
    Reducer: {"_settings", "_balancer", "_operations", "_ids", "_now", "_effects"},
    Surroundings: {
        "world",
        "now",
        "open",
        "came",
        "states",
        "told_at",
        "births",
        "timers",
        "probes",
        "quiet_since",
    },
}
_OWN = {  # fields that a key tells in its own way
    Host: {
        "id",
        "zone",
        "cell",
        "started",
        "pending",
        "last_response_at",
        "last_sample_at",
        "slow_start_at",
        "unresponsive_since",
        "readmit_at",
        "backoff_until",
        "consecutive_failures",
        "rank",
    },
    RequestState: {
        "id",
        "class_name",
        "cls",
        "limits",
        "streams_body",
        "deadline",
        "attempts",
        "any_zone_at",
        "queue_until",
    },
    Attempt: {
        "host",
        "sent_at",
        "concurrency",
        "overtaken_by",
    },  # the last two are told of those that are out
}


class Keys:
    """Makes keys. `exact`: no instant is as good as long ago. `fold`: nodes of a kind are interchangeable."""

    def __init__(self, world: World, exact: bool = False, fold: bool = True) -> None:
        self._world = world
        self._exact = exact
        said = [
            (place, line)
            for place, word in enumerate((world.list_known(), *world.words))
            for line in word.lines
        ]
        kinds: dict[object, int] = {}
        self.kinds = [
            kinds.setdefault(
                (
                    node,
                    number if not fold else -1,
                    tuple((place, line.state, line.birth) for place, line in said if line.node == number),
                ),
                len(kinds),
            )
            for number, node in enumerate(world.nodes)
        ]
        rules = world.settings.rules
        self._aim = min(cls.aim_ms for cls in world.settings.classes)
        self._fall = max(self._aim, rules.fall_ms)
        self._now = 0.0
        self._ranks: dict[int, int] = {}

    def of(self, play: Play) -> bytes:
        """The key of a state, 16 bytes of a hash of its form."""
        return blake2b(marshal.dumps(self.form(play), 2), digest_size=16).digest()

    def form(self, play: Play) -> tuple[Any, ...]:
        """The state as nested tuples of figures and names."""
        around, balancer = play.around, play.balancer
        self._now = around.now
        self._ranks = {number: rank for rank, number in enumerate(sorted(around.open))}
        uses: dict[int, list[Any]] = {}  # of a host, by its identity: which attempts name it
        hosts: dict[int, list[Host]] = {number: [] for number in range(len(around.world.nodes))}

        def use(host: Host, *what: Any) -> None:
            uses.setdefault(id(host), []).append(what)
            if all(host is not known for known in hosts[host.id - NODE]):
                hosts[host.id - NODE].append(host)

        for host in balancer.hosts.values():
            use(host, 0)
        for host in balancer.ready_hosts:
            use(host, 1)
        for host in balancer.local:
            use(host, 2)
        for number, place in sorted(balancer.in_flight):
            use(balancer.in_flight[number, place].host, 3, self._rank(number), place)
        operations = tuple(self._operation(play, number, use) for number in self._ranks)
        steps = [
            (asked.steps[place].node, self._rank(number), place)
            for number, asked in around.open.items()
            for place in asked.out()
        ]
        nodes = [
            self._node(around, number, steps, [self._host(around, one, uses[id(one)]) for one in known])
            for number, known in hosts.items()
        ]
        return (
            self._fields(around, _SKIPPED[Surroundings]),
            self._world.settings.must_ask and not around.asks and self._instant(around.quiet_since),
            tuple(sorted(self._instant(at) for at, _ in around.timers)),
            self._fields(balancer, _SKIPPED[Balancer] | {"answer_count"}),
            min(balancer.answer_count, round(1 / SERVICE_WEIGHT)),
            tuple(self._rank(request.id) if request.waiting else -1 for request in balancer.queue),
            tuple(sorted((self._instant(at), self._rank(number)) for at, number in balancer.timers)),
            self._fields(play.reducer, _SKIPPED[Reducer]),
            operations,
            tuple(sorted(nodes, key=repr)),
        )

    # The parts.

    def _operation(self, play: Play, number: int, use: Callable[..., None]) -> tuple[Any, ...]:
        around, asked = play.around, play.around.open[number]
        wish = around.world.wishes[asked.wish]
        keyed = around.world.settings.classes[wish.cls].effect is Effect.KEYED and not asked.over
        own = play.reducer._operations.get(number)
        request = play.balancer.requests.get(number)
        told: tuple[Any, ...] = ()
        if request is not None:
            attempts = []
            for place, attempt in enumerate(request.attempts):
                use(attempt.host, 4, self._rank(number), place)
                sent = self._instant(attempt.sent_at) if keyed and attempt.may_have_run else 0
                attempts.append((sent, *self._fields(attempt, _OWN[Attempt])))
            told = (
                self._ahead(request.any_zone_at, play),
                self._ahead(request.queue_until, play),
                tuple(attempts),
                *self._fields(request, _OWN[RequestState]),
            )
        return (
            asked.wish,
            asked.answered,
            asked.gone,
            self._instant(asked.deadline_ms),
            self._instant(asked.guard_at),
            self._steps(asked, keyed),
            own
            and (
                own.answered,
                self._instant(own.deadline_ms),
                tuple(
                    (step.in_flight, step.in_flight and self._instant(step.sent_at)) for step in own.attempts
                ),
            ),
            told,
        )

    def _steps(self, asked: Asked, keyed: bool) -> tuple[Any, ...]:
        return tuple(
            (
                place,
                step.cancelled,
                self._instant(step.sent_at),
                self._instant(step.due_at),
                self._instant(max(step.ripe_at, self._now)),
            )
            if step.outcome is None
            else (place, step.may_have_run, keyed and step.may_have_run and self._instant(step.sent_at))
            for place, step in asked.steps.items()
        )

    def _node(
        self, around: Surroundings, number: int, steps: list[tuple[int, int, int]], hosts: list[Any]
    ) -> tuple[Any, ...]:
        grace = around.world.settings.rules.drain_grace_ms + around.world.grid_ms
        warm = around.world.settings.rules.warm_after_ms
        return (
            self.kinds[number],
            int(around.states.get(number, -1)),
            self._since(around.told_at.get(number, inf), grace),
            tuple(
                sorted(
                    (birth, self._since(at, warm))
                    for (node, birth), at in around.births.items()
                    if node == number
                )
            ),
            tuple(
                sorted(
                    (self._instant(due), self._instant(sent))
                    for due, sent, node in around.probes
                    if node == number
                )
            ),
            tuple((rank, place) for node, rank, place in steps if node == number),
            tuple(hosts),
        )

    def _host(self, around: Surroundings, host: Host, uses: list[Any]) -> tuple[Any, ...]:
        now = self._now
        starts = [at for (node, _), at in around.births.items() if node == host.id - NODE]
        untold = {"host", "pending", "may_have_run"}
        flights = tuple(
            (self._rank(number), place, *self._fields(flight, untold))
            for (number, place), flight in host.pending.items()
        )
        sent = [flight.sent_at for flight in host.pending.values()]
        # Asked of the last answer is only whether it came after something else.
        heard: Any = (
            host.last_response_at < now,
            host.unresponsive_since > host.last_response_at,
            *(host.last_response_at < at for at in sent),
        )
        if self._exact:
            heard = self._instant(host.last_response_at)
        return (
            heard,
            flights,
            tuple(uses),
            sum(at <= host.started for at in starts),
            self._since(host.last_sample_at, host.mean_latency),
            self._since(host.slow_start_at, self._world.settings.rules.warm_after_ms),
            self._since(host.unresponsive_since, self._fall),
            self._ahead(host.readmit_at),
            self._ahead(host.backoff_until),
            min(host.consecutive_failures, FAILURES_TO_EJECT),
            *self._fields(host, _OWN[Host]),
        )

    # The figures.

    def _instant(self, at: float) -> Any:
        return round((at - self._now) * 1000) if _INSTANTS < at < inf else at

    def _since(self, at: float, matters_ms: float) -> Any:
        """An instant that is as good as long ago after so much time."""
        return -inf if not self._exact and self._now - at > matters_ms else self._instant(at)

    def _ahead(self, at: float, play: Play | None = None) -> Any:
        """An instant of which only matters that it is over, once it is; with what counts as over already."""
        over = self._now + (self._world.settings.tick_ms / 2 if play else 0.0)
        return -inf if not self._exact and at <= over else self._instant(at)

    def _rank(self, number: int) -> int:
        return self._ranks.get(number, -1)

    def _fields(self, one: Any, skipped: set[str]) -> tuple[Any, ...]:
        names: list[str] = list(getattr(one, "__dict__", ()))
        for cls in type(one).__mro__:
            names += cls.__dict__.get("__slots__", ())
        return tuple(self._plain(getattr(one, name)) for name in names if name not in skipped)

    def _plain(self, value: Any) -> Any:
        kind = type(value)
        if kind is float:
            return self._instant(value) if value > _INSTANTS else round(value, 6)
        if kind is int:
            return self._rank(value) + OPERATION if value >= OPERATION else value
        if kind in (bool, str) or value is None:
            return value
        if kind is Draw:
            return (value.span[0], value.span[1], value.scale, value.shift)
        if kind in (list, tuple, deque):
            return tuple(map(self._plain, value))
        if kind is dict:
            return tuple((self._plain(key), self._plain(one)) for key, one in value.items())
        if kind in (set, frozenset):
            return tuple(sorted((self._plain(one) for one in value), key=repr))
        if isinstance(value, Enum):
            return value.name
        if isinstance(value, Chooser):
            return ()
        if isinstance(value, Host):
            return value.id  # of a table that is not known here: its nodes are not interchangeable
        return (kind.__name__, *self._fields(value, set()))
