"""A model server's engine: batches, queue, memory of tokens with cached prompt parts, preemption. Pure.

Time is the caller's, in milliseconds. The caller asks how long the next step takes (`step_ms`), waits for
that, and lets it happen (`step`), which tells what came of it. A step gives each running request that has
been read the tokens of one event, and reads one piece of one prompt beside.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

DEFAULT_PRIORITY = 5


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """How large and how fast an engine is."""

    slots: int = 64
    queue: int = 192
    kv_cache_tokens: int = 235_335
    tokens_per_event: int = 5
    token_ms: float = 5.55
    token_ms_per_running: float = 0.029
    read_tokens_per_ms: float = 42.6
    piece_tokens: int = 2048


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, shared between requests under its name."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Work:
    """One request as the engine sees it."""

    key: str
    parts: tuple[PromptPart, ...]
    answer_tokens: int
    deadline_ms: float
    priority: int = DEFAULT_PRIORITY
    resumes_after: int = 0  # events that an earlier run has written


class TurnedAway(Enum):
    """Why a request is not taken."""

    FULL = "the queue is full"
    TOO_LARGE = "larger than the memory"
    TOO_LATE = "the deadline has passed"


@dataclass(frozen=True, slots=True)
class Began:
    """A request has its first token: it runs."""

    key: str


@dataclass(frozen=True, slots=True)
class Produced:
    """An event of a request, by its number; `last`: there are no more."""

    key: str
    number: int
    last: bool


@dataclass(frozen=True, slots=True)
class Expired:
    """The deadline has passed; `began`: it was running."""

    key: str
    began: bool


Effect = Began | Produced | Expired
_Chain = tuple[str, ...]


@dataclass(slots=True)
class _Task:
    work: Work
    order: int
    unread: int = 0  # tokens of the prompt that are still to be read
    events: int = 0  # written, those of earlier runs included
    began: bool = False

    @property
    def prompt_tokens(self) -> int:
        return sum(part.tokens for part in self.work.parts)

    def chains(self) -> list[tuple[_Chain, int]]:
        """Each part under the names of all parts up to it."""
        names = tuple(part.name for part in self.work.parts)
        return [(names[: at + 1], part.tokens) for at, part in enumerate(self.work.parts)]


@dataclass(slots=True)
class Engine:
    """The state of one engine."""

    figures: EngineFigures
    _queue: list[_Task] = field(default_factory=list)
    _running: dict[str, _Task] = field(default_factory=dict)
    _cache: OrderedDict[_Chain, int] = field(default_factory=OrderedDict)  # oldest use first
    _count: int = 0
    read_tokens: int = 0  # read so far
    read_again_tokens: int = 0  # of these, read before and given way since
    preemptions: int = 0
    _once_read: set[_Chain] = field(default_factory=set)

    @property
    def queued(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Requests in slots."""
        return len(self._running)

    @property
    def idle(self) -> bool:
        """Whether there is nothing to do."""
        return not (self._queue or self._running)

    @property
    def memory_used(self) -> int:
        """Tokens that can't give way."""
        held: dict[_Chain, int] = {}
        written = 0
        for task in self._running.values():
            held.update(task.chains())
            written += task.events * self.figures.tokens_per_event
        return sum(held.values()) + written

    def events_of(self, answer_tokens: int) -> int:
        """How many events an answer of so many tokens has."""
        return max(1, -(-answer_tokens // self.figures.tokens_per_event))

    def submit(self, work: Work, now_ms: float) -> TurnedAway | None:
        """Take a request into the queue, or say why not."""
        task = _Task(work, self._next(), events=work.resumes_after)
        if work.deadline_ms <= now_ms:
            return TurnedAway.TOO_LATE
        if task.prompt_tokens + work.answer_tokens > self.figures.kv_cache_tokens:
            return TurnedAway.TOO_LARGE
        if len(self._queue) >= self.figures.queue:
            return TurnedAway.FULL
        self._queue.append(task)
        self._order_queue()
        return None

    def drop(self, key: str) -> None:
        """Its connection has closed: forget it."""
        self._running.pop(key, None)
        self._queue = [task for task in self._queue if task.work.key != key]

    def step_ms(self) -> float:
        """How long the next step takes, after letting in what there is room for."""
        self._admit()
        figures = self.figures
        decoding = sum(not task.unread for task in self._running.values())
        reading = self._reading()
        piece = min(reading.unread, figures.piece_tokens) if reading else 0
        tokens = figures.tokens_per_event if decoding else 0
        return tokens * (figures.token_ms + figures.token_ms_per_running * decoding) + (
            piece / figures.read_tokens_per_ms
        )

    def step(self, now_ms: float) -> list[Effect]:
        """Let a step happen that has ended now."""
        effects = self._expire(now_ms)
        decoding = [task for task in self._running.values() if not task.unread]
        reading = self._reading()
        if reading is not None:
            self._read(reading)
        for task in decoding:
            if task.work.key in self._running:  # not expired
                effects += self._decode(task)
        self._make_room()
        return effects

    def forget(self) -> None:
        """Lose all cached parts that no request holds."""
        self._cache.clear()

    def _next(self) -> int:
        self._count += 1
        return self._count

    def _order_queue(self) -> None:
        self._queue.sort(key=lambda task: (task.work.priority, task.order))

    def _reading(self) -> _Task | None:
        return next((task for task in self._running.values() if task.unread), None)

    def _admit(self) -> None:
        while self._queue and len(self._running) < self.figures.slots:
            task = self._queue[0]
            if self._running and self._needs(task) > self.figures.kv_cache_tokens - self.memory_used:
                return
            del self._queue[0]
            self._running[task.work.key] = task
            task.unread = max(1, task.prompt_tokens - self._cached(task))
            self._make_room()

    def _needs(self, task: _Task) -> int:
        return task.prompt_tokens + (task.events + 1) * self.figures.tokens_per_event

    def _cached(self, task: _Task) -> int:
        """Tokens at the front of its prompt that need not be read, which counts as a use of them."""
        found = 0
        for chain, tokens in task.chains():
            if chain not in self._cache:
                break
            self._cache.move_to_end(chain)
            found += tokens
        return found

    def _read(self, task: _Task) -> None:
        piece = min(task.unread, self.figures.piece_tokens)
        task.unread -= piece
        self.read_tokens += piece
        if task.unread:
            return
        for chain, tokens in task.chains():
            if chain not in self._cache and chain in self._once_read:
                self.read_again_tokens += tokens
            self._once_read.add(chain)
            self._cache[chain] = tokens
            self._cache.move_to_end(chain)

    def _decode(self, task: _Task) -> list[Effect]:
        effects: list[Effect] = []
        if not task.began:
            task.began = True
            effects.append(Began(task.work.key))
        task.events += 1
        last = task.events >= self.events_of(task.work.answer_tokens)
        effects.append(Produced(task.work.key, task.events, last))
        if last:
            del self._running[task.work.key]
        return effects

    def _make_room(self) -> None:
        """Let the oldest unused parts go, then preempt."""
        while len(self._running) > 1 and self.memory_used > self.figures.kv_cache_tokens:
            newest = max(self._running.values(), key=lambda task: (task.work.priority, task.order))
            del self._running[newest.work.key]
            self._queue.append(newest)
            self._order_queue()
            self.preemptions += 1
        held = {chain for task in self._running.values() for chain, _ in task.chains()}
        room = self.figures.kv_cache_tokens - self.memory_used
        unheld = [chain for chain in self._cache if chain not in held]
        surplus = sum(self._cache[chain] for chain in unheld) - room
        for chain in unheld:
            if surplus <= 0:
                return
            surplus -= self._cache.pop(chain)

    def _expire(self, now_ms: float) -> list[Effect]:
        tasks = [*self._queue, *self._running.values()]
        late = [task for task in tasks if task.work.deadline_ms <= now_ms]
        for task in late:
            self.drop(task.work.key)
        return [Expired(task.work.key, task.began) for task in late]
