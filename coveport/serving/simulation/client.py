"""Emulated client: looks up proxies, sends attempts with deadlines, and retries as the protocol allows."""

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
from coveport.serving.simulation.events import AttemptEnded, AttemptStarted, Ending, EventLog
from coveport.serving.simulation.exchange import CallerConnection, ConnectionBrokenError, call, dial
from coveport.serving.simulation.reading import ReadLimits, read_answer
from coveport.serving.simulation.texts import digest
from coveport.serving.wire.names import Header, Lookup, Path

CONNECT_TIMEOUT_S: Final = 1.0
LOOKUP_TIMEOUT_S: Final = 1.0
MAX_LOOKUPS: Final = 3
FAILED_ADDRESS_S: Final = 2.0  # period in which a proxy address that failed is avoided
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})  # guarantee that the request has not run
FINAL_STATUSES: Final = frozenset({400, 401, 404, 413, 431})  # not retried
MIN_TIME_LEFT_S: Final = 0.05  # another attempt needs at least this time until the deadline


@dataclass(frozen=True, slots=True)
class RequestKind:
    """The shape and the latency targets of one kind of request; times in seconds."""

    name: str
    host: str
    path_prefix: str
    idempotent: bool
    deadline_s: float
    objective_s: float
    inter_token_objective_s: float
    prompt: tuple[tuple[int, int], ...]  # for each shared segment: number of variants, tokens per variant
    own_tokens: int  # length of the segment that is unique to the request
    answer_tokens: int
    body_bytes: int = 2000
    retries: int = 1


@dataclass(frozen=True, slots=True)
class ClientFigures:
    """The location and the behaviour of one client."""

    zone: str
    region: str
    keeps_connections: bool = True
    lookup_ttl_factor: float = 1.0  # multiplies the TTL of a lookup answer
    max_ttl_s: float = 5.0
    honours_retry_after: bool = True
    api_key: str = ""  # empty: requests carry no key
    reuses_open_connections: bool = False  # even to proxies that lookups no longer return
    claimed_tenant: str = ""  # tenant name that requests carry although clients must not set it


@dataclass(slots=True)
class _Progress:
    """The state of one request across its attempts."""

    request: str
    request_started_s: float
    events: int = 0  # number of the last event received
    retry_delay_s: float = 0.0  # delay before the next attempt


