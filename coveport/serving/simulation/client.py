"""A stand-in of a client: looks proxies up, sends tries with deadlines, retries as the protocol says."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final
from urllib.parse import urlencode

from coveport.http1 import write_request
from coveport.net.address import Address, parse_address
from coveport.net.transport import Net
from coveport.serving.simulation.events import Book, Ending, TryEnded, TrySent
from coveport.serving.simulation.exchange import CallerConnection, ConnectionBrokenError, call, dial
from coveport.serving.simulation.reading import Patience, read_answer
from coveport.serving.simulation.texts import digest
from coveport.serving.wire.names import Header, Lookup, Path

CONNECT_S: Final = 1.0
LOOKUP_S: Final = 1.0
LOOKUPS_MOST: Final = 3
FAILED_FOR_S: Final = 2.0  # how long an address that failed is not picked
MAY_HAVE_RUN_NEVER: Final = frozenset({408, 421, 429, 503})  # promises that the request has not run
FINAL: Final = frozenset({400, 401, 404, 413, 431})
LEAST_LEFT_S: Final = 0.05  # with less there is no use in another try


@dataclass(frozen=True, slots=True)
class RequestKind:
    """What a kind of request looks like."""

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    deadline_s: float
    objective_s: float
    pause_objective_s: float
    prompt: tuple[tuple[int, int], ...]  # shared parts: how many there are to pick from, tokens of each
    own_tokens: int
    answer_tokens: int
    body_bytes: int = 2000
    retries: int = 1


@dataclass(frozen=True, slots=True)
class ClientFigures:
    """Where a client is and how it behaves."""

    zone: str
    region: str
    keeps_connections: bool = True
    holds_answers: float = 1.0  # times as long as a lookup's answer says
    ttl_most_s: float = 5.0
    waits_as_told: bool = True


@dataclass(slots=True)
class _Progress:
    """What a request's tries have brought so far."""

    request: str
    first_sent_s: float
    events: int = 0
    waits_s: float = 0.0  # before another try may start


