"""What is fuzzed, and what must hold whatever the bytes are. Pure.

A target takes bytes and returns where all that it states holds. It raises `BrokenError` where not; any other
exception out of it is a find as well, as the code under test may raise only what it documents.
"""

from __future__ import annotations

import io
import json
import math
import random
import zlib
from collections.abc import Callable, Iterator, Sequence
from contextlib import suppress
from itertools import islice, pairwise
from types import SimpleNamespace
from typing import Any, NamedTuple

import msgspec

from coveport import balancing, http1
from coveport.balancing import simulator_codec
from coveport.balancing.balancer import Balancer
from coveport.balancing.errors import WireError
from coveport.net.address import parse_address
from coveport.sidecar.config import platform
from coveport.sidecar.config.errors import PlatformFileError
from coveport.sidecar.discovery.endpoint_reader import EndpointReader
from coveport.sidecar.downstream.operation_reader import read_operation
from coveport.sidecar.reducer.operation import Operation
from coveport.sidecar.upstream.http1_messages import encode_request, load_report
from coveport.testbed import outcome, scenario_file
from coveport.testbed.fuzz import writers

MOST_BODY = 512  # bytes; less than in service, so that short inputs reach the limit
REFUSALS = (400, 413, 431, 501, 505)  # what a parser may refuse with
BYTEWISE = 200  # inputs up to this long are also fed byte by byte
PLACE = (("127.0.0.1", 9000), 0.0)
CLASSES = {
    "balance": (0, balancing.Effect.SAFE),
    "earn": (1, balancing.Effect.KEYED),
    "redeem": (2, balancing.Effect.UNSAFE),
}
LOAD_FIELDS = ("inflight", "queue", "util")
ZONES = ("bilbao", "oviedo")
FRAMING = ("content-length", "transfer-encoding")


class BrokenError(Exception):
    """An invariant does not hold; `rule` names it in a word or two."""

    def __init__(self, rule: str, text: str) -> None:
        super().__init__(f"{rule}: {text}")
        self.rule = rule


def must(holds: object, rule: str, text: str = "") -> None:
    """Raise `BrokenError` where an invariant does not hold."""
    if not holds:
        raise BrokenError(rule, text)


class Target(NamedTuple):
    """One thing that reads bytes."""

    about: str
    dictionary: str  # words that the mutator puts in, a file of fuzz/dictionaries
    check: Callable[[bytes], None]
    needs_h11: bool = False


# HTTP/1.1.


class Read(NamedTuple):
    """What a parser made of bytes."""

    messages: list[http1.Message]
    refused: int  # the status, 0: nothing was wrong
    begun: bool  # a message has begun and is not whole


def cuts(data: bytes) -> Iterator[list[bytes]]:
    """Some ways to cut bytes into pieces, always the same ones for the same bytes."""
    rng = random.Random(zlib.crc32(data))
    if len(data) <= BYTEWISE:
        yield [data[at : at + 1] for at in range(len(data))]
    for several in (1, 2, 7):
        at = sorted({0, len(data), *(rng.randint(0, len(data)) for _ in range(several))})
        yield [data[low:high] for low, high in pairwise(at)]


def read_all(parser: http1.RequestParser | http1.ResponseParser, pieces: Sequence[bytes]) -> Read:
    """Feed a parser; holds it to its bounds, and to give nothing more after an error."""
    found = list[http1.Message]()
    most = parser.max_body_bytes + 2 * http1.MAX_HEAD_BYTES + 256
    for number, piece in enumerate(pieces):
        parser.feed(piece)
        try:
            while (message := parser.next_message()) is not None:
                found.append(message)
        except http1.RemoteProtocolError as problem:
            must(problem.status in REFUSALS, "status", f"{problem.status}")
            for rest in [*pieces[number + 1 :], b"GET / HTTP/1.1\r\nHost: a\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"]:
                parser.feed(rest)
                must(parser.next_message() is None, "after an error", "a message was taken")
            return Read(found, problem.status, False)
        must(len(parser.buffer) <= most, "held", f"{len(parser.buffer)} bytes of at most {most}")
    return Read(found, 0, parser.is_mid_message)


def _same_however_cut(data: bytes, make: Callable[[], http1.RequestParser | http1.ResponseParser]) -> Read:
    whole = read_all(make(), [data])
    for pieces in cuts(data):
        got = read_all(make(), pieces)
        must(got == whole, "cut", f"{got}, where whole it is {whole}")
    return whole


def _plain(headers: dict[str, list[str]]) -> list[tuple[str, str]]:
    """Header lines without those of framing, which the writer makes."""
    return [(name, value) for name, values in headers.items() if name not in FRAMING for value in values]


