"""Our parsers and h11's on the same bytes. Whatever ours takes that h11 refuses or reads otherwise is a find.

h11 is held to be right but where `LAXER` and `OTHERWISE` say why it is not, each with the place in the
standards (RFC 9110, RFC 9112) that has it so. What h11 takes and ours refuses must be in `STRICTER`.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

import h11

from coveport import http1

MOST_BODY = 512
ENOUGH = 1 << 24  # bytes h11 may hold; the limits are ours


class Allowed(NamedTuple):
    """A difference that may be: `ours` matches what we said, `head` and `body` are found in the bytes."""

    name: str
    section: str
    why: str
    ours: str = ".*"  # a pattern of our error (ours refuses), or of the name of what differs (both take it)
    head: bytes = b""  # a pattern of the message's bytes up to its empty line
    body: bytes = b""  # and of those behind it
    side: str = ""  # "request" or "response"; empty: both

    def fits(self, said: str, raw: bytes, side: str) -> bool:
        """Whether a difference in a message is this one."""
        end = 0
        while line := _EMPTY_LINE.search(raw, end):
            interim, end = _INTERIM.match(raw, end), line.end()
            if not interim:
                break
        head, body = (raw[:end], raw[end:]) if end else (raw, b"")
        return (
            self.side in ("", side)
            and re.fullmatch(self.ours, said) is not None
            and re.search(self.head, head) is not None
            and re.search(self.body, body) is not None
        )


_EMPTY_LINE = re.compile(rb"(?<=[^\r\n])\r?\n\r?\n")  # empty lines in front belong to the head, ...
_INTERIM = re.compile(rb"[\r\n]*HTTP/[0-9]\.[0-9] 1")  # ... and so do interim answers
_TARGET = rb"\A\s*[^ \r\n]+ "  # up to a request's target
_SCHEME = rb"[A-Za-z][A-Za-z0-9+.-]*:"
STRICTER = (
    Allowed(
        "absolute-form of others",
        "RFC 9112, 3.2.2",
        "other schemes, users or fragments: none of ours",
        "400 target is not a path",
        _TARGET + _SCHEME,
        side="request",
    ),
    Allowed(
        "other forms",
        "RFC 9112, 3.2.3, 3.2.4",
        "we are no tunnel, and have no resource at `*`",
        "400 target is not a path",
        _TARGET + rb"(?!%s)[^/ ]" % _SCHEME,
        side="request",
    ),
    Allowed(
        "bare LF",
        "RFC 9112, 2.2",
        "a recipient MAY take LF alone for the end of a line; we don't",
        "wait|400 malformed.*|.* too (large|many).*|501.*|505.*",
        rb"(?:\A|[^\r])\n",
    ),
    Allowed(
        "bare LF in trailers",
        "RFC 9112, 2.2",
        "likewise",
        "wait|400 malformed.*|.* too (large|many).*",
        body=rb"(?:\A|[^\r])\n",
    ),
    Allowed(
        "folded lines",
        "RFC 9112, 5.2",
        "a server refuses or unfolds them, a gateway may discard them",
        "400 malformed header",
        rb"\n[ \t]",
    ),
    Allowed(
        "folded lines in trailers", "RFC 9112, 5.2", "likewise", "400 malformed trailer", body=rb"\n[ \t]"
    ),
    Allowed(
        "control characters",
        "RFC 9110, 5.5",
        "invalid in values; a recipient MAY retain some, we don't",
        "400 malformed (header|status line)",
        rb"[\x01-\x08\x0e-\x1f\x7f]",
    ),
    Allowed(
        "control characters in trailers",
        "RFC 9110, 5.5",
        "likewise",
        "400 malformed trailer",
        body=rb"[\x01-\x08\x0e-\x1f\x7f]",
    ),
    Allowed(
        "version",
        "RFC 9110, 2.5",
        "other versions than 1.0 and 1.1 are not ours to read",
        "505 .*|400 malformed (status line|start)",
        rb"HTTP/(?!1\.[01])[0-9]\.[0-9]",
    ),
    Allowed(
        "status over 599",
        "RFC 9110, 15",
        "invalid; to be taken as a 5xx, as a garbled answer is",
        "400 malformed (status line|start)",
        rb"HTTP/1\.[01] [6-9]",
        side="response",
    ),
    Allowed(
        "framed twice",
        "RFC 9112, 6.3",
        "Content-Length beside Transfer-Encoding ought to be an error",
        "400 both Content-Length and Transfer-Encoding",
        rb"(?i)content-length",
    ),
    Allowed(
        "repeated length",
        "RFC 9112, 6.3",
        "may be refused or taken as one; refused",
        "400 malformed Content-Length",
        rb"(?is)content-length:(?:[^\r\n]*,|.*content-length:)",
    ),
    Allowed(
        "long length",
        "RFC 9110, 8.6",
        "any number that we could not take anyway",
        "400 malformed Content-Length",
        rb"(?i)content-length:[ \t]*[0-9]{19}",
    ),
    Allowed("body's size", "RFC 9110, 15.5.14", "over what we take", "413 body too large"),
    Allowed("head's size", "RFC 6585, 5", "over what we take", "431 head too large", rb"(?s)\A.{16384}"),
    Allowed(
        "head's lines", "RFC 6585, 5", "over what we take", "431 too many headers", rb"\A(?:[^\n]*\n){101}"
    ),
    Allowed(
        "trailers' size",
        "RFC 6585, 5",
        "over what we take",
        "431 trailers too large",
        body=rb"(?s)\A.{16384}",
    ),
    Allowed(
        "trailers' lines",
        "RFC 6585, 5",
        "over what we take",
        "431 too many trailers",
        body=rb"\n(?:[^\n]*\n){101}",
    ),
    Allowed(
        "chunk extensions",
        "RFC 9112, 7.1.1",
        "malformed ones; h11 takes any text behind the semicolon",
        "400 malformed chunk",
        body=rb"(?:\A|\n)[0-9a-fA-F]+;",
    ),
    Allowed(
        "long chunk lines",
        "RFC 9112, 7.1.1",
        "their length ought to be limited",
        "400 malformed chunk",
        body=rb"[^\r\n]{128}",
    ),
    Allowed(
        "long chunk sizes",
        "RFC 9112, 7.1",
        "any number that we could not take anyway",
        "400 malformed chunk",
        body=rb"(?:\A|\n)[0-9a-fA-F]{9}",
    ),
)
"""Ours refuses (or waits), h11 takes."""

LAXER = (
    Allowed(
        "empty lines in front",
        "RFC 9112, 2.2",
        "a server SHOULD pass over at least one; in front of an answer they can't change what it is",
        head=rb"(?:\A|\r\n\r\n)\r\n",
    ),
    Allowed(
        "space before a chunk extension",
        "RFC 9112, 7.1.1",
        "BWS may stand in front of the semicolon",
        body=rb"(?:\A|\n)[0-9a-fA-F]+[ \t]+;",
    ),
    Allowed(
        "framing fields in trailers",
        "RFC 9110, 6.5.1",
        "without meaning there, and thrown away",
        body=rb"(?i)\n(?:content-length|transfer-encoding):",
    ),
    Allowed(
        "1xx, 204 and 304 with framing fields",
        "RFC 9112, 6.3",
        "they end at the empty line, whatever the fields say",
        side="response",
        head=rb"(?is)HTTP/1\.[01] (?:1..|204|304)(?:(?!\n\r?\n).)*\n(?:content-length|transfer-enc)",
    ),
    Allowed(
        "101 unasked for",
        "RFC 9110, 15.2",
        "read over as any 1xx: we never ask for an upgrade",
        head=rb"HTTP/1\.[01] 101",
        side="response",
    ),
)
"""Ours takes, h11 refuses."""

OTHERWISE = (
    Allowed(
        "absolute-form",
        "RFC 9112, 3.2.2",
        "an absolute http target is read as its path, h11 does not",
        "target",
        _TARGET + rb"(?i:https?)://",
        side="request",
    ),
    Allowed(
        "HTTP/1.0 keep-alive",
        "RFC 9112, 9.3",
        "kept where it is asked for; h11 closes always",
        "keep",
        rb"(?is)\A(?!.*transfer-encoding:).*HTTP/1\.0.*keep-alive",
    ),
    Allowed(
        "204 and 304 with framing fields",
        "RFC 9112, 6.3",
        "not looked at; h11 takes equal ones as one",
        "headers",
        rb"(?is)HTTP/1\.[01] (?:204|304).*content-length",
        side="response",
    ),
    Allowed(
        "part of the body is there",
        "RFC 9110, 10.1.1",
        "a server MAY leave the 100 out then; h11 waits for whole lines",
        "expects",
        body=rb"(?s).",
        side="request",
    ),
    Allowed(
        "bare LF, and a body to come",
        "RFC 9112, 2.2",
        "to us the head is not whole",
        "expects",
        rb"(?:\A|[^\r])\n",
        side="request",
    ),
    Allowed(
        "several expectations",
        "RFC 9110, 10.1.1",
        "one member that we don't know makes it none of ours",
        "expects",
        rb"(?is)expect:[^\r\n]*,|expect:.*expect:",
        side="request",
    ),
)
"""Both take it, and read it otherwise."""


@dataclass
class Side:
    """What one parser made of the bytes."""

    messages: list[dict[str, object]] = field(default_factory=list)
    ends: list[int] = field(default_factory=list)  # how many bytes were left behind each
    said: str = ""  # why it stopped: "" it closes, "wait", else the error
    expects: bool = False  # whether a client waits for our word before it sends a body


def requests(data: bytes) -> tuple[str, str] | None:
    """How the two differ on what a client sends, as (rule, text); None where they may differ so, or don't."""
    return _compare(data, _our_requests(data), _their_requests(data), "request")


