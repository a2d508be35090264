"""Discovery's client by itself, where the world around a whole program can't be timed to the point."""

from __future__ import annotations

import asyncio
import json

import pytest
from simulated import Server, run
from world import reply

from coveport import balancing
from coveport.net.address import Address, parse_address
from coveport.net.transport import Net, ProtocolFactory
from coveport.sidecar.discovery import discovery_client
from coveport.sidecar.discovery.endpoint_reader import EndpointReader
from coveport.sidecar.discovery.endpoint_source import EndpointSource
from coveport.sidecar.discovery.errors import DiscoveryResponseError
from coveport.sidecar.telemetry.counters import Counters
from coveport.sidecar.telemetry.log import Log

LIST = json.dumps({"seq": 1, "whole": True, "hosts": []}).encode()


def test_a_connection_that_comes_up_late_asks_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_client, "CONNECT_TIMEOUT_S", 0.1)
    errors = list[object]()

    async def main(net: Net) -> tuple[int, int]:
        told = asyncio.Event()
        dial, slow = net.dial, iter((0.3, 0.0, 0.0, 0.0))

        async def late(factory: ProtocolFactory, address: Address) -> None:
            await asyncio.sleep(next(slow, 0.0))
            await dial(factory, address)

        monkeypatch.setattr(net, "dial", late)
        net.loop.set_exception_handler(lambda _, context: errors.append(context))
        one = EndpointSource(
            net,
            parse_address(server.address),
            EndpointReader(("a",)),
            lambda update: told.set(),
            Counters(),
            Log(net.now_s),
            on_demand=False,
        )
        one.start()
        await asyncio.wait_for(told.wait(), 5)
        await asyncio.sleep(0.4)  # until the late one is up
        found = server.connections, server.ended
        one.close()
        return found

    server = Server(lambda seen: reply(200, LIST))
    assert run(main) == (1, 0) and errors == [], "what was given up never comes up at all"


@pytest.mark.parametrize("field", ["host", "dial", "site", "block", "health", "share", "born_ms"])
def test_a_line_with_a_garbled_field_is_garbled(field: str) -> None:
    line = {
        "host": "s-1",
        "dial": "127.0.0.1:9",
        "site": "b",
        "class": "m2",
        "block": 3,
        "health": "active",
        "share": 1.0,
        "born_ms": 0,
    }
    reader = EndpointReader(("a", "b"))
    good = reader.read({"seq": 1, "whole": True, "hosts": [line]}).update
    assert (good.entries[0].zone, good.entries[0].cell, good.entries[0].started_ms) == (1, 3, 0)
    with pytest.raises(ValueError, match=r"."):
        reader.read({"seq": 1, "whole": True, "hosts": [line, line | {field: {}}]})


def test_the_tables_hold_no_more_than_the_list_does() -> None:
    # Guards against tables that only grow: on a long day all destinations are replaced, many times over.
    def line(number: int, health: str = "active") -> dict[str, object]:
        return {
            "host": f"s-{number}",
            "dial": "127.0.0.1:9",
            "site": "b",
            "block": f"pod-{number // 3}",
            "health": health,
        }

    reader, numbers, cells = EndpointReader(("a", "b")), set[int](), set[int]()
    for number in range(300):
        hosts = [line(number), line(number - 9, "left")]
        entries = reader.read({"seq": number, "whole": False, "hosts": hosts}).update.entries
        numbers.add(entries[0].host)
        cells.add(entries[0].cell)
    assert len(numbers) == 300 and len(cells) == 100, "none is given twice"
    assert len(reader._endpoint_numbers) == 9 and len(reader._cell_numbers) <= 4
    reader.read({"seq": 900, "whole": True, "hosts": [line(299)]})
    assert list(reader._endpoint_numbers) == ["s-299"] and len(reader._cell_numbers) == 1


def listed(name: str = "s-1", **changes: object) -> dict[str, object]:
    return {"host": name, "dial": "127.0.0.1:9", "site": "b", "block": 3, "health": "active"} | changes


def told(seq: int, *hosts: dict[str, object], whole: bool = False) -> dict[str, object]:
    return {"seq": seq, "whole": whole, "hosts": list(hosts)}


@pytest.mark.parametrize(
    "changes",
    [
        {"share": 10**400},
        {"born_ms": 10**400},
        {"share": float("inf")},
        {"share": float("nan")},
        {"host": "a\nb", "share": -1},
    ],
)
def test_figures_too_large_are_garbled_and_said_in_one_line(changes: dict[str, object]) -> None:
    # Seen in fuzzing: an OverflowError went past all who expect a ValueError.
    with pytest.raises(ValueError, match="not a valid number") as error:
        EndpointReader(()).read(told(1, listed() | changes))
    assert "\n" not in str(error.value)


