"""Callers whose bytes are mutated, beside a sound one, against the real server of calls; no loop, no time.

`PYTHONPATH=. python tests/serving/web/mutated_requests.py --count 1000000` for more than the tests play.
"""

from __future__ import annotations

import argparse
import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any

from coveport.http1 import codec
from coveport.serving.web.messages import ApiResponse
from coveport.serving.web.server import HttpServer, _Connection

METHODS = ("PUT", "GET", "DELETE", "POST")


class PairingError(Exception):
    """A caller got what belongs to another call."""


@dataclass
class Work:
    """A call that is being answered, in place of a task."""

    coroutine: Coroutine[Any, Any, None]
    is_over: bool = False

    def cancel(self) -> None:
        if not self.is_over:
            self.is_over = True
            self.coroutine.close()

    def run(self) -> None:
        if not self.is_over:
            self.is_over = True
            try:
                self.coroutine.send(None)
            except StopIteration:
                return
            raise AssertionError("the answer does not wait for anything")


class Loop:
    """Runs what was begun in any order."""

    def __init__(self) -> None:
        self.begun: list[Work] = []

    def create_task(self, coroutine: Coroutine[Any, Any, None]) -> Work:
        self.begun.append(Work(coroutine))
        return self.begun[-1]

    def call_later(self, wait_s: float, call: object) -> Any:
        return SimpleNamespace(cancel=lambda: None)

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        raise context["exception"]


class Transport(asyncio.Transport):
    """Keeps what is written."""

    def __init__(self, name: str) -> None:
        super().__init__()
        self.name = name
        self.written = bytearray()
        self.is_over = False

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return (self.name, 80)

    def is_closing(self) -> bool:
        return self.is_over

    def write(self, data: Any) -> None:
        assert not self.is_over, "nothing is written behind the end"
        self.written += data

    def close(self) -> None:
        self.is_over = True

    def abort(self) -> None:
        self.is_over = True


@dataclass
class Caller:
    """One connection, and what the server was asked on it."""

    name: str
    sent: list[tuple[str, bytes]]  # target and body, before any mutation
    data: bytes
    transport: Transport
    connection: _Connection
    asked: list[tuple[str, bytes]] = field(default_factory=list)


class Exchange:
    """Some callers at once."""

    def __init__(self, seed: int) -> None:
        self.chance = Random(seed)
        self.loop = Loop()
        net = SimpleNamespace(loop=self.loop)
        self.server = HttpServer(net, ("x", 80), self._answer)  # type: ignore[arg-type]
        self.callers = [
            self._caller(f"c{seed}-{number}", number > 0) for number in range(self.chance.choice((2, 3)))
        ]

    async def _answer(self, request: codec.Request, local_host: str) -> ApiResponse:
        caller = next(one for one in self.callers if one.name == local_host)
        caller.asked.append((request.target, request.body))
        return ApiResponse(200, f"{caller.name} {len(caller.asked)}".encode())

    def _caller(self, name: str, is_mutated: bool) -> Caller:
        chance = self.chance
        sent = []
        data = bytearray()
        for number in range(chance.randrange(1, 4)):
            target = f"/{name}/{number}"
            body = f"body of {target}".encode() * chance.choice((0, 1, 3))
            sent.append((target, body))
            data += codec.write_request(chance.choice(METHODS), target, [("Host", "h")], body)
        if is_mutated:
            for _ in range(chance.randrange(1, 5)):
                mutate(data, chance)
        transport = Transport(name)
        connection = _Connection(self.server)
        connection.connection_made(transport)
        return Caller(name, sent, bytes(data), transport, connection)

    def run(self) -> int:
        """Feed all in pieces, in any order; how many calls were answered. Raises PairingError."""
        left = [(caller, bytearray(caller.data)) for caller in self.callers]
        while left:
            caller, data = self.chance.choice(left)
            step = self.chance.randrange(1, 120)
            if not caller.transport.is_over:
                caller.connection.data_received(bytes(data[:step]))
            del data[:step]
            if not data or (caller is not self.callers[0] and self.chance.random() < 0.01):
                left.remove((caller, data))
                if self.chance.random() < 0.3 and caller is not self.callers[0]:
                    caller.connection.connection_lost(None)
            self._work()
        self._work(all_of_it=True)
        return sum(self._judge(caller) for caller in self.callers)

    def _work(self, all_of_it: bool = False) -> None:
        while self.loop.begun and (all_of_it or self.chance.random() < 0.5):
            self.loop.begun.pop(self.chance.randrange(len(self.loop.begun))).run()

    def _judge(self, caller: Caller) -> int:
        own = f"{caller.name} ".encode()
        others = [f"{one.name} ".encode() for one in self.callers if one is not caller]
        if any(other in caller.transport.written for other in others):
            raise PairingError(f"{caller.name} got another's answer")
        answered = caller.transport.written.count(own)
        if answered > len(caller.asked):
            raise PairingError(f"{caller.name} got {answered} answers to {len(caller.asked)} calls")
        if caller is self.callers[0] and (caller.asked != caller.sent or answered != len(caller.sent)):
            raise PairingError(f"the sound {caller.name} asked {caller.sent}, was heard as {caller.asked}")
        places = [caller.transport.written.find(own + str(number + 1).encode()) for number in range(answered)]
        if places != sorted(places) or -1 in places:
            raise PairingError(f"{caller.name} got its answers in another order")
        return answered


def mutate(data: bytearray, chance: Random) -> None:
    """One mutation."""
    if not data:
        return
    place, length = chance.randrange(len(data)), chance.randrange(1, 30)
    match chance.randrange(6):
        case 0:
            data[place] ^= 1 << chance.randrange(8)
        case 1:
            del data[place : place + length]
        case 2:
            data[place:place] = data[place : place + length]
        case 3:
            data[place:place] = chance.randbytes(length)
        case 4:
            data[place:place] = chance.choice(
                (b"\r\n", b"\r\n\r\n", b"0\r\n\r\n", b"Transfer-Encoding: chunked\r\n")
            )
        case _:
            data[place:place] = b"Content-Length: %d\r\n" % chance.randrange(200)


def main() -> None:
    """Run as told on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--count", type=int, default=100_000)
    arguments = parser.parse_args()
    answered = sum(Exchange(seed).run() for seed in range(arguments.first, arguments.first + arguments.count))
    print(f"{arguments.count} exchanges, {answered} calls answered, each to its caller")


if __name__ == "__main__":
    main()
