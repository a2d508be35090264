"""Time-outs, sizes and capacity shares of client connections, with the reasons for their values."""

from __future__ import annotations

from coveport.http1 import MAX_BODY_BYTES, MAX_HEAD_BYTES

FIRST_REQUEST_S = 2.0  # time-out from the connect until the first byte of the first request
HEAD_S = 2.6  # time-out of a request's head, from its first byte; of the first request, from the connect
MIN_BODY_BYTES_PER_S = 32 * 1024  # minimum mean rate of a body, beyond the time that a head may take
BODY_STALL_S = 2.6  # time-out without any byte of a streamed body: as long as a head may take
IDLE_S = 5.0  # time-out between two requests
UNREAD_RESPONSE_S = 20.0  # time-out without progress while a client does not read its response

FRESH_S = 0.5  # the first request is expected within this time after the connect
MAX_PENDING_ACCEPTS = 512  # backlog: connections that may wait to be accepted
ACCEPTS_PER_TURN = 4  # accepts per iteration of the event loop, so that capacity can be freed in between
PROTECTED_FRESH = 16  # newest connections without a request, not shed within FRESH_S of their connect
IDLE_TRIM_SHARE = 0.5  # share of the maximum number of clients above which idle connections are closed early
IDLE_TRIM_S = 0.1  # how long a connection must have been idle to be closed early
EXCESS_CLIENTS = 4  # clients above the maximum, allowed while other connections are being closed

DRAIN_DELAY_S = 0.7  # a load balancer opens connections for a while after it sees the failed health check
ACCEPT_PENDING_S = 2.0  # time to accept pending connections at the shutdown; asyncio pauses 1 s after EMFILE
LINGER_S = 1.0  # how long to read on after the last response, as a reset would destroy the response
UPLOAD_LINGER_S = 5.0  # the same, if a streamed body was still being received
# Maximum read on after the last response: reading 60 MB would take time from other clients.
MAX_DISCARDED_BYTES = 256 * 1024

SWEEP_S = 0.25  # interval of the sweep over all clients
FIRST_TURNS_S = 0.02  # time in which bytes that arrived before the accept are read
CATCH_UP_S = 0.2  # maximum time to read what arrived during a stall
SWEEP_LATE_S = 0.05  # a sweep later than this shows that the process had no CPU for a while

MAX_PIPELINED_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES  # bytes read ahead; the rest stays in the socket
READ_BYTES = 64 * 1024  # size of a read