class Client:
    """One client."""

    def __init__(
        self, net: Net, figures: ClientFigures, lookups: Callable[[], list[Address]], book: Book,
        chance: Random, tokens_per_event: int = 5,
    ) -> None:  # fmt: skip
        """`lookups`: coordinators that answer lookups, near ones first."""
        self.figures = figures
        self._net = net
        self._lookups = lookups
        self._book = book
        self._chance = chance
        self._tokens_per_event = tokens_per_event
        self._known: list[Address] = []
        self._known_until_s = 0.0
        self._failed: dict[Address, float] = {}
        self._kept: list[tuple[Address, CallerConnection]] = []

    async def ask(self, kind: RequestKind) -> bool:
        """One request with its retries; whether it was served whole."""
        body = self._chance.randbytes(kind.body_bytes // 2).hex().encode()
        prompt = self._draw_prompt(kind)
        target = f"{kind.path_prefix}{self._chance.getrandbits(16):x}"
        progress = _Progress(f"{self._chance.getrandbits(64):016x}", self._net.now_s())
        for attempt in range(kind.retries + 1):
            again = await self._try(kind, target, prompt, body, progress, fresh=attempt > 0)
            if again is None:
                return True
            left_s = progress.first_sent_s + kind.deadline_s - self._net.now_s()
            if not again or left_s - progress.waits_s < LEAST_LEFT_S:
                return False
            await asyncio.sleep(progress.waits_s)
        return False

    async def probe(self, kind: RequestKind, proxy: Address) -> None:
        """One request sent straight to a proxy, which shows what is in force there."""
        target = f"{kind.path_prefix}{self._chance.getrandbits(16):x}"
        progress = _Progress(f"{self._chance.getrandbits(64):016x}", self._net.now_s())
        await self._try(kind, target, self._draw_prompt(kind), b"probe", progress, fresh=True, proxy=proxy)

    async def _try(
        self, kind: RequestKind, target: str, prompt: list[tuple[str, int]], body: bytes, progress: _Progress,
        *, fresh: bool, proxy: Address | None = None,
    ) -> bool | None:  # fmt: skip
        """One try. None: served; else whether another may follow."""
        is_probe = proxy is not None
        progress.waits_s = 0.0
        deadline_s = progress.first_sent_s + kind.deadline_s
        found = await self._connect(fresh, proxy)
        if found is None:
            progress.waits_s = 0.1
            return True  # nothing was sent
        address, connection = found
        now = self._net.now_s()
        try_id = f"{self._chance.getrandbits(64):016x}"
        request = self._write(kind, target, prompt, body, try_id, deadline_s - now, progress.events)
        self._book.write(
            TrySent(
                now, progress.request, try_id, "POST", target, kind.host, digest(body), _text(address),
                self.figures.region, deadline_s, progress.first_sent_s,
                -(-kind.answer_tokens // self._tokens_per_event), progress.events, is_probe, kind.name,
            )
        )  # fmt: skip
        patience = Patience(
            deadline_s, max(2.0, 4 * kind.objective_s, 8 * kind.pause_objective_s), progress.events
        )
        ended = await read_answer(self._net, connection, request, try_id, patience)
        self._book.write(ended.line)
        if ended.line.events:
            progress.events = ended.line.events[-1].number
        self._after(address, connection, ended.line)
        return self._may_follow(kind, ended.line, ended.retry_after_s, deadline_s, progress)

    def _may_follow(
        self, kind: RequestKind, line: TryEnded, retry_after_s: float, deadline_s: float, progress: _Progress
    ) -> bool | None:
        if line.ending is Ending.COMPLETE and 200 <= line.status < 300:
            return None
        if line.ending is Ending.ABANDONED or (line.ending is Ending.COMPLETE and line.status in FINAL):
            return False
        if line.ending is Ending.COMPLETE and line.status in MAY_HAVE_RUN_NEVER:
            if self.figures.waits_as_told:
                left_s = deadline_s - self._net.now_s()
                progress.waits_s = max(0.0, min(retry_after_s, left_s / 3))
            return True
        return kind.idempotent

    def _write(
        self, kind: RequestKind, target: str, prompt: list[tuple[str, int]], body: bytes, try_id: str,
        left_s: float, resumes_after: int,
    ) -> bytes:  # fmt: skip
        prompt_tokens = sum(tokens for _, tokens in prompt)
        headers = [
            ("Host", kind.host),
            (Header.ATTEMPT_ID, try_id),
            (Header.MODEL, "m"),
            (Header.TOKENS, f"{prompt_tokens},{kind.answer_tokens}"),
            (Header.PROMPT_PREFIX, ",".join(f"{name}:{tokens}" for name, tokens in prompt)),
            (Header.TIME_LEFT, str(max(1, round(left_s * 1000)))),
        ]
        if resumes_after:
            headers.append((Header.LAST_EVENT_ID, str(resumes_after)))
        return write_request("POST", target, headers, body)

    def _draw_prompt(self, kind: RequestKind) -> list[tuple[str, int]]:
        shared = [
            (f"{digest(f'{kind.name} {at} {self._chance.randrange(many)}'.encode())[:8]}", tokens)
            for at, (many, tokens) in enumerate(kind.prompt)
        ]
        own = (f"{self._chance.getrandbits(32):08x}", max(1, kind.own_tokens))
        return [*shared, own]

    # Connections.

    async def _connect(self, fresh: bool, proxy: Address | None) -> tuple[Address, CallerConnection] | None:
        if proxy is None:
            await self._look_up()
            while self._kept and not fresh:
                kept, connection = self._kept.pop()
                if connection.is_open and kept in self._known:
                    return kept, connection
                connection.close()
        address = self._pick() if proxy is None else proxy
        if address is None:
            return None
        try:
            async with asyncio.timeout(CONNECT_S):
                return address, await dial(self._net, address)
        except (TimeoutError, ConnectionBrokenError):
            self._failed[address] = self._net.now_s()
            return None

    def _after(self, address: Address, connection: CallerConnection, line: TryEnded) -> None:
        if line.ending is not Ending.COMPLETE:
            self._failed[address] = self._net.now_s()
        if line.ending is Ending.COMPLETE and connection.is_open and self.figures.keeps_connections:
            self._kept.append((address, connection))
        else:
            connection.close()

    def _pick(self) -> Address | None:
        now = self._net.now_s()
        fit = [one for one in self._known if self._failed.get(one, -FAILED_FOR_S) + FAILED_FOR_S <= now]
        candidates = fit or self._known
        return self._chance.choice(candidates) if candidates else None

    async def _look_up(self) -> None:
        if self._known and self._net.now_s() < self._known_until_s:
            return
        query = urlencode(
            {Lookup.NAME: "any", Lookup.REGION: self.figures.region, Lookup.ZONE: self.figures.zone}
        )
        for address in self._lookups()[:LOOKUPS_MOST]:
            request = write_request("GET", f"{Path.LOOKUP}?{query}", [("Host", _text(address))])
            answer = await call(self._net, address, request, LOOKUP_S)
            if answer is not None and answer.status == 200 and self._take_answer(answer.body):
                return

    def _take_answer(self, body: bytes) -> bool:
        try:
            told = json.loads(body)
            addresses = [parse_address(one) for one in told[Lookup.ADDRESSES]]
            ttl_s = min(float(told[Lookup.TTL_S]), self.figures.ttl_most_s)
        except (ValueError, TypeError, KeyError):
            return False
        if not addresses:
            return False
        self._known = addresses
        self._known_until_s = self._net.now_s() + ttl_s * self.figures.holds_answers
        return True


def _text(address: Address) -> str:
    return "{}:{}".format(*address)