def _one(parser: http1.RequestParser | http1.ResponseParser, data: bytes) -> Any:
    """The only message in bytes that our writer made; None where they went over a limit."""
    got = read_all(parser, [data])
    if got.refused in (413, 431):
        return None
    must(len(got.messages) == 1 and not got.begun and not got.refused, "written", f"{data!r} reads as {got}")
    return got.messages[0]


def requests(data: bytes) -> None:
    """RequestParser."""
    for message in _same_however_cut(data, lambda: http1.RequestParser(MOST_BODY)).messages:
        assert isinstance(message, http1.Request)
        must(len(message.body) <= MOST_BODY, "body", "over its bound")
        headers = _plain(message.headers)
        if "host" not in message.headers:
            headers.append(("host", "a"))
        written = http1.write_request(message.method, message.target, headers, message.body)
        again = _one(http1.RequestParser(MOST_BODY), written)
        if again is not None:
            must(
                (again.method, again.target, again.body, _plain(again.headers))
                == (message.method, message.target, message.body, headers),
                "written",
                f"{again}",
            )
            rewritten = http1.write_request(again.method, again.target, _plain(again.headers), again.body)
            must(rewritten == written, "stable", f"{written!r}, then {rewritten!r}")


def responses(data: bytes) -> None:
    """ResponseParser, with an end behind the bytes."""
    whole = _same_however_cut(data, lambda: http1.ResponseParser(MOST_BODY))
    finals = list[http1.Response | None]()
    for pieces in ([data], *islice(cuts(data), 2)):
        parser, final = http1.ResponseParser(MOST_BODY), None
        try:
            for piece in pieces:
                parser.feed(piece)
                final = final or parser.next_response()
            finals.append(final or parser.receive_eof())
        except http1.RemoteProtocolError:
            finals.append(None if final is None else final)
    must(all(one == finals[0] for one in finals), "cut", f"{finals}")
    for message in [*whole.messages, *(one for one in finals[:1] if one is not None)]:
        assert isinstance(message, http1.Response)
        must(len(message.body) <= MOST_BODY, "body", "over its bound")
        if message.status < 200 or message.status in (204, 304):
            must(not message.body, "bodiless", f"{message}")
            continue
        written = http1.write_response(message.status, _plain(message.headers), message.body)
        again = _one(http1.ResponseParser(MOST_BODY), written)
        if again is not None:
            must(
                (again.status, again.body, _plain(again.headers))
                == (message.status, message.body, _plain(message.headers)),
                "written",
                f"{again}",
            )
            rewritten = http1.write_response(again.status, _plain(again.headers), again.body)
            must(rewritten == written, "stable", f"{written!r}, then {rewritten!r}")


def operations(data: bytes) -> None:
    """read_operation on what parses, and what is passed on of it."""
    parser = http1.RequestParser()
    parser.feed(data)
    while True:
        try:
            request = parser.next_request()
        except http1.RemoteProtocolError:
            return
        if request is None:
            return
        try:
            operation = read_operation(request, CLASSES)
        except http1.RemoteProtocolError as problem:
            must(problem.status in (400, 404, 405), "status", f"{problem.status}")
            continue
        _passed_on(operation)


def _passed_on(operation: Operation) -> None:
    must(0 < operation.wait_ms <= 3_600_000, "wait", f"{operation.wait_ms}")
    must(0 <= operation.cost_ms < math.inf, "cost", f"{operation.cost_ms}")
    step: Any = SimpleNamespace(operation=operation, remaining_s=operation.wait_ms / 1000)
    written = encode_request(step, PLACE)
    request = _one(http1.RequestParser(), written)
    if request is None:
        return
    again = read_operation(request, CLASSES)
    must(abs(again.wait_ms - max(1, round(operation.wait_ms))) < 1, "deadline", f"{again.wait_ms}")
    for name in ("method", "target", "body", "id", "key", "cls", "content_type", "accept"):
        before, after = getattr(operation, name), getattr(again, name)
        must(before == after, "changed", f"{name} {before!r} is passed on as {after!r}")


def loads(data: bytes) -> None:
    """load_report on X-Load's values, one a line."""
    values = data.decode("latin-1").split("\n")
    load = load_report(http1.Response({"x-load": values}, True, b"", 200), LOAD_FIELDS)
    must(len(load) in (0, len(LOAD_FIELDS)), "length", f"{load}")
    must(all(type(one) is float and math.isfinite(one) for one in load), "finite", f"{load}")
    told = ",".join(f"{name}={one!r}" for name, one in zip(LOAD_FIELDS, load, strict=bool(load)))
    must(load_report(http1.Response({"x-load": [told]}, True, b"", 200), LOAD_FIELDS) == load, "stable", told)


# Discovery.


