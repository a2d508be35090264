"""A late second copy of a rejection is taken for the answer to the same request's next attempt."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

from stand_ins.deployment import HOST, Deployment, Record
from stand_ins.http import ClientConnection, Message
from stand_ins.runner import run_case
from stand_ins.server import Server

RECORD_PATH = Path(__file__).resolve().parent / "record.txt"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TROUBLE_S = 5.0  # `garble` in the site file: for_s = 5.0
TROUBLE_SHARE = 0.03  # of the answers of the server in trouble: x = 0.03
CYCLES = 8  # one request of the client in each; the trouble begins with the second
BERTHS = 3
LONG_WORK_S = 0.1
SHORT_WORK_S = 0.005
SHORT_REQUESTS = 45  # in a cycle
CLIENT, CROWD = 1, 0  # the proxies that they call
HOME = "bizkaia"  # the region of the server in trouble


class TroubledServer(Server):
    """Sends some of its rejections a second time, late: in the place of the connection's next answer."""

    trouble_until_s = 0.0
    doubled = 0
    _answers_before = 0
    _owed: dict[asyncio.StreamWriter, bytes]  # the second copies that are still to come, by connection

    def begin_trouble(self) -> None:
        """Begin to send second copies."""
        self._owed = {}
        self.trouble_until_s = time.monotonic() + TROUBLE_S
        self._answers_before = self.answers
        self.record.write(f"server {self.instance} is in trouble for {TROUBLE_S} s")

    def _may_double(self) -> bool:
        """Whether one more second copy stays within the share of the answers in the trouble."""
        answers = self.answers - self._answers_before
        return time.monotonic() < self.trouble_until_s and self.doubled + 1 <= TROUBLE_SHARE * answers

    async def answer(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request, behind the second copy that is owed on this connection."""
        if self.trouble_until_s and (copy := self._owed.pop(writer, b"")):
            self._send_copy(copy, writer)
        response = await self.respond(request)
        writer.write(response)
        is_rejection = response.startswith(b"HTTP/1.1 503")
        if is_rejection and self._may_double() and not self._owed:
            self._owed[writer] = response

    def _send_copy(self, copy: bytes, writer: asyncio.StreamWriter) -> None:
        """Send a second copy that is owed, if the trouble has not ended meanwhile."""
        if time.monotonic() >= self.trouble_until_s:
            return
        self.doubled += 1
        answers = self.answers - self._answers_before
        self.record.write(
            f"server {self.instance} sends second copy {self.doubled} of {answers} answers in trouble"
        )
        writer.write(copy)


def configuration() -> dict[str, object]:
    """Return a configuration with one route whose requests may run once at most."""
    route = {
        "Name": "r-credit", "Host": HOST, "PathPrefix": "/credit/", "Kind": "unsafe", "DeadlineMs": 5000,
        "TargetMs": 1200, "Precedence": 0, "Service": "points-desk", "Tries": 3, "HomeRegions": [HOME],
    }  # fmt: skip
    service = {
        "Name": "points-desk",
        "HealthPath": "/health",
        "MaxConns": 370,
        "Protocol": "h1",
        "Tls": False,
    }
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderReadMs": 3000, "IdleMs": 15000}
    return {"Routes": [route], "Services": [service], "Limits": limits}


class Client:
    """A client on one kept connection; each of its requests has an id of its own."""

    def __init__(self, name: str, address: tuple[str, int], record: Record) -> None:
        self.answers: dict[str, str] = {}  # by id
        self._name = name
        self._record = record
        self._connection = ClientConnection(address)
        self._count = 0

    async def send(self, path: str) -> None:
        """Send one request and record its answer."""
        self._count += 1
        attempt = f"{self._name}-{self._count}"
        headers = {"Host": HOST, "Coveport-Try-Id": attempt, "Coveport-Time-Left": "4000"}
        answer = await self._connection.call(f"POST {path} HTTP/1.1", headers, b"ten points")
        self.answers[attempt] = str(answer.status) if isinstance(answer, Message) else answer
        if path.endswith("/long"):
            self._record.write(f"client {attempt} is answered {self.answers[attempt]}")


async def run_cycle(crowd: list[Client], client: Client) -> None:
    """Let others fill the server for a moment, in which the client's request comes."""
    for _ in range(SHORT_REQUESTS // len(crowd)):
        for other in crowd:
            await other.send("/credit/short")
    filling = [asyncio.create_task(other.send("/credit/long")) for other in crowd]
    await asyncio.sleep(0.03)
    await client.send("/credit/long")
    await asyncio.gather(*filling)


async def play(deployment: Deployment, record: Record) -> int:
    """Play the case; return the exit code."""

    def work_s(path: str) -> float:
        return LONG_WORK_S if path.endswith("/long") else SHORT_WORK_S

    troubled = TroubledServer(deployment, 0, "points-desk", BERTHS, work_s, record)
    sound = Server(deployment, 1, "points-desk", BERTHS, work_s, record)
    await deployment.start()
    acknowledged = await deployment.put_configuration(5, 0, configuration())
    if not isinstance(acknowledged, Message) or acknowledged.status != 200:
        record.write(f"the configuration was not acknowledged: {acknowledged}")
        return 2
    await troubled.start()
    await sound.start()
    if not await deployment.wait_ready():
        record.write("the proxies did not become ready")
        return 2
    await asyncio.sleep(4.5)  # all machines are in touch
    crowd = [Client(f"crowd{number}", deployment.client_address(CROWD), record) for number in range(4)]
    client = Client("client", deployment.client_address(CLIENT), record)
    for cycle in range(CYCLES):
        if cycle == 1 and HAS_TROUBLE:
            troubled.begin_trouble()
        await run_cycle(crowd, client)
    await asyncio.sleep(1.0)
    return judge(troubled, sound, [client, *crowd], record)


def judge(troubled: TroubledServer, sound: Server, clients: list[Client], record: Record) -> int:
    """Record what broke the rules; return the exit code."""
    answers = {attempt: answer for client in clients for attempt, answer in client.answers.items()}
    runs = {attempt: troubled.runs.get(attempt, 0) + sound.runs.get(attempt, 0) for attempt in answers}
    twice = [attempt for attempt, count in runs.items() if count > 1]
    refused = [attempt for attempt, count in runs.items() if count and answers[attempt] in ("429", "503")]
    record.write(f"requests {len(answers)}, answered 200: {list(answers.values()).count('200')}")
    record.write(f"second copies sent: {troubled.doubled} of {troubled.answers} answers")
    record.write(f"TWICE: requests that ran more than once: {twice}")
    record.write(f"REFUSED: requests that ran and were answered 429 or 503: {refused}")
    if list(answers.values()).count("200") < len(answers) // 2 or (HAS_TROUBLE and not troubled.doubled):
        record.write("the case could not be played")
        return 2
    return 1 if twice or refused else 0


if __name__ == "__main__":
    sys.exit(run_case(play, RECORD_PATH))
