"""Discovery: what it knows of the ledger nodes over the day, and an agent for each sidecar that tells it.

A death is seen `notice_ms` later, silence after twice that, a start `add_ms` later, leaving at once; nothing
is seen of what has passed by then. Each sidecar's agents hear of it `discovery.spread_ms` later, drawn for
each sidecar and each piece of news. Sidecars that ask are told what has been heard for them by then.

`Told` rows stand for the day's nodes alone: entries that `discovery.extra` adds, and those of an old known
list that never were, have none. A node that is missing in a whole list is told as "left" if that sidecar had
been told of it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from math import inf
from typing import Any
from urllib.parse import parse_qsl

import msgspec

from coveport import http1
from coveport.net.address import Address
from coveport.net.transport import Net
from coveport.testbed.backend import Host
from coveport.testbed.day import NEVER, Change, Day, NodeDrawn
from coveport.testbed.event_log import Called, EventLog, Told
from coveport.testbed.standins.seen_node import SeenNode
from coveport.testbed.tables import Figure

PATH = "/catalog/members"
MOST_WAIT_MS = 60_000.0
MOST_BEHIND = 32  # versions; who is further behind gets the whole list
MOVED_MS = 1500.0  # how long connections to an address that discovery has left stay open
IN_LINE_MS = 2000.0  # how long a call may wait its turn while discovery is overbooked
GOES_ON_MS = 200.0  # a watch goes on where its next call comes so soon after an answer

_INBOX = memoryview(bytearray(16 * 1024))  # shared: what is read is taken out before the next read


class _View:
    """What has been heard for one sidecar."""

    __slots__ = (
        "sidecar",
        "seq",
        "floor",
        "listed",
        "born",
        "changed",
        "versions",
        "told",
        "callers",
        "noise",
    )

    def __init__(self, sidecar: int, seed: int, listed: dict[int, str]) -> None:
        self.sidecar = sidecar
        self.seq = self.floor = 1  # the version; the first one from which changes can be told
        self.listed = listed  # state by node
        self.born: dict[int, float] = {}
        self.changed: dict[int, int] = {}  # the version at which a node changed last
        self.versions: dict[int, int] = {}  # which of a node's news was heard last
        self.told: dict[int, None] = {}  # nodes that the sidecar takes to be there
        self.callers: dict[_Connection, None] = {}  # those that wait for an answer
        self.noise = random.Random(f"garbled {seed} {sidecar}")


class _Connection(asyncio.BufferedProtocol):
    """A sidecar's connection to its agent; one call at a time is looked at."""

    def __init__(self, discovery: Discovery, view: _View, links: dict[_Connection, None]) -> None:
        self._discovery = discovery
        self._view = view
        self._links = links
        self._parser = http1.RequestParser()
        self.transport: asyncio.Transport | None = None
        self.waiting = False  # a call is on
        self.after: int | None = None  # its version, None: it wants the whole list
        self.overdue = False  # it has waited long enough
        self.keep = True
        self.in_line = False  # it waits its turn at an overbooked discovery
        self.answered_ms = -inf  # when its last call was
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A sidecar has connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._links[self] = None

    def get_buffer(self, sizehint: int) -> memoryview:
        """Where to read to."""
        return _INBOX

    def buffer_updated(self, nbytes: int) -> None:
        """Read calls."""
        self._parser.feed(_INBOX[:nbytes])
        self.read()

    def read(self) -> None:
        """Take the next call up, unless one is on."""
        while not self.waiting and self.transport is not None and not self.transport.is_closing():
            try:
                request = self._parser.next_request()
                if request is None:
                    return
                self.keep = request.keep_alive
                self._take(request)
            except http1.RemoteProtocolError as problem:
                self.keep = self.keep and problem.status in (404, 405)
                self.write(problem.status, b"")

    def _take(self, request: http1.Request) -> None:
        path, _, query = request.target.partition("?")
        if path != PATH:
            raise http1.RemoteProtocolError(404, "unknown path")
        if request.method != "GET":
            raise http1.RemoteProtocolError(405, "wrong method")
        told = dict(parse_qsl(query))
        try:
            self.after = int(told["after"]) if "after" in told else None
            wait_ms = min(max(0.0, float(told.get("wait_ms", "0"))), MOST_WAIT_MS)
        except ValueError:
            raise http1.RemoteProtocolError(400, "bad query") from None
        self.waiting = True
        self.overdue = wait_ms == 0
        self._discovery.called(self._view, self)
        if self.waiting and wait_ms:
            self._timer = self._discovery.net.loop.call_later(wait_ms / 1000, self._wait_over)

    def _wait_over(self) -> None:
        self.overdue = True
        self._discovery.settle(self._view, self)
        self.read()

    def write(self, status: int, body: bytes) -> None:
        """Answer the call that is on."""
        self.done()
        if self.transport is None or self.transport.is_closing():
            return
        lines = [("Content-Type", "application/json")] if body else []
        if not self.keep:
            lines.append(("Connection", "close"))
        self.transport.write(http1.write_response(status, lines, body))
        if not self.keep:
            self.transport.close()

    def done(self) -> None:
        """No call is on."""
        self.waiting = self.in_line = False
        self._view.callers.pop(self, None)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def eof_received(self) -> bool:
        """The sidecar has ended."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """It is gone."""
        self.done()
        self._links.pop(self, None)


class _Agent:
    """An address at which one sidecar finds discovery."""

    def __init__(self, host: Host) -> None:
        self.host = host
        self.links: dict[_Connection, None] = {}

    def hang_up(self) -> None:
        """Close its connections."""
        for link in list(self.links):
            if link.transport is not None:
                link.transport.abort()


class Discovery:
    """Discovery of a day: takes the changes of nodes and its own faults, and answers through its agents."""

    def __init__(
        self,
        day: Day,
        event_log: EventLog,
        net: Net,
        day_ms: Callable[[], float],
        node_address: Callable[[int, int], Address],
        *,
        unix_ms_of: Callable[[float], float] = lambda ms: ms,
        on_move: Callable[[int], None] = lambda sidecar: None,
    ) -> None:
        """Nobody is served before `agent`.

        `node_address`: where a node (first) is for a sidecar (second). `unix_ms_of`: turns ms since the day
        began into Unix ms, for `born_ms`. `on_move`: called with a sidecar's number when discovery moves for
        it; the ground then calls `move` and reloads the sidecar.
        """
        self._day = day
        self._write = event_log.write
        self.net = net
        self._day_ms = day_ms
        self._address = node_address
        self._unix_ms_of = unix_ms_of
        self._on_move = on_move
        self._drawn = {node.number: node for node in day.nodes}
        self._nodes = {node.number: SeenNode(node.born) for node in day.nodes}
        self._first = [node.number for node in day.nodes if node.born]
        self._views = {
            one.number: _View(one.number, day.seed, dict.fromkeys(self._first, "active"))
            for one in day.sidecars
        }
        self._agents: dict[int, _Agent] = {}
        self._left: list[_Agent] = []  # agents that sidecars have been told to leave
        self._faults: dict[str, dict[int, Change]] = {}
        self._closed = False
        self._free_ms = 0.0  # when an overbooked discovery has done what waits
        zones = day.scenario.fleet.zones
        self._static = {
            node.number: {
                "host": node.name,
                "dial": "",
                "site": zones[node.zone],
                "class": node.kind,
                "block": node.cell,
                "health": "",
                "share": _share(node),
                "born_ms": 0,
            }
            for node in day.nodes
        }
        self._extra = self._extra_entries()

    # Agents.

    async def agent(self, sidecar: int, host: Host) -> None:
        """Answer that sidecar on `host` from now on; OSError where its address can't be listened on."""
        agent, view = _Agent(host), self._views[sidecar]
        await host.listen(lambda _caller: _Connection(self, view, agent.links))
        self._agents[sidecar] = agent

    async def move(self, sidecar: int, new_host: Host) -> None:
        """Answer that sidecar on `new_host`.

        The host before refuses connections from now on; those that are open are closed `MOVED_MS` later.
        """
        before = self._agents.get(sidecar)
        await self.agent(sidecar, new_host)
        if before is not None:
            before.host.refuse()
            self._left.append(before)
            self.net.loop.call_later(MOVED_MS / 1000, self._leave, before)

    def _leave(self, agent: _Agent) -> None:
        agent.hang_up()
        if agent in self._left:
            self._left.remove(agent)

    def close(self) -> None:
        """Stop all agents."""
        self._closed = True
        for agent in [*self._agents.values(), *self._left]:
            agent.host.refuse()
            agent.hang_up()

    # What is true, and who hears of it when.

    def change(self, change: Change) -> None:
        """Take in what happens to nodes and to discovery itself; other changes pass by."""
        if change.what in ("die", "start", "leaving", "silent"):
            for number in [change.target] if change.target >= 0 else self._nodes:
                self._node_changes(number, change)
        elif change.what == "discovery-moves":
            if change.on:
                for sidecar in [change.target] if change.target >= 0 else list(self._views):
                    self._on_move(sidecar)
        elif change.what.startswith("discovery-"):
            table = self._faults.setdefault(change.what, {})
            if change.on:
                table[change.fault] = change
            else:
                table.pop(change.fault, None)
            for view in self._views.values():
                if change.what == "discovery-empty" and change.target in (-1, view.sidecar):
                    view.seq += 1
                    view.floor = view.seq  # the list as a whole is another one now
                self._wake(view)

    def _node_changes(self, number: int, change: Change) -> None:
        delay = self._nodes[number].change(change, self._day_ms(), self._day)
        if delay is not None:
            self.net.loop.call_later(delay / 1000, self._notice, number, self._nodes[number].news)

    def _notice(self, number: int, news: int) -> None:
        node = self._nodes[number]
        if self._closed or not node.notice(news):
            return
        for view in self._views.values():
            rng = random.Random(f"spread {self._day.seed} {view.sidecar} {number} {node.version}")
            delay = _drawn(self._day.scenario.discovery.spread_ms, rng)
            delay += sum(one.value for one in self._on("discovery-late", view))
            self.net.loop.call_later(delay / 1000, self._hear, view, number, node.seen, node.version)

    def _hear(self, view: _View, number: int, seen: tuple[str, float], version: int) -> None:
        if version < view.versions.get(number, 0) or self._closed:
            return  # later news of it came first
        view.versions[number] = version
        state, view.born[number] = seen
        if state == "left":
            view.listed.pop(number, None)
        else:
            view.listed[number] = state
        if not self._on("discovery-empty", view):
            view.seq += 1
            view.changed[number] = view.seq
            self._wake(view)

    def _on(self, what: str, view: _View) -> list[Change]:
        return [one for one in self._faults.get(what, {}).values() if one.target in (-1, view.sidecar)]

    # Calls.

    def called(self, view: _View, caller: _Connection) -> None:
        """A call has come in."""
        self._write(Called(self._day_ms(), view.sidecar, caller.after is not None))
        view.callers[caller] = None
        booked = self._on("discovery-overbooked", view)
        if booked and (caller.after is None or self._day_ms() - caller.answered_ms > GOES_ON_MS):
            self._stand_in_line(view, caller, sum(one.value for one in booked))
        self.settle(view, caller)

    def _stand_in_line(self, view: _View, caller: _Connection, line_ms: float) -> None:
        now = self._day_ms()
        begins = max(now, self._free_ms)
        caller.in_line = True
        if begins - now > IN_LINE_MS:
            self.net.loop.call_later(IN_LINE_MS / 1000, self._refuse, caller)
            return
        self._free_ms = begins + line_ms * (1 + len(self._list(view, caller.after)[1]))
        self.net.loop.call_later((self._free_ms - now) / 1000, self._has_turn, view, caller)

    def _refuse(self, caller: _Connection) -> None:
        if caller.in_line:
            caller.write(503, b"")
            caller.read()

    def _has_turn(self, view: _View, caller: _Connection) -> None:
        if caller.in_line:
            caller.in_line = False
            self.settle(view, caller)
            caller.read()

    def _wake(self, view: _View) -> None:
        for caller in list(view.callers):
            self.settle(view, caller)
            caller.read()

    def settle(self, view: _View, caller: _Connection) -> None:
        """Answer a call if there is something to say, or it has waited long enough."""
        if caller.in_line or not caller.waiting or not (caller.overdue or caller.after != view.seq):
            return
        if self._on("discovery-silent", view):
            return
        body, rows = self._list(view, caller.after)
        caller.answered_ms = self._day_ms()
        if self._on("discovery-garbled", view):
            body = (
                body[: view.noise.randrange(len(body))]
                if view.noise.random() < 0.5
                else view.noise.randbytes(view.noise.randrange(1, 400))
            )
        else:
            caller.write(200, body)
            # Guards against word that counts as told though the network has cut it short.
            if caller.transport is None or not caller.transport.get_extra_info("cut_short"):
                self._note(view, rows)
            return
        caller.write(200, body)

    def _note(self, view: _View, rows: list[Told]) -> None:
        for row in rows:
            self._write(row)
            if row.state == "left":
                view.told.pop(row.node, None)
            else:
                view.told[row.node] = None

    def _list(self, view: _View, after: int | None) -> tuple[bytes, list[Told]]:
        """An answer, and what it tells."""
        if after is None or not view.floor <= after <= view.seq or view.seq - after > MOST_BEHIND:
            listed = {} if self._on("discovery-empty", view) else view.listed
            states = {**dict.fromkeys((one for one in view.told if one not in listed), "left"), **listed}
            parts = [self._entry(view, number, state) for number, state in listed.items()]
            parts += self._extra if listed else ()
            whole = b"true"
        else:
            states = {
                number: view.listed.get(number, "left")
                for number, version in view.changed.items()
                if version > after
            }
            parts = [self._entry(view, number, state) for number, state in states.items()]
            whole = b"false"
        now = self._day_ms()
        rows = [
            Told(now, view.sidecar, number, state, view.born.get(number, NEVER))
            for number, state in states.items()
        ]
        return b'{"seq":%d,"whole":%b,"hosts":[%b]}' % (view.seq, whole, b",".join(parts)), rows

    def _entry(self, view: _View, number: int, state: str) -> bytes:
        born = view.born.get(number, NEVER)
        return msgspec.json.encode(
            {
                **self._static[number],
                "dial": _dial(self._address(number, view.sidecar)),
                "health": state,
                "born_ms": 0 if born < 0 else round(self._unix_ms_of(born)),
            }
        )

    # The list that a sidecar is started with.

    def known(self, sidecar: int) -> dict[str, Any]:
        """The list for its configuration, in discovery's form; the same at each of its starts.

        "fresh" is the list of the day's start. "old" lacks some of its entries and has some of nodes that
        are no more, at addresses where nobody listens; no changes can be told from its version on.
        """
        kept = self._known_nodes(sidecar)
        known = self._day.scenario.discovery.known
        hosts = [
            {**self._static[number], "dial": _dial(self._address(number, sidecar)), "health": "active"}
            for number in kept
        ]
        if known == "old" and self._first:
            rng = random.Random(f"gone {self._day.seed} {sidecar}")
            for place in range(1 + len(self._first) // 5):
                like = self._static[rng.choice(self._first)]
                hosts.insert(
                    rng.randrange(len(hosts) + 1),
                    {
                        **like,
                        "host": f"s-{rng.getrandbits(32):08x}",
                        "dial": _nowhere(place),
                        "health": "active",
                    },
                )
        if known != "none":
            hosts += [msgspec.json.decode(one) for one in self._extra]
        return {"seq": 1 if known == "fresh" else 0, "whole": True, "hosts": hosts}

    def told_known(self, sidecar: int) -> None:
        """Write down what a sidecar that starts now is told by its known list."""
        view, now = self._views[sidecar], self._day_ms()
        view.told = dict.fromkeys(self._known_nodes(sidecar))
        for number in view.told:
            self._write(Told(now, sidecar, number, "active", NEVER))

    def _known_nodes(self, sidecar: int) -> list[int]:
        known = self._day.scenario.discovery.known
        if known == "none":
            return []
        if known == "old" and len(self._first) > 1:
            rng = random.Random(f"known {self._day.seed} {sidecar}")
            missing = rng.sample(self._first, max(1, len(self._first) // 5))
            return [number for number in self._first if number not in missing]
        return self._first

    def _extra_entries(self) -> list[bytes]:
        """Entries of zones that nobody here is in; leaving, so that nothing goes there."""
        count = self._day.scenario.discovery.extra
        rng = random.Random(f"extra {self._day.seed}")
        kinds = [kind.name for kind in self._day.scenario.fleet.kinds]
        cells = 1 + max((node.cell for node in self._day.nodes), default=0)
        return [
            msgspec.json.encode(
                {
                    "host": f"x-{rng.getrandbits(32):08x}-{place}",
                    "dial": _nowhere(1000 + place),
                    "site": f"far-{place % 7}",
                    "class": rng.choice(kinds),
                    "block": cells + place // 4,
                    "health": "leaving",
                    "share": 1.0,
                    "born_ms": 0,
                }
            )
            for place in range(count)
        ]


def _share(node: NodeDrawn) -> float:
    """A node's size as the list has it: in quarters."""
    return max(0.25, round(node.cores * node.speed * 4) / 4)


def _dial(address: Address) -> str:
    host, port = address
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


def _nowhere(place: int) -> str:
    """A loopback address at which nobody listens (port 9: discard, RFC 863)."""
    return f"127.254.{place // 250 % 250}.{place % 250 + 1}:{9 + place // 62_500}"


def _drawn(figure: Figure, rng: random.Random) -> float:
    return rng.uniform(*figure) if isinstance(figure, tuple) else figure
