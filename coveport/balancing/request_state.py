"""A balancer's state of an open request. Times are in milliseconds on the caller's clock."""

from __future__ import annotations

import random

from coveport.balancing.events import Endpoint, Request
from coveport.balancing.host import Attempt, Host
from coveport.balancing.pending_requests import PendingRequest
from coveport.balancing.settings import Settings


class RequestState(PendingRequest):
    """A request without a final answer, and its attempts."""

    def __init__(self, event: Request, settings: Settings, random_source: random.Random) -> None:
        self.cls = settings.classes[event.cls]
        self.limits = settings.limits  # the limits that applied when the request arrived
        self.id = event.id
        self.class_name = self.cls.name
        self.deadline = event.deadline_ms
        self.streams_body = event.streams_body
        self.give_up_at = event.deadline_ms
        self.queue_until = event.deadline_ms
        self.any_zone_at = event.deadline_ms
        # Decides whether a host in slow start may get the request.
        self.slow_start_draw = random_source.random()
        self.streaming = False
        self.attempts = [
            Attempt(Host(Endpoint(-1, prior.zone, prior.cell), 0.0), prior.sent_ms, prior)
            for prior in event.prior_attempts
        ]
        # Time in which the request may run again. A repeat decided by then is sent in time even over a new
        # connection.
        self.window = self.cls.window_ms - 2 * settings.tick_ms - self.limits.connect_timeout_ms