def responses(data: bytes) -> tuple[str, str] | None:
    """How the two differ on what a server sends and then ends, up to the first final answer."""
    return _compare(data, _our_response(data), _their_response(data), "response")


def _compare(data: bytes, ours: Side, theirs: Side, side: str) -> tuple[str, str] | None:
    start = 0
    for number in range(max(len(ours.messages), len(theirs.messages))):
        if number >= len(theirs.messages):
            raw = data[start : len(data) - ours.ends[number]]
            if theirs.said in ("", "wait") or not _allowed(LAXER, theirs.said, raw, side):
                return "h11 refuses", f"{theirs.said or 'closes'}, where ours reads {ours.messages[number]}"
            return None
        raw = data[start : len(data) - theirs.ends[number]]
        if number >= len(ours.messages):
            if not _allowed(STRICTER, ours.said, raw, side):
                return "ours refuses", f"{ours.said or 'closes'}, where h11 reads {theirs.messages[number]}"
            return None
        mine, other = ours.messages[number], theirs.messages[number]
        for name in mine:
            if mine[name] != other[name]:
                if not _allowed(OTHERWISE, name, raw, side):
                    return f"reads otherwise: {name}", f"{mine[name]!r}, where h11 reads {other[name]!r}"
                if name == "keep":
                    return None  # one of the two reads no further
        if ours.ends[number] != theirs.ends[number]:
            left = f"{ours.ends[number]} bytes are left behind message {number}, {theirs.ends[number]} by h11"
            return "reads otherwise: framing", left
        start = len(data) - ours.ends[number]
    if (
        ours.said == theirs.said == "wait"
        and ours.expects != theirs.expects
        and not _allowed(OTHERWISE, "expects", data[start:], side)
    ):
        return "reads otherwise: expects", f"{ours.expects}, where h11 has {theirs.expects}"
    return None