def lists(data: bytes) -> None:
    """EndpointReader on several answers of discovery in a row, one a line."""
    reader = EndpointReader(ZONES)
    numbers = dict[str, int]()  # of those that are there
    given = set[int]()
    for line in data.split(b"\n"):
        before = _tables(reader)
        try:
            told = json.loads(line)
            update = reader.read(told)
        except (ValueError, RecursionError) as problem:
            must("\n" not in str(problem), "one line", str(problem))
            must(_tables(reader) == before, "after an error", "the tables have changed")
            continue
        _one_list(told, update.update, update.endpoints, numbers, given)
        hosts, cells, where, zones = _tables(reader)
        must(hosts == numbers, "hosts", f"{hosts}, there are {numbers}")
        must(where.keys() == numbers.keys(), "places", f"{where}, there are {numbers}")
        must(len(cells) <= len(numbers), "cells", f"{len(cells)} kept for {len(numbers)} hosts")
        must(len(zones) <= len(ZONES) + len(numbers), "zones", f"{len(zones)} kept for {len(numbers)} hosts")
        must(len({*zones.values()}) == len(zones), "zones", f"one number twice in {zones}")


def _tables(reader: EndpointReader) -> list[dict[Any, Any]]:
    return [
        dict(getattr(reader, name))
        for name in ("_endpoint_numbers", "_cell_numbers", "_localities", "_zone_numbers")
    ]


def _one_list(
    told: Any,
    update: balancing.EndpointUpdate,
    endpoints: Sequence[tuple[int, Any]],
    numbers: dict[str, int],
    given: set[int],
) -> None:
    """Hold one list against a model of its own: `numbers` of the names that are there, all ever `given`."""
    must(update.version == told["seq"], "version", f"{update.version}")
    kind = balancing.EndpointUpdateKind.FULL if told["whole"] else balancing.EndpointUpdateKind.DELTA
    must(update.kind is kind, "kind", f"{update.kind}")
    last = {one["host"]: one for one in told["hosts"]}
    entries = {one.host: one for one in update.entries}
    where = dict(endpoints)
    must(len(entries) == len(last) == len(where), "entries", f"{len(entries)} of {len(last)} hosts")
    if told["whole"]:
        for name in [name for name in numbers if name not in last]:
            del numbers[name]
    for (name, one), (number, entry) in zip(last.items(), entries.items(), strict=True):
        gone, place = one["health"] == "left", where[number]
        must(numbers.get(name, number) == number, "number", f"{name} was {numbers.get(name)}, is {number}")
        must(name in numbers or number not in given, "number", f"{number} is given twice")
        must((entry.state is balancing.EndpointState.GONE) == gone, "state", f"{name}: {entry.state}")
        must((place is None) == gone, "place", f"{name}: {place}")
        must(0 <= entry.weight < math.inf and 0 <= entry.started_ms < math.inf, "figure", f"{entry}")
        given.add(number)
        numbers[name] = number
        if gone:
            del numbers[name]
        else:
            _dialable(place[0])


def _dialable(address: tuple[str, int]) -> None:
    """An address reads back equal, goes into a header, and is one that asyncio can be told."""
    host, port = address
    must(parse_address(f"{host}:{port}") == address, "address", f"{address}")
    step: Any = SimpleNamespace(operation=None, remaining_s=1.0)
    probe = _one(http1.RequestParser(), encode_request(step, (address, 0.0)))
    must(probe.headers == {"host": [f"{host}:{port}"]}, "address", f"{address} writes as {probe}")
    host.encode("idna")


# Configurations.


def config(data: bytes) -> None:
    """The platform's configuration, and that what is called usable can be started with."""
    try:
        read = platform.read(data.decode(), {})
    except UnicodeDecodeError:
        return
    except PlatformFileError as problem:
        must("\n" not in str(problem), "one line", str(problem))
        return
    for one in (read.listen, read.discovery):
        _dialable(one)
    must(type(read.name) is str and type(read.seed) is int, "types", f"{read}")
    must(
        read.sockets >= 1 and 0 < read.memory_mb < math.inf and 0 < read.keepalive_ms < math.inf,
        "limits",
        f"{read}",
    )
    names = [one.name for one in read.settings.classes]
    must(all(type(one) is str for one in names), "class", f"{names}")
    must(all(type(one) is str for one in read.settings.load_fields), "fields", f"{read.settings.load_fields}")
    with suppress(ValueError):
        EndpointReader(read.zones).read(read.known_endpoints, balancing.EndpointUpdateKind.CACHED)
    balancer = Balancer(read.settings, read.seed)
    balancer.handle(
        0.0,
        balancing.EndpointUpdate(
            balancing.EndpointUpdateKind.FULL, (balancing.Endpoint(1), balancing.Endpoint(2, 1))
        ),
    )
    for number in range(len(names)):
        for action in balancer.handle(1.0, balancing.Request(number, 2000.0, number)):
            if isinstance(action, balancing.Send):
                balancer.handle(2.0, balancing.Reply(number, 0, action.host, balancing.Outcome.OK, 1.0, True))
    balancer.handle(9.0, balancing.TimerFired(1))


