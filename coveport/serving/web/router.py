"""Finds the handler of a request. A handler method declares its routes with the decorator `route`."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar
from urllib.parse import parse_qsl, unquote, urlsplit

from coveport.http1 import Request
from coveport.serving.web.messages import ApiRequest, ApiResponse, json_response
from coveport.serving.wire.names import ERROR

_ROUTES_ATTRIBUTE = "routes"  # attribute of a handler that holds the routes declared with `route`

Handler = Callable[[ApiRequest], Awaitable[ApiResponse]]
DeclaredHandler = TypeVar("DeclaredHandler", bound=Callable[..., Awaitable[ApiResponse]])


@dataclass(frozen=True, slots=True)
class Route:
    """A method, and a path that is complete or, if it ends with a slash, a prefix."""

    method: str
    path: str


def route(method: str, path: str) -> Callable[[DeclaredHandler], DeclaredHandler]:
    """Declare a route of the decorated handler method; see `Route`."""

    def declare(handler: DeclaredHandler) -> DeclaredHandler:
        handler.__dict__.setdefault(_ROUTES_ATTRIBUTE, []).append(Route(method, path))
        return handler

    return declare


class Router:
    """The routes that are declared by the methods of some objects."""

    def __init__(self, *handler_objects: object) -> None:
        self._handlers: dict[str, dict[str, Handler]] = {}  # by path of the route, then by method
        for handler_object in handler_objects:
            self._add_routes_of(handler_object)

    def _add_routes_of(self, handler_object: object) -> None:
        handler_type = type(handler_object)
        for name in dir(handler_type):
            for declared in getattr(getattr(handler_type, name), _ROUTES_ATTRIBUTE, ()):
                handlers = self._handlers.setdefault(declared.path, {})
                handlers[declared.method] = getattr(handler_object, name)

    async def dispatch(self, request: Request, local_host: str) -> ApiResponse:
        """Return the response of the request's handler; 404 or 405 if there is no handler.

        `local_host` is the server's address to which the client connected.
        """
        target = urlsplit(request.target)
        match = self._match(target.path)
        if match is None:
            return json_response(404, {ERROR: "no such call"})
        route_path, path_suffix = match
        handler = self._handlers[route_path].get(request.method)
        if handler is None:
            return json_response(405, {ERROR: "wrong method"})
        return await handler(
            ApiRequest(
                request.method,
                target.path,
                path_suffix,
                dict(parse_qsl(target.query)),
                request.headers,
                request.body,
                local_host,
            )
        )

    def _match(self, path: str) -> tuple[str, str] | None:
        """Return the path of the route that matches a request's path, and the decoded rest of that path."""
        if path in self._handlers and not path.endswith("/"):
            return path, ""
        prefix, slash, suffix = path.rpartition("/")
        if slash and suffix and prefix + "/" in self._handlers:
            return prefix + "/", unquote(suffix)
        return None
