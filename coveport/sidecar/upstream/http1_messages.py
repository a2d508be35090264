"""Attempts and their results as HTTP/1.1 messages to and from ledger nodes.

This module does no I/O and reads no clock.
"""

from __future__ import annotations

from math import isfinite

from coveport import http1
from coveport.balancing import Outcome
from coveport.sidecar.reducer.endpoint import EndpointAddress
from coveport.sidecar.upstream.attempt import Attempt

HEALTH_CHECK_PATH = "/ping"


def response_outcome(response: http1.Response) -> Outcome:
    """Return the outcome that a response's status stands for."""
    if response.status == 200:
        return Outcome.OK
    if response.status in (503, 504) and response.headers.get("x-not-run") == ["1"]:
        return Outcome.FULL
    return Outcome.ERROR  # with any other status the operation may have run


def load_report(response: http1.Response, fields: tuple[str, ...]) -> tuple[float, ...]:
    """Return the load report in the order of `fields`; empty where it is incomplete or not finite."""
    lines = response.headers.get("x-load")
    if not lines:
        return ()
    report = dict(item.strip().partition("=")[::2] for item in lines[0].split(","))
    try:
        load = tuple(float(report[name]) for name in fields)
    except (KeyError, ValueError):
        return ()
    return load if all(map(isfinite, load)) else ()


def encode_request(attempt: Attempt, endpoint: EndpointAddress) -> bytes:
    """Encode an attempt: the complete request, or its head where the body is streamed."""
    host = "{}:{}".format(*endpoint[0])
    operation = attempt.operation
    if operation is None:
        return http1.write_request("GET", HEALTH_CHECK_PATH, [("Host", host)])
    headers = [
        ("Host", host),
        ("X-Request-Id", operation.id),
        ("X-Deadline", f"{max(1, round(attempt.remaining_s * 1000))}m"),
    ]
    if operation.key is not None:
        headers.append(("Idempotency-Key", operation.key))
    headers.extend(("content-type", value) for value in operation.content_type)
    headers.extend(("accept", value) for value in operation.accept)
    if operation.upload is not None:  # the body follows
        length = operation.upload.length
        headers.append(http1.CHUNKED if length is None else ("Content-Length", str(length)))
        return http1.write_head(f"{operation.method} {operation.target} HTTP/1.1", headers)
    return http1.write_request(operation.method, operation.target, headers, operation.body)
