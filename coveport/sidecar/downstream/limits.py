"""Time-outs, sizes and capacity shares of client connections, and why each has its value."""

from __future__ import annotations

from coveport.http1 import MAX_BODY_BYTES, MAX_HEAD_BYTES

FIRST_REQUEST_S = 2.0  # from the connect until the first byte of the first request
HEAD_S = (
    2.6  # from a request's first byte until its head is complete; for the first request from the connect on
)
MIN_BODY_BYTES_PER_S = 32 * 1024  # a body that is slower, over as long as a head may take, is given up
BODY_STALL_S = 2.6  # without any byte of a streamed body: as long as a head may take
IDLE_S = 5.0  # between two requests
UNREAD_RESPONSE_S = 20.0  # without a client reading any of a response that is not all sent

FRESH_S = 0.5  # a connection that has never carried a request is expected to within this
MAX_PENDING_ACCEPTS = 512  # connections that may wait to be accepted
ACCEPTS_PER_TURN = 4  # of the loop, so that capacity can be freed in between
PROTECTED_FRESH = 16  # newest connections without a request that have FRESH_S even while clients are shed
IDLE_TRIM_SHARE = 0.5  # of the most clients: with more than that, idle connections are closed early ...
IDLE_TRIM_S = 0.1  # ... if they have been idle for so long
EXCESS_CLIENTS = 4  # above the most clients, for as long as others are being closed

DRAIN_DELAY_S = 0.7  # a load balancer that sees the failed health check opens connections for a while
ACCEPT_PENDING_S = 2.0  # for what waits to be accepted at the shutdown; asyncio pauses for 1 s after EMFILE
LINGER_S = 1.0  # reading on after the last response, which a reset would destroy
UPLOAD_LINGER_S = 5.0  # the same, where a streamed body was still coming
MAX_DISCARDED_BYTES = 256 * 1024  # read meanwhile: reading all of 60 MB would cost the other clients time

SWEEP_S = 0.25
FIRST_TURNS_S = 0.02  # what waited unread on a connection when it was accepted is read within this
CATCH_UP_S = 0.2  # the most that reading what came during a stall may take
SWEEP_LATE_S = 0.05  # a sweep that is later shows that the process had no CPU for a while

MAX_PIPELINED_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES  # sent before its turn; the rest stays in the socket
READ_BYTES = 64 * 1024
