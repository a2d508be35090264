"""The client of discovery alone, for cases that need more exact timing than a complete process allows."""

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


def test_a_connect_that_timed_out_never_comes_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery_client, "CONNECT_TIMEOUT_S", 0.1)
    errors = list[object]()

    async def main(net: Net) -> tuple[int, int]:
        updated = asyncio.Event()
        dial, delays = net.dial, iter((0.3, 0.0, 0.0, 0.0))

        async def delayed_dial(factory: ProtocolFactory, address: Address) -> None:
            await asyncio.sleep(next(delays, 0.0))
            await dial(factory, address)

        monkeypatch.setattr(net, "dial", delayed_dial)
        net.loop.set_exception_handler(lambda _, context: errors.append(context))
        source = EndpointSource(
            net,
            parse_address(server.address),
            EndpointReader(("a",)),
            lambda update: updated.set(),
            Counters(),
            Log(net.now_s),
            on_demand=False,
        )
        source.start()
        await asyncio.wait_for(updated.wait(), 5)
        await asyncio.sleep(0.4)  # until the delayed connect would be up
        counts = server.connections, server.ended
        source.close()
        return counts

    server = Server(lambda seen: reply(200, LIST))
    assert run(main) == (1, 0) and errors == [], "a connect that timed out must not come up later"


@pytest.mark.parametrize("field", ["host", "dial", "site", "block", "health", "share", "born_ms"])
def test_a_list_with_a_malformed_field_is_rejected(field: str) -> None:
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
    # Guards against tables that only grow: in a long run all destinations are replaced many times.
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
    assert len(numbers) == 300 and len(cells) == 100, "no number is assigned twice"
    assert len(reader._endpoint_numbers) == 9 and len(reader._cell_numbers) <= 4
    reader.read({"seq": 900, "whole": True, "hosts": [line(299)]})
    assert list(reader._endpoint_numbers) == ["s-299"] and len(reader._cell_numbers) == 1


def host_entry(name: str = "s-1", **changes: object) -> dict[str, object]:
    return {"host": name, "dial": "127.0.0.1:9", "site": "b", "block": 3, "health": "active"} | changes


def endpoint_list(seq: int, *hosts: dict[str, object], whole: bool = False) -> dict[str, object]:
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
def test_numbers_out_of_range_are_rejected_in_one_line(changes: dict[str, object]) -> None:
    # Found by fuzzing: an OverflowError was raised, where all callers handle a ValueError.
    with pytest.raises(ValueError, match="not a valid number") as error:
        EndpointReader(()).read(endpoint_list(1, host_entry() | changes))
    assert "\n" not in str(error.value)


def test_a_port_of_more_digits_than_python_converts_is_rejected() -> None:
    with pytest.raises(DiscoveryResponseError, match="digits"):
        EndpointReader(()).read(endpoint_list(1, host_entry(dial="127.0.0.1:" + "9" * 5000)))


@pytest.mark.parametrize("last", ["active", "left"])
def test_the_last_entry_of_a_destination_listed_twice_counts(last: str) -> None:
    reader = EndpointReader(("a", "b"))
    first_number = reader.read(endpoint_list(1, host_entry(), whole=True)).update.entries[0].host
    other_state = {"active": "left", "left": "active"}[last]
    update = reader.read(
        endpoint_list(2, host_entry(health=other_state), host_entry(dial="127.0.0.1:10", health=last))
    )
    (entry,) = update.update.entries
    assert (entry.host, entry.state is balancing.EndpointState.GONE) == (first_number, last == "left")
    assert update.endpoints == [(first_number, None if last == "left" else (("127.0.0.1", 10), 0.0))]
    # A destination that is still listed keeps its number; with a new one the balancer would miss its drain.
    later_number = reader.read(endpoint_list(3, host_entry(health="leaving"))).update.entries[0].host
    assert (later_number == first_number) is (last == "active")


def test_unused_zones_and_cells_are_forgotten() -> None:
    # Guards against tables that only grow: destinations move between zones and cells.
    reader, zones = EndpointReader(("a", "b")), set[int]()
    for number in range(50):
        moved = host_entry(site=f"z-{number}", block=f"pod-{number}")
        entries = reader.read(endpoint_list(number, moved, host_entry("s-2"))).update.entries
        zones.add(entries[0].zone)
        assert entries[1].zone == 1
    assert len(zones) == 50 and min(zones) == 2, "no number is assigned twice, and none of a configured zone"
    assert len(reader._zone_numbers) <= 2 + 2 and len(reader._cell_numbers) <= 2
    reader.read(endpoint_list(99, whole=True))
    assert reader._zone_numbers == {"a": 0, "b": 1} and not reader._cell_numbers


@pytest.mark.parametrize(
    ("scope", "is_valid"),
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
def test_an_address_with_an_impossible_scope_is_rejected(scope: str, is_valid: bool) -> None:
    # Found by fuzzing: such a scope was sent in the Host header, or the connect raised a UnicodeError.
    text = f"[fe80::1%{scope}]:9000"
    if is_valid:
        assert parse_address(text) == (f"fe80::1%{scope}", 9000)
    else:
        with pytest.raises(ValueError, match="scope"):
            parse_address(text)


def run_watch(replies: list[bytes], calls: int, *, known: int | None = None) -> tuple[list[str], list[int]]:
    """Return the queries to a discovery that sends these replies (repeating the last), and the versions."""
    remaining, versions = list(replies), list[int]()

    async def main(net: Net) -> None:
        source = EndpointSource(
            net,
            parse_address(server.address),
            EndpointReader(("a",)),
            lambda update: versions.append(-1 if update is None else update.update.version),
            Counters(),
            Log(net.now_s),
            on_demand=False,
        )
        if known is not None:
            source.resume_from(known)
        source.start()
        while len(server.seen) < calls:  # noqa: ASYNC110  # the server has no event to wait for
            await asyncio.sleep(0.02)
        source.close()

    server = Server(lambda seen: remaining.pop(0) if len(remaining) > 1 else remaining[0])
    run(main)
    return [seen.target.partition("?")[2].partition("&")[0] for seen in server.seen[:calls]], versions


def test_a_known_list_is_resumed_without_a_full_request() -> None:
    # Guards against 40 sidecars that start together and all request the full list, 60 lines each.
    queries, _ = run_watch([reply(200, json.dumps(endpoint_list(9)).encode())], 3, known=9)
    assert queries == ["after=9"] * 3


def test_an_overloaded_discovery_is_asked_for_changes_only() -> None:
    # Guards against full requests after each failure, with which all sidecars kept discovery overloaded.
    queries, versions = run_watch(
        [reply(200, LIST), *[reply(503, b"")] * 3, reply(200, json.dumps(endpoint_list(2)).encode())], 6
    )
    assert queries[:5] == ["", *["after=1"] * 4] and queries[5] == "after=2" and versions[:2] == [1, 2]


def test_a_list_older_than_the_present_one_changes_nothing() -> None:
    older = [reply(200, json.dumps(endpoint_list(3, whole=whole)).encode()) for whole in (False, True)]
    newer = reply(200, json.dumps(endpoint_list(6, whole=True)).encode())
    queries, versions = run_watch([older[0], older[1], newer], 4, known=5)
    assert queries == ["after=5", "", "", "after=6"] and versions[0] == 6
    assert run_watch([older[1]], 5, known=5)[1][0] == 3, (
        "after several older lists discovery counts as restarted"
    )
