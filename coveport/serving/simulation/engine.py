"""A model server's engine: batches, queue, KV cache with shared prefix segments, preemption. No I/O.

Times are in milliseconds on the caller's clock. The caller gets the duration of the next step (`step_ms`),
waits that long, and applies the step (`step`), which returns its effects. A step decodes the tokens of one
event for each running request whose prompt is prefilled, and prefills one chunk of one prompt.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

DEFAULT_PRIORITY = 5


@dataclass(frozen=True, slots=True)
class EngineFigures:
    """The capacity and the speed of an engine."""

    slots: int = 64  # requests that can run at the same time
    queue: int = 192  # requests that can wait for a slot
    kv_cache_tokens: int = 235_335
    tokens_per_event: int = 5
    token_ms: float = 5.55  # duration of one decoded token, without the part for running requests
    token_ms_per_running: float = 0.029  # added to `token_ms` for each request that decodes
    prefill_tokens_per_ms: float = 42.6
    prefill_chunk_tokens: int = 2048


@dataclass(frozen=True, slots=True)
class PrefixSegment:
    """A named segment of a prompt; requests that share the segment can reuse its KV cache entries."""

    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Work:
    """One request to schedule; times in milliseconds."""

    key: str
    segments: tuple[PrefixSegment, ...]
    answer_tokens: int
    deadline_ms: float
    priority: int = DEFAULT_PRIORITY
    resumes_after: int = 0  # number of events that an earlier run has written


class Rejection(Enum):
    """The reason why a request is rejected."""

    FULL = "the queue is full"
    TOO_LARGE = "larger than the memory"
    TOO_LATE = "the deadline has passed"


@dataclass(frozen=True, slots=True)
class Began:
    """A request begins to produce its answer."""

    key: str


@dataclass(frozen=True, slots=True)
class Produced:
    """A request has produced the event `number`; `last`: the answer is complete."""

    key: str
    number: int
    last: bool


@dataclass(frozen=True, slots=True)
class Expired:
    """The deadline of a request has passed; `began`: it had begun to produce its answer."""

    key: str
    began: bool


Effect = Began | Produced | Expired
_Chain = tuple[str, ...]


@dataclass(slots=True)
class _Task:
    work: Work
    order: int  # sequence number of the submission
    prefill_left: int = 0  # tokens of the prompt still to be prefilled
    events: int = 0  # number of events written, including those of earlier runs
    began: bool = False

    @property
    def prompt_tokens(self) -> int:
        return sum(segment.tokens for segment in self.work.segments)

    def chains(self) -> list[tuple[_Chain, int]]:
        """Return the length in tokens of each segment, with a key of the names up to and including it."""
        names = tuple(segment.name for segment in self.work.segments)
        return [(names[: at + 1], segment.tokens) for at, segment in enumerate(self.work.segments)]


@dataclass(slots=True)
class Engine:
    """The state of one engine."""

    figures: EngineFigures
    _queue: list[_Task] = field(default_factory=list)
    _running: dict[str, _Task] = field(default_factory=dict)
    _cache: OrderedDict[_Chain, int] = field(default_factory=OrderedDict)  # oldest use first
    _count: int = 0
    prefilled_tokens: int = 0  # total since the start
    repeated_prefill_tokens: int = 0  # part of `prefilled_tokens` that had been cached and evicted
    preemptions: int = 0
    _ever_prefilled: set[_Chain] = field(default_factory=set)

    @property
    def queued(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Return how many requests occupy slots."""
        return len(self._running)

    @property
    def idle(self) -> bool:
        """Return whether no request is queued or running."""
        return not (self._queue or self._running)

    @property
    def kv_tokens_used(self) -> int:
        """Return how many tokens of the KV cache are occupied by running requests."""
        reserved: dict[_Chain, int] = {}
        written = 0
        for task in self._running.values():
            reserved.update(task.chains())
            written += task.events * self.figures.tokens_per_event
        return sum(reserved.values()) + written

    def events_of(self, answer_tokens: int) -> int:
        """Return the number of events in an answer of `answer_tokens` tokens."""
        return max(1, -(-answer_tokens // self.figures.tokens_per_event))

    def submit(self, work: Work, now_ms: float) -> Rejection | None:
        """Queue a request; return None, or the reason for its rejection."""
        task = _Task(work, self._next_order(), events=work.resumes_after)
        if work.deadline_ms <= now_ms:
            return Rejection.TOO_LATE
        if task.prompt_tokens + work.answer_tokens > self.figures.kv_cache_tokens:
            return Rejection.TOO_LARGE
        if len(self._queue) >= self.figures.queue:
            return Rejection.FULL
        self._queue.append(task)
        self._order_queue()
        return None

    def drop(self, key: str) -> None:
        """Remove a request whose connection has closed."""
        self._running.pop(key, None)
        self._queue = [task for task in self._queue if task.work.key != key]

    def step_ms(self) -> float:
        """Admit queued requests that fit; return how long the next step takes, in milliseconds."""
        self._admit()
        figures = self.figures
        decoding = sum(not task.prefill_left for task in self._running.values())
        prefilling = self._prefilling_task()
        chunk = min(prefilling.prefill_left, figures.prefill_chunk_tokens) if prefilling else 0
        tokens = figures.tokens_per_event if decoding else 0
        return tokens * (figures.token_ms + figures.token_ms_per_running * decoding) + (
            chunk / figures.prefill_tokens_per_ms
        )

    def step(self, now_ms: float) -> list[Effect]:
        """Apply the step that ends at `now_ms`; return its effects."""
        effects = self._expire(now_ms)
        decoding = [task for task in self._running.values() if not task.prefill_left]
        prefilling = self._prefilling_task()
        if prefilling is not None:
            self._prefill(prefilling)
        for task in decoding:
            if task.work.key in self._running:  # not expired
                effects += self._decode(task)
        self._evict()
        return effects

    def clear_prefix_cache(self) -> None:
        """Clear the prefix cache."""
        self._cache.clear()

    def _next_order(self) -> int:
        self._count += 1
        return self._count

    def _order_queue(self) -> None:
        self._queue.sort(key=lambda task: (task.work.priority, task.order))

    def _prefilling_task(self) -> _Task | None:
        return next((task for task in self._running.values() if task.prefill_left), None)

    def _admit(self) -> None:
        while self._queue and len(self._running) < self.figures.slots:
            task = self._queue[0]
            if (
                self._running
                and self._needed_tokens(task) > self.figures.kv_cache_tokens - self.kv_tokens_used
            ):
                return
            del self._queue[0]
            self._running[task.work.key] = task
            task.prefill_left = max(1, task.prompt_tokens - self._cached_tokens(task))
            self._evict()

    def _needed_tokens(self, task: _Task) -> int:
        return task.prompt_tokens + (task.events + 1) * self.figures.tokens_per_event

    def _cached_tokens(self, task: _Task) -> int:
        """Return how many leading tokens of the prompt are cached, and mark them as recently used."""
        cached_tokens = 0
        for chain, tokens in task.chains():
            if chain not in self._cache:
                break
            self._cache.move_to_end(chain)
            cached_tokens += tokens
        return cached_tokens

    def _prefill(self, task: _Task) -> None:
        chunk = min(task.prefill_left, self.figures.prefill_chunk_tokens)
        task.prefill_left -= chunk
        self.prefilled_tokens += chunk
        if task.prefill_left:
            return
        for chain, tokens in task.chains():
            if chain not in self._cache and chain in self._ever_prefilled:
                self.repeated_prefill_tokens += tokens
            self._ever_prefilled.add(chain)
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

    def _evict(self) -> None:
        """Preempt requests while over capacity, then evict the least recently used segments not in use.

        Preempts the newest of the requests with the largest `priority` value.
        """
        while len(self._running) > 1 and self.kv_tokens_used > self.figures.kv_cache_tokens:
            preempted = max(self._running.values(), key=lambda task: (task.work.priority, task.order))
            del self._running[preempted.work.key]
            self._queue.append(preempted)
            self._order_queue()
            self.preemptions += 1
        reserved = {chain for task in self._running.values() for chain, _ in task.chains()}
        free_tokens = self.figures.kv_cache_tokens - self.kv_tokens_used
        unreserved = [chain for chain in self._cache if chain not in reserved]
        surplus = sum(self._cache[chain] for chain in unreserved) - free_tokens
        for chain in unreserved:
            if surplus <= 0:
                return
            surplus -= self._cache.pop(chain)

    def _expire(self, now_ms: float) -> list[Effect]:
        tasks = [*self._queue, *self._running.values()]
        expired = [task for task in tasks if task.work.deadline_ms <= now_ms]
        for task in expired:
            self.drop(task.work.key)
        return [Expired(task.work.key, task.began) for task in expired]
