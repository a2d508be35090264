"""What operators call: the configuration, zone evacuations, and the state of the core.

Changes are made by the primary; any other coordinator sends the caller there (307), and waits a moment for
one while a new primary takes over. Whatever is answered here was confirmed by the core: a refusal too, since
one that lost touch could refuse what has long been taken.

An order for an evacuation bears no version, so an old copy of it looks like a new one. A copy is old when
its caller has left: it waited in a queue, a link or a process that stood still. Hence the short hold before
such an order is submitted, in which the end of the caller's connection is seen; a call whose caller leaves is
dropped.
"""

from __future__ import annotations

from typing import Any, Protocol

from coveport.net.address import parse_address
from coveport.serving.configuration.commands import (
    EndEvacuation,
    PatchConfiguration,
    PutConfiguration,
    StartEvacuation,
    encode_command,
)
from coveport.serving.web.messages import ApiRequest, ApiResponse, json_response
from coveport.serving.web.router import route
from coveport.serving.wire.names import ERROR, Header, Path

NOT_READY = 503
_SENT_ON = 307


class ControlPlane(Protocol):
    """What the handlers need of the core."""

    async def submit(self, command: bytes) -> ApiResponse:
        """Run a command at the primary; its answer."""

    async def read_configuration(self) -> ApiResponse:
        """The newest configuration as the core confirms it."""

    async def hold(self) -> None:
        """Wait a moment; ends with the call where its caller leaves meanwhile."""

    async def primary_elsewhere(self) -> str | None:
        """The inner address of the primary if that is another; None: it is this one, or nobody for now."""

    def is_primary(self) -> bool:
        """Whether this one is."""

    def describe(self) -> dict[str, Any]:
        """The core, nodes and proxies, for people."""


class OperatorApi:
    """Handlers of the operators' calls."""

    def __init__(self, control: ControlPlane, control_port: int, zones: frozenset[str]) -> None:
        self._control = control
        self._port = control_port
        self._zones = zones

    @route("PUT", Path.CONFIG)
    async def put(self, call: ApiRequest) -> ApiResponse:
        """A whole configuration."""
        if_match = _if_match(call)
        if isinstance(if_match, ApiResponse):
            return if_match
        return await self._change(call, encode_command(PutConfiguration(if_match, call.body)))

    @route("PATCH", Path.CONFIG)
    async def patch(self, call: ApiRequest) -> ApiResponse:
        """Changes to named items."""
        if_match = _if_match(call)
        if isinstance(if_match, ApiResponse):
            return if_match
        return await self._change(call, encode_command(PatchConfiguration(if_match, call.body)))

    @route("GET", Path.CONFIG)
    async def get(self, call: ApiRequest) -> ApiResponse:
        """The newest configuration in whole."""
        elsewhere = await self._control.primary_elsewhere()
        if elsewhere is not None:
            return self._sent_on(call, elsewhere)
        return await self._control.read_configuration()

    @route("POST", Path.EVACUATION)
    async def evacuate(self, call: ApiRequest) -> ApiResponse:
        """Nothing more is to be sent to a zone's nodes."""
        if call.path_suffix not in self._zones:
            return json_response(404, {ERROR: f"unknown zone {call.path_suffix!r}"})
        return await self._change_unversioned(call, encode_command(StartEvacuation(call.path_suffix)))

    @route("DELETE", Path.EVACUATION)
    async def end_evacuation(self, call: ApiRequest) -> ApiResponse:
        """A zone's nodes may be used again."""
        if call.path_suffix not in self._zones:
            return json_response(404, {ERROR: f"unknown zone {call.path_suffix!r}"})
        return await self._change_unversioned(call, encode_command(EndEvacuation(call.path_suffix)))

    @route("GET", Path.STATUS)
    async def status(self, call: ApiRequest) -> ApiResponse:
        """The state of the core as this coordinator sees it."""
        return json_response(200, self._control.describe())

    async def _change(self, call: ApiRequest, command: bytes) -> ApiResponse:
        elsewhere = await self._control.primary_elsewhere()
        if elsewhere is not None:
            return self._sent_on(call, elsewhere)
        return await self._control.submit(command)

    async def _change_unversioned(self, call: ApiRequest, command: bytes) -> ApiResponse:
        elsewhere = await self._control.primary_elsewhere()
        if elsewhere is not None:
            return self._sent_on(call, elsewhere)
        await self._control.hold()
        return await self._control.submit(command)

    def _sent_on(self, call: ApiRequest, inner_address: str) -> ApiResponse:
        host, _ = parse_address(inner_address)
        return ApiResponse(_SENT_ON, b"", (("Location", f"http://{host}:{self._port}{call.path}"),))


def _if_match(call: ApiRequest) -> int | ApiResponse | None:
    told = call.header(Header.IF_MATCH)
    if told is None:
        return None
    told = told.strip().strip('"')
    if not (told.isascii() and told.isdigit()):
        return json_response(400, {ERROR: "If-Match is not a number"})
    return int(told)