class Client:
    """A client that sends requests through the proxies that its lookups returned."""

    def __init__(
        self, net: Net, figures: ClientFigures, lookups: Callable[[], list[Address]], event_log: EventLog,
        rng: Random, tokens_per_event: int = 5,
    ) -> None:  # fmt: skip
        """Create a client; `lookups` returns the coordinators that answer lookups, nearest first."""
        self.figures = figures
        self._net = net
        self._lookups = lookups
        self._event_log = event_log
        self._rng = rng
        self._tokens_per_event = tokens_per_event
        self._known: list[Address] = []
        self._known_until_s = 0.0
        self._failed: dict[Address, float] = {}
        self._idle_connections: list[tuple[Address, CallerConnection]] = []

    async def send_request(self, kind: RequestKind) -> bool:
        """Send one request with its retries; return whether it was served completely."""
        body = self._rng.randbytes(kind.body_bytes // 2).hex().encode()
        prompt = self._draw_prompt(kind)
        target = f"{kind.path_prefix}{self._rng.getrandbits(16):x}"
        progress = _Progress(f"{self._rng.getrandbits(64):016x}", self._net.now_s())
        for attempt in range(kind.retries + 1):
            may_retry = await self._attempt(kind, target, prompt, body, progress, new_connection=attempt > 0)
            if may_retry is None:
                return True
            left_s = progress.request_started_s + kind.deadline_s - self._net.now_s()
            if not may_retry or left_s - progress.retry_delay_s < MIN_TIME_LEFT_S:
                return False
            await asyncio.sleep(progress.retry_delay_s)
        return False

    async def send_direct(self, kind: RequestKind, proxy: Address, api_key: str = "") -> None:
        """Send one request with a key to a given proxy, to check the configuration in force there."""
        target = f"{kind.path_prefix}{self._rng.getrandbits(16):x}"
        progress = _Progress(f"{self._rng.getrandbits(64):016x}", self._net.now_s())
        await self._attempt(
            kind,
            target,
            self._draw_prompt(kind),
            b"probe",
            progress,
            new_connection=True,
            proxy=proxy,
            api_key=api_key,
        )

    async def _attempt(
        self, kind: RequestKind, target: str, prompt: list[tuple[str, int]], body: bytes, progress: _Progress,
        *, new_connection: bool, proxy: Address | None = None, api_key: str | None = None,
    ) -> bool | None:  # fmt: skip
        """Make one attempt; return None if it was served, otherwise whether another attempt may follow."""
        is_direct = proxy is not None
        key = self.figures.api_key if api_key is None else api_key
        progress.retry_delay_s = 0.0
        deadline_s = progress.request_started_s + kind.deadline_s
        connected = await self._connect(new_connection, proxy)
        if connected is None:
            progress.retry_delay_s = 0.1
            return True  # nothing was sent
        address, connection = connected
        now = self._net.now_s()
        attempt_id = f"{self._rng.getrandbits(64):016x}"
        request = self._write(kind, target, prompt, body, attempt_id, deadline_s - now, progress.events, key)
        self._event_log.write(
            AttemptStarted(
                now, progress.request, attempt_id, "POST", target, kind.host, digest(body),
                _address_text(address), self.figures.region, deadline_s, progress.request_started_s,
                -(-kind.answer_tokens // self._tokens_per_event), progress.events, is_direct, kind.name, key,
            )
        )  # fmt: skip
        limits = ReadLimits(
            deadline_s, max(2.0, 4 * kind.objective_s, 8 * kind.inter_token_objective_s), progress.events
        )
        ended = await read_answer(self._net, connection, request, attempt_id, limits)
        self._event_log.write(ended.entry)
        if ended.entry.events:
            progress.events = ended.entry.events[-1].number
        self._release(address, connection, ended.entry)
        return self._may_follow(kind, ended.entry, ended.retry_after_s, deadline_s, progress)

    def _may_follow(
        self,
        kind: RequestKind,
        entry: AttemptEnded,
        retry_after_s: float,
        deadline_s: float,
        progress: _Progress,
    ) -> bool | None:
        if entry.ending is Ending.COMPLETE and 200 <= entry.status < 300:
            return None
        if entry.ending is Ending.ABANDONED or (
            entry.ending is Ending.COMPLETE and entry.status in FINAL_STATUSES
        ):
            return False
        if entry.ending is Ending.COMPLETE and entry.status in NOT_RUN_STATUSES:
            if self.figures.honours_retry_after:
                left_s = deadline_s - self._net.now_s()
                progress.retry_delay_s = max(0.0, min(retry_after_s, left_s / 3))
            return True
        return kind.idempotent

    def _write(
        self, kind: RequestKind, target: str, prompt: list[tuple[str, int]], body: bytes, attempt_id: str,
        left_s: float, resumes_after: int, api_key: str,
    ) -> bytes:  # fmt: skip
        prompt_tokens = sum(tokens for _, tokens in prompt)
        headers = [
            ("Host", kind.host),
            (Header.ATTEMPT_ID, attempt_id),
            (Header.MODEL, "m"),
            (Header.TOKENS, f"{prompt_tokens},{kind.answer_tokens}"),
            (Header.PROMPT_PREFIX, ",".join(f"{name}:{tokens}" for name, tokens in prompt)),
            (Header.TIME_LEFT, str(max(1, round(left_s * 1000)))),
        ]
        if resumes_after:
            headers.append((Header.LAST_EVENT_ID, str(resumes_after)))
        if api_key:
            headers.append((Header.API_KEY, api_key))
        if self.figures.claimed_tenant:
            headers.append((Header.TENANT, self.figures.claimed_tenant))
        return write_request("POST", target, headers, body)

    def _draw_prompt(self, kind: RequestKind) -> list[tuple[str, int]]:
        shared = [
            (f"{digest(f'{kind.name} {at} {self._rng.randrange(many)}'.encode())[:8]}", tokens)
            for at, (many, tokens) in enumerate(kind.prompt)
        ]
        own = (f"{self._rng.getrandbits(32):08x}", max(1, kind.own_tokens))
        return [*shared, own]

    # Connections.

    async def _connect(
        self, new_connection: bool, proxy: Address | None
    ) -> tuple[Address, CallerConnection] | None:
        if proxy is None:
            await self._look_up()
            while self._idle_connections and not new_connection:
                known_address, connection = self._idle_connections.pop()
                if connection.is_open and self._may_reuse(known_address):
                    return known_address, connection
                connection.close()
        address = self._pick() if proxy is None else proxy
        if address is None:
            return None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return address, await dial(self._net, address)
        except (TimeoutError, ConnectionBrokenError):
            self._failed[address] = self._net.now_s()
            return None

    def _may_reuse(self, address: Address) -> bool:
        return self.figures.reuses_open_connections or address in self._known

    def _release(self, address: Address, connection: CallerConnection, entry: AttemptEnded) -> None:
        if entry.ending is not Ending.COMPLETE:
            self._failed[address] = self._net.now_s()
        if entry.ending is Ending.COMPLETE and connection.is_open and self.figures.keeps_connections:
            self._idle_connections.append((address, connection))
        else:
            connection.close()

    def _pick(self) -> Address | None:
        now = self._net.now_s()
        not_failed = [
            address
            for address in self._known
            if self._failed.get(address, -FAILED_ADDRESS_S) + FAILED_ADDRESS_S <= now
        ]
        candidates = not_failed or self._known
        return self._rng.choice(candidates) if candidates else None

    async def _look_up(self) -> None:
        if self._known and self._net.now_s() < self._known_until_s:
            return
        query = urlencode(
            {Lookup.NAME: "any", Lookup.REGION: self.figures.region, Lookup.ZONE: self.figures.zone}
        )
        for address in self._lookups()[:MAX_LOOKUPS]:
            request = write_request("GET", f"{Path.LOOKUP}?{query}", [("Host", _address_text(address))])
            answer = await call(self._net, address, request, LOOKUP_TIMEOUT_S)
            if answer is not None and answer.status == 200 and self._take_answer(answer.body):
                return

    def _take_answer(self, body: bytes) -> bool:
        try:
            answer = json.loads(body)
            addresses = [parse_address(address) for address in answer[Lookup.ADDRESSES]]
            ttl_s = min(float(answer[Lookup.TTL_S]), self.figures.max_ttl_s)
        except (ValueError, TypeError, KeyError):
            return False
        if not addresses:
            return False
        self._known = addresses
        self._known_until_s = self._net.now_s() + ttl_s * self.figures.lookup_ttl_factor
        return True


def _address_text(address: Address) -> str:
    return "{}:{}".format(*address)
