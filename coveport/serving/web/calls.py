"""Calls of nodes, operators, clients and the platform: each is declared beside its handler."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar
from urllib.parse import parse_qsl, unquote, urlsplit

from coveport.http1.codec import Request


@dataclass(frozen=True, slots=True)
class Call:
    """One request to the system itself."""

    method: str
    path: str
    rest: str  # what stands behind the declared path, decoded
    query: dict[str, str]
    headers: dict[str, list[str]]
    body: bytes
    local_host: str  # the address that the caller used

    def header(self, name: str) -> str | None:
        """A header's first value."""
        values = self.headers.get(name)
        return values[0] if values else None


@dataclass(frozen=True, slots=True)
class Reply:
    """The answer to a call."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = field(default=())


def json_reply(status: int, value: Any, *headers: tuple[str, str]) -> Reply:
    """An answer with a JSON body."""
    return Reply(status, json.dumps(value).encode(), (("Content-Type", "application/json"), *headers))


Handler = Callable[[Any, Call], Awaitable[Reply]]
H = TypeVar("H", bound=Callable[..., Awaitable[Reply]])


@dataclass(frozen=True, slots=True)
class Declared:
    """What a handler answers: a method, and a path that is whole or, ending with a slash, a prefix."""

    method: str
    path: str


def answers(method: str, path: str) -> Callable[[H], H]:
    """Declare what a handler method answers."""

    def declare(handler: H) -> H:
        handler.__dict__.setdefault("declared", []).append(Declared(method, path))
        return handler

    return declare


class CallTable:
    """The declared handlers of some objects."""

    def __init__(self, *owners: object) -> None:
        self._handlers: dict[tuple[str, str], Callable[[Call], Awaitable[Reply]]] = {}
        self._paths: set[str] = set()
        for owner in owners:
            for name in dir(type(owner)):
                for declared in getattr(getattr(type(owner), name), "declared", ()):
                    self._handlers[declared.method, declared.path] = getattr(owner, name)
                    self._paths.add(declared.path)

    def _find_path(self, path: str) -> tuple[str, str] | None:
        if path in self._paths and not path.endswith("/"):
            return path, ""
        stem, slash, rest = path.rpartition("/")
        if slash and rest and stem + "/" in self._paths:
            return stem + "/", unquote(rest)
        return None

    async def answer(self, request: Request, local_host: str) -> Reply:
        """Hand a request to its handler; 404 and 405 where there is none."""
        parts = urlsplit(request.target)
        found = self._find_path(parts.path)
        if found is None:
            return json_reply(404, {"Error": "no such call"})
        path, rest = found
        handler = self._handlers.get((request.method, path))
        if handler is None:
            return json_reply(405, {"Error": "wrong method"})
        query = dict(parse_qsl(parts.query))
        return await handler(
            Call(request.method, parts.path, rest, query, request.headers, request.body, local_host)
        )
