"""What a balancer keeps of a request until it is answered. Times are milliseconds on the caller's clock."""

from __future__ import annotations

import random

from coveport.balancing.events import Endpoint, Request
from coveport.balancing.host import Attempt, Host
from coveport.balancing.pending_requests import PendingRequest
from coveport.balancing.settings import Settings


class RequestState(PendingRequest):
    """A request that is owed an answer, with its attempts."""

    def __init__(self, event: Request, settings: Settings, random_source: random.Random) -> None:
        self.cls = settings.classes[event.cls]
        self.limits = settings.limits  # the rules under which it came
        self.id = event.id
        self.class_name = self.cls.name
        self.deadline = event.deadline_ms
        self.streams_body = event.streams_body
        self.give_up_at = event.deadline_ms
        self.queue_until = event.deadline_ms
        self.any_zone_at = event.deadline_ms
        self.slow_start_draw = random_source.random()  # which hosts in slow start it may go to
        self.streaming = False
        self.attempts = [
            Attempt(Host(Endpoint(-1, prior.zone, prior.cell), 0.0), prior.sent_ms, prior)
            for prior in event.prior_attempts
        ]
        # In which it may run again: what is decided by then is sent in time on a connection yet to come up.
        self.window = self.cls.window_ms - 2 * settings.tick_ms - self.limits.connect_timeout_ms