def test_a_port_of_more_digits_than_python_converts_is_garbled() -> None:
    with pytest.raises(DiscoveryResponseError, match="digits"):
        EndpointReader(()).read(told(1, listed(dial="127.0.0.1:" + "9" * 5000)))


@pytest.mark.parametrize("last", ["active", "left"])
def test_of_a_destination_listed_twice_the_last_line_counts(last: str) -> None:
    reader = EndpointReader(("a", "b"))
    first = reader.read(told(1, listed(), whole=True)).update.entries[0].host
    other = {"active": "left", "left": "active"}[last]
    update = reader.read(told(2, listed(health=other), listed(dial="127.0.0.1:10", health=last)))
    (entry,) = update.update.entries
    assert (entry.host, entry.state is balancing.EndpointState.GONE) == (first, last == "left")
    assert update.endpoints == [(first, None if last == "left" else (("127.0.0.1", 10), 0.0))]
    # Where it is there its number stays: under another one, its drain would not be heard of.
    again = reader.read(told(3, listed(health="leaving"))).update.entries[0].host
    assert (again == first) is (last == "active")


def test_zones_and_cells_that_nobody_is_in_are_forgotten() -> None:
    # As above, for destinations that stay and move, and for zones.
    reader, zones = EndpointReader(("a", "b")), set[int]()
    for number in range(50):
        moved = listed(site=f"z-{number}", block=f"pod-{number}")
        entries = reader.read(told(number, moved, listed("s-2"))).update.entries
        zones.add(entries[0].zone)
        assert entries[1].zone == 1
    assert len(zones) == 50 and min(zones) == 2, "none is given twice, nor one that is configured"
    assert len(reader._zone_numbers) <= 2 + 2 and len(reader._cell_numbers) <= 2
    reader.read(told(99, whole=True))
    assert reader._zone_numbers == {"a": 0, "b": 1} and not reader._cell_numbers


@pytest.mark.parametrize(
    ("scope", "good"),
    [
        ("eth0", True),
        ("eth0.100", True),
        ("2", True),
        ("a\r\nX: y", False),
        ("a..b", False),
        ("\ud800", False),
        ("a" * 16, False),
        ("\x00", False),
        ("\xe9", False),
    ],
)
def test_an_address_has_no_scope_that_no_interface_has(scope: str, good: bool) -> None:
    # Seen in fuzzing: it went into the Host header as it was, or the dial ended in a UnicodeError.
    text = f"[fe80::1%{scope}]:9000"
    if good:
        assert parse_address(text) == (f"fe80::1%{scope}", 9000)
    else:
        with pytest.raises(ValueError, match="scope"):
            parse_address(text)


def watched(answers: list[bytes], calls: int, *, known: int | None = None) -> tuple[list[str], list[int]]:
    """What a discovery that gives these answers, the last one for ever, is asked; the versions told."""
    left, versions = list(answers), list[int]()

    async def main(net: Net) -> None:
        one = EndpointSource(
            net,
            parse_address(server.address),
            EndpointReader(("a",)),
            lambda update: versions.append(-1 if update is None else update.update.version),
            Counters(),
            Log(net.now_s),
            on_demand=False,
        )
        if known is not None:
            one.resume_from(known)
        one.start()
        while len(server.seen) < calls:  # noqa: ASYNC110  # the server knows of no one who waits
            await asyncio.sleep(0.02)
        one.close()

    server = Server(lambda seen: left.pop(0) if len(left) > 1 else left[0])
    run(main)
    return [seen.target.partition("?")[2].partition("&")[0] for seen in server.seen[:calls]], versions


def test_a_known_list_is_followed_and_never_asked_for_whole_again() -> None:
    # 40 that start at once would else ask for all of it together, 60 lines each.
    asked, _ = watched([reply(200, json.dumps(told(9)).encode())], 3, known=9)
    assert asked == ["after=9"] * 3


def test_a_discovery_short_of_time_is_asked_for_changes_alone() -> None:
    # Asked for the whole list after each failure, all sidecars together kept it overbooked for good.
    asked, versions = watched(
        [reply(200, LIST), *[reply(503, b"")] * 3, reply(200, json.dumps(told(2)).encode())], 6
    )
    assert asked[:5] == ["", *["after=1"] * 4] and asked[5] == "after=2" and versions[:2] == [1, 2]


def test_a_list_older_than_what_is_known_changes_nothing() -> None:
    older = [reply(200, json.dumps(told(3, whole=whole)).encode()) for whole in (False, True)]
    news = reply(200, json.dumps(told(6, whole=True)).encode())
    asked, versions = watched([older[0], older[1], news], 4, known=5)
    assert asked == ["after=5", "", "", "after=6"] and versions[0] == 6
    assert watched([older[1]], 5, known=5)[1][0] == 3, "it goes on: discovery has begun anew"