def _allowed(among: tuple[Allowed, ...], said: str, raw: bytes, side: str) -> bool:
    return any(one.fits(said, raw, side) for one in among)


def _grouped(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, list[str]]:
    found = dict[str, list[str]]()
    for name, value in headers:
        found.setdefault(name.decode("ascii"), []).append(value.decode("latin-1"))
    return found


def _normal(headers: dict[str, list[str]]) -> dict[str, list[str]]:
    """As h11 gives them."""
    return {
        name: [value.lower() for value in values] if name == "transfer-encoding" else values
        for name, values in headers.items()
    }


def _our_requests(data: bytes) -> Side:
    side, parser = Side(), http1.RequestParser(MOST_BODY)
    parser.feed(data)
    try:
        while (request := parser.next_request()) is not None:
            side.ends.append(len(parser.buffer))
            side.messages.append(
                {
                    "method": request.method,
                    "target": request.target,
                    "body": request.body,
                    "headers": _normal(request.headers),
                    "keep": request.keep_alive,
                }
            )
            if not request.keep_alive:
                return side
        side.said, side.expects = "wait", parser.wants_continue
    except http1.RemoteProtocolError as problem:
        side.said = f"{problem.status} {problem}"
    return side


def _their_requests(data: bytes) -> Side:
    side, conn = Side(), h11.Connection(h11.SERVER, ENOUGH)
    head, body = None, b""
    try:
        if data:  # nothing is an end to h11
            conn.receive_data(data)
        while True:
            event = conn.next_event()
            if isinstance(event, h11.Request):
                head, body = event, b""
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                side.ends.append(len(conn.trailing_data[0]))
                # No 2xx: behind CONNECT it would end HTTP.
                conn.send(h11.Response(status_code=400, headers=[("Content-Length", "0")]))
                conn.send(h11.EndOfMessage())
                keep = conn.our_state is h11.DONE
                side.messages.append(
                    {
                        "method": head.method.decode(),
                        "target": head.target.decode(),
                        "body": body,
                        "headers": _grouped(head.headers),
                        "keep": keep,
                    }
                )
                if not keep:
                    return side
                conn.start_next_cycle()
            else:
                side.said, side.expects = "wait", conn.they_are_waiting_for_100_continue
                return side
    except h11.RemoteProtocolError as problem:
        side.said = f"error: {problem}"
    return side


