"""The operators' API: the configuration, evacuations of zones, and the status of a coordinator.

Changes are made by the primary. Any other coordinator redirects the caller to the primary (307); during an
election the coordinator waits briefly for a new primary. Each response, also a rejection, is confirmed by a
majority of the core: a coordinator without a quorum could reject a change that was accepted long ago.

A request for an evacuation has no version, so a delayed duplicate looks like a new request. A duplicate that
was delayed in a queue, in the network or in a stalled process has a caller that has disconnected since.
Therefore such a request is submitted only after a short wait, in which a disconnect is noticed; a request
whose caller has disconnected is cancelled.
"""

from __future__ import annotations

from typing import Any, Final, Protocol

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

# Objects and lists of a configuration, which take many times the memory of their text once they are read. The
# largest configuration that fits into a body, 29,600 routes, has about half as many.
MAX_CONTAINERS: Final = 250_000
_TEMPORARY_REDIRECT: Final = 307  # the caller repeats method and body at the new URL (RFC 9110, 15.4.8)


class ControlPlane(Protocol):
    """The operations of the core that the handlers call."""

    async def submit(self, command: bytes) -> ApiResponse:
        """Run a command at the primary; return the HTTP response for the operator who sent the command."""

    async def read_configuration(self) -> ApiResponse:
        """Return the newest configuration, confirmed by a majority of the core."""

    async def wait_for_disconnect(self) -> None:
        """Wait long enough to notice that the caller has disconnected."""

    async def find_other_primary(self) -> str | None:
        """Return the inner address of the primary if another coordinator is the primary.

        Return None where this coordinator is the primary, or where there is no primary.
        """

    def describe(self) -> dict[str, Any]:
        """Return the status of this coordinator, as JSON-compatible values."""


class OperatorApi:
    """Handlers of the operators' requests."""

    def __init__(self, control_plane: ControlPlane, control_port: int, zones: frozenset[str]) -> None:
        """Create handlers; `control_port` is the port at which all coordinators serve this API."""
        self._control_plane = control_plane
        self._control_port = control_port
        self._zones = zones

    @route("PUT", Path.CONFIG)
    async def put_configuration(self, request: ApiRequest) -> ApiResponse:
        """Replace the whole configuration."""
        return await self._change_configuration(request, PutConfiguration)

    @route("PATCH", Path.CONFIG)
    async def patch_configuration(self, request: ApiRequest) -> ApiResponse:
        """Change the items of the configuration that the request names."""
        return await self._change_configuration(request, PatchConfiguration)

    @route("GET", Path.CONFIG)
    async def get_configuration(self, request: ApiRequest) -> ApiResponse:
        """Return the newest configuration as a whole."""
        other_primary = await self._control_plane.find_other_primary()
        if other_primary is not None:
            return self._redirect(request, other_primary)
        return await self._control_plane.read_configuration()

    @route("POST", Path.EVACUATION)
    async def start_evacuation(self, request: ApiRequest) -> ApiResponse:
        """Stop sending requests to a zone's nodes."""
        return await self._change_evacuation(request, StartEvacuation)

    @route("DELETE", Path.EVACUATION)
    async def end_evacuation(self, request: ApiRequest) -> ApiResponse:
        """Send requests to a zone's nodes again."""
        return await self._change_evacuation(request, EndEvacuation)

    @route("GET", Path.STATUS)
    async def status(self, request: ApiRequest) -> ApiResponse:
        """Return the status of this coordinator, with or without a quorum."""
        return json_response(200, self._control_plane.describe())

    async def _change_configuration(
        self, request: ApiRequest, command_type: type[PutConfiguration | PatchConfiguration]
    ) -> ApiResponse:
        expected_edition = _expected_edition(request)
        if isinstance(expected_edition, ApiResponse):
            return expected_edition
        if _container_count(request.body) > MAX_CONTAINERS:
            return json_response(413, {ERROR: f"more than {MAX_CONTAINERS} objects and lists"})
        other_primary = await self._control_plane.find_other_primary()
        if other_primary is not None:
            return self._redirect(request, other_primary)
        command = command_type(expected_edition, request.body)
        return await self._control_plane.submit(encode_command(command))

    async def _change_evacuation(
        self, request: ApiRequest, command_type: type[StartEvacuation | EndEvacuation]
    ) -> ApiResponse:
        zone = request.path_suffix
        if zone not in self._zones:
            return json_response(404, {ERROR: f"unknown zone {zone!r}"})
        other_primary = await self._control_plane.find_other_primary()
        if other_primary is not None:
            return self._redirect(request, other_primary)
        await self._control_plane.wait_for_disconnect()
        return await self._control_plane.submit(encode_command(command_type(zone)))

    def _redirect(self, request: ApiRequest, inner_address: str) -> ApiResponse:
        host, _ = parse_address(inner_address)
        location = f"http://{host}:{self._control_port}{request.path}"
        return ApiResponse(_TEMPORARY_REDIRECT, b"", (("Location", location),))


def _container_count(body: bytes) -> int:
    """Return the number of objects and lists in a JSON text, or more if strings contain braces."""
    return body.count(b"{") + body.count(b"[")


def _expected_edition(request: ApiRequest) -> int | ApiResponse | None:
    """Return the edition in `If-Match`; None without this header; for an invalid edition, the response."""
    value = request.header(Header.IF_MATCH)
    if value is None:
        return None
    value = value.strip().strip('"')
    if not (value.isascii() and value.isdigit()):
        return json_response(400, {ERROR: "If-Match is not a number"})
    return int(value)