# The simulator's wire.


class _Dribble(io.BytesIO):
    """Gives at most three bytes a read, as a pipe may."""

    def read(self, size: int | None = -1) -> bytes:
        return super().read(min(3, size) if size is not None and size >= 0 else 3)


Taken = list[tuple[int, simulator_codec.Item]]


def _batches(stream: io.BytesIO) -> tuple[list[tuple[float, int, Taken]], bool]:
    """The batches of a stream (clock, number, items), and whether it ends in an error."""
    found, decoder = list[tuple[float, int, Taken]](), simulator_codec.Decoder()
    try:
        while (batch := simulator_codec.read_batch(stream)) is not None:
            now, number, count, body = batch
            taken = Taken()
            found.append((now, number, taken))
            for one in decoder.decode(body, count):
                taken.append(one)
    except WireError:
        return found, True
    return found, False


def _shown(found: list[tuple[float, int, Taken]]) -> list[tuple[str, int, list[str]]]:
    return [(repr(now), number, [writers.shown(one) for one in taken]) for now, number, taken in found]


def batches(data: bytes) -> None:
    """read_batch and Decoder, and that what they read is what an encoder of its own writes."""
    found, refused = _batches(io.BytesIO(data))
    dribbled, again = _batches(_Dribble(data))
    must((_shown(found), refused) == (_shown(dribbled), again), "cut", f"{found}")
    written = b"".join(writers.batch(now, number, taken) for now, number, taken in found)
    reread, refused = _batches(io.BytesIO(written))
    must(not refused, "written", f"{found}")
    must(_shown(found) == _shown(reread), "stable", f"{found}, then {reread}")


# Files of the lab.

SET = "#set "
"""Begins a line of a scenario that is laid over it, as `--set` is."""


def scenarios(data: bytes) -> None:
    """A scenario's text, with the sets that its comments name."""
    try:
        text = data.decode()
    except UnicodeDecodeError:
        return
    sets = [line.removeprefix(SET) for line in text.splitlines() if line.startswith(SET)]
    try:
        day = scenario_file.parse(text, "day", sets)
    except scenario_file.ScenarioError as problem:
        said = str(problem)
        must(said.startswith("day: ") and "\n" not in said and said.count(": ") >= 2, "one line", said)
        return
    written = writers.toml(msgspec.to_builtins(day))
    try:
        again = scenario_file.parse(written, "day")
    except scenario_file.ScenarioError as problem:
        raise BrokenError("written", f"{problem}: {written!r}") from problem
    must(again == day, "stable", written)


def outcomes(data: bytes) -> None:
    """An outcome's JSON."""
    try:
        read = outcome.decode(data)
    except ValueError:
        return
    written = outcome.encode(read)
    must(
        outcome.decode(written) == read and outcome.encode(outcome.decode(written)) == written,
        "stable",
        f"{written!r}",
    )


# The comparison with h11, loaded where it is wanted: h11 is needed by nothing else.


def requests_h11(data: bytes) -> None:
    """RequestParser and h11 as a server."""
    from coveport.testbed.fuzz import differ

    _differ(differ.requests(data))


def responses_h11(data: bytes) -> None:
    """ResponseParser and h11 as a client, with an end behind the bytes."""
    from coveport.testbed.fuzz import differ

    _differ(differ.responses(data))


def _differ(difference: tuple[str, str] | None) -> None:
    if difference is not None:
        raise BrokenError(*difference)


TARGETS = {
    "requests": Target("requests of tills, in any pieces", "http", requests),
    "responses": Target("answers of ledger nodes and discovery, in any pieces", "http", responses),
    "operations": Target("requests read as operations, and what is passed on of them", "http", operations),
    "loads": Target("load reports", "loads", loads),
    "lists": Target("discovery's lists, several in a row", "lists", lists),
    "config": Target("the platform's configuration, and whether it can be started with", "config", config),
    "batches": Target("the simulator's wire", "wire", batches),
    "scenarios": Target("scenario files, with sets", "scenarios", scenarios),
    "outcomes": Target("outcomes as JSON", "outcomes", outcomes),
    "requests-h11": Target("requests, beside h11", "http", requests_h11, True),
    "responses-h11": Target("answers, beside h11", "http", responses_h11, True),
}
"""By name; a target's corpus is the folder of that name."""