def _our_response(data: bytes) -> Side:
    side, parser = Side(), http1.ResponseParser(MOST_BODY)
    parser.feed(data)
    try:
        response = parser.next_response() or parser.receive_eof()
    except http1.RemoteProtocolError as problem:
        side.said = f"{problem.status} {problem}"
        return side
    if response is None:
        side.said = "wait"
    else:
        side.ends.append(len(parser.buffer))
        side.messages.append(
            {
                "status": response.status,
                "body": response.body,
                "headers": _normal(response.headers),
                "keep": response.keep_alive,
            }
        )
    return side


def _their_response(data: bytes) -> Side:
    side, conn = Side(), h11.Connection(h11.CLIENT, ENOUGH)
    conn.send(h11.Request(method="GET", target="/", headers=[("Host", "a")]))
    conn.send(h11.EndOfMessage())
    head, body, ended = None, b"", False
    try:
        if data:
            conn.receive_data(data)
        while True:
            event = conn.next_event()
            if isinstance(event, h11.Response):
                head, body = event, b""
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                side.ends.append(len(conn.trailing_data[0]))
                side.messages.append(
                    {
                        "status": head.status_code,
                        "body": body,
                        "headers": _grouped(head.headers),
                        "keep": conn.their_state is h11.DONE and not ended,
                    }
                )
                return side
            elif event is h11.NEED_DATA and not ended:
                conn.receive_data(b"")
                ended = True
            elif not isinstance(event, h11.InformationalResponse):
                side.said = "wait"
                return side
    except h11.RemoteProtocolError as problem:
        side.said = f"error: {problem}"
    return side
