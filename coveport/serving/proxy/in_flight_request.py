"""The state of one client request across all its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field

from coveport import http1
from coveport.serving.proxy.client_connection import ClientConnection
from coveport.serving.proxy.event_stream import EventSequence
from coveport.serving.proxy.headers import first_value
from coveport.serving.proxy.node_connection import NodeConnection
from coveport.serving.proxy.routed_request import RoutedRequest
from coveport.serving.wire.names import Header


@dataclass(slots=True)
class InFlightRequest:
    """A client's request between its admission and the end of its response."""

    message: http1.Request
    client: ClientConnection
    routed: RoutedRequest
    arrived_s: float  # on the clock of `Net.now_s`, as all times here
    deadline_s: float
    sequence: EventSequence  # ids of the events that the client has received
    attempts: int = 0  # number of times that the request was written to a node
    failed_connects: int = 0
    may_have_run: bool = False
    has_success_started: bool = False  # whether a node has started a successful response
    # Incarnations whose response broke off or was an error.
    failed_nodes: set[str] = field(default_factory=set)
    used_connections: list[NodeConnection] = field(default_factory=list)  # of the attempts, in their order

    @property
    def attempt_id(self) -> str | None:
        """The id that the client gave the request; None if it has none."""
        return first_value(self.message.headers, Header.ATTEMPT_ID) or None

    def release_body(self) -> None:
        """Drop the body, as the request will not be sent again."""
        self.message.body = b""
        self.client.release_request_body()
