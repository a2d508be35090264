"""Checks a client's request and reads the operation from it."""

from __future__ import annotations

import math
import re

from coveport import balancing, http1
from coveport.sidecar.reducer.operation import Operation

_ID = re.compile(r"[A-Za-z0-9._~+/=:-]{1,128}")
_KEY = re.compile(r"[\x21-\x7e]{1,256}")
_DEADLINE = re.compile(r"([0-9]{1,12}(?:\.[0-9]{1,9})?)(m|u)")
_MAX_DEADLINE_MS = 3_600_000.0


def read_operation(request: http1.Request, classes: dict[str, tuple[int, balancing.Effect]]) -> Operation:
    """Return the operation of a request; raise RemoteProtocolError if a part is missing or malformed.

    `classes`: the number and effect of each request class by the first part of its path.
    """
    name = request.target.partition("?")[0].split("/")[1]
    if name not in classes:
        raise http1.RemoteProtocolError(404, "unknown path")
    cls, effect = classes[name]
    if effect is balancing.Effect.SAFE and (request.body or request.is_streamed):
        raise http1.RemoteProtocolError(400, "a body, where there is none")
    method = "GET" if effect is balancing.Effect.SAFE else "POST"
    if request.method != method:
        raise http1.RemoteProtocolError(405, "wrong method", Allow=method)
    number = request.get("x-request-id")
    if number is None or not _ID.fullmatch(number):
        raise http1.RemoteProtocolError(400, "bad X-Request-Id")
    key = request.get("idempotency-key")
    if (key is None and effect is balancing.Effect.KEYED) or (key is not None and not _KEY.fullmatch(key)):
        raise http1.RemoteProtocolError(400, "bad Idempotency-Key")
    deadline = _DEADLINE.fullmatch(request.get("x-deadline") or "")
    wait_ms = float(deadline[1]) / (1000 if deadline[2] == "u" else 1) if deadline else 0.0
    if not 0 < wait_ms <= _MAX_DEADLINE_MS:
        raise http1.RemoteProtocolError(400, "bad X-Deadline")
    extras = dict(extra.strip().partition("=")[::2] for extra in (request.get("x-extras") or "").split(","))
    try:
        cost_ms = float(extras.get("cost_ms", "0"))
    except ValueError:
        cost_ms = 0.0
    return Operation(
        request.method,
        request.target,
        request.body,
        number,
        key,
        cls,
        wait_ms,
        request.get("x-retry") == "1",
        cost_ms if 0 < cost_ms < math.inf else 0.0,
        tuple(request.headers.get("content-type", ())),
        tuple(request.headers.get("accept", ())),
    )
