"""SIGHUP: the configuration is read anew, discovery moves, and nothing that is under way notices."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from simulated import Discovery, Server, free_port, wait_for, world
from world import SILENT, Seen, receive, reply, request, served


def test_a_reload_moves_discovery_and_leaves_operations_alone(tmp_path: Path) -> None:
    async def slow(seen: Seen) -> bytes:
        await asyncio.sleep(1.0)
        return served(seen)

    old, new = Server(slow), Server(served)
    with world(tmp_path, old.address) as one, one.connect() as conn:
        held = bytearray()
        conn.sendall(request("POST /redeem", X_Deadline="5000m"))
        wait_for(lambda: len(old.seen) == 1)
        after = Discovery(seq=0)  # an older version: versions may differ from one discovery to the next
        after.put("s-new", new.address)
        one.reload(discovery=after.server.address)
        wait_for(lambda: len(after.server.seen) > 1)
        assert "after" not in after.server.seen[0].target and "after" in after.server.seen[1].target
        one.discovery.put("s-late", old.address)  # what the old one tells from now on is not taken in
        wait_for(lambda: one.discovery.server.ended > 0)
        assert receive(conn, held)[0] == 200  # its destination is gone meanwhile, its connection is not
        conn.sendall(request("POST /redeem"))
        assert receive(conn, held)[0] == 200 and len(new.seen) == 1
        assert one.figures()["config_reloads"] == 1


def test_a_reload_keeps_the_old_discovery_until_the_new_one_speaks(tmp_path: Path) -> None:
    nodes = [Server(served), Server(served)]
    with world(tmp_path, nodes[0].address) as one:
        after = Discovery(answer=SILENT)
        one.reload(discovery=f"127.0.0.1:{free_port()}")  # several in a row: the last one counts
        one.reload(discovery=after.server.address)
        wait_for(lambda: len(after.server.seen) > 0)
        assert one.ask("POST /redeem")[0] == 200  # the last list still holds
        del one.discovery.hosts["s-0"]
        one.discovery.put("s-1", nodes[1].address)
        wait_for(lambda: one.ask("POST /redeem")[0] == 200 and len(nodes[1].seen) > 0)
        # Changes are no answer to the call for the whole list.
        after.answer = reply(200, json.dumps({"seq": 9, "whole": False, "hosts": []}).encode())
        wait_for(lambda: "whole list was asked for" in one.log.read_text())
        assert one.ask("POST /redeem")[0] == 200
        after.put("s-0", nodes[0].address)
        after.answer = None
        before = len(nodes[0].seen)
        wait_for(lambda: one.ask("POST /redeem")[0] == 200 and len(nodes[0].seen) > before)
        wait_for(lambda: one.discovery.server.ended > 0)


def test_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as one:
        good = one.config.read_text()
        for bad in ("", good[: len(good) // 2], '{"discovery":"127.0.0.1:1"}'):
            one.config.write_text(bad)
            before = one.log.read_text().count("kept the old configuration")
            one.process.send_signal(signal.SIGHUP)
            wait_for(lambda: one.log.read_text().count("kept the old configuration") > before)  # noqa: B023
        other = Server(served)
        del one.discovery.hosts["s-0"]
        one.discovery.put("s-1", other.address)
        wait_for(lambda: one.ask("POST /redeem")[0] == 200 and len(other.seen) > 0)
        assert one.figures()["config_reload_errors"] == 3


def test_a_reload_where_the_list_must_be_asked_for(tmp_path: Path) -> None:
    nodes = [Server(served), Server(served)]
    with world(tmp_path, nodes[0].address, told={"registry_mode": "subscribe"}) as one:
        wait_for(lambda: one.ask("GET /balance")[0] == 200 and len(one.discovery.server.seen) > 0)
        after = Discovery()
        after.put("s-1", nodes[1].address)
        one.reload(discovery=after.server.address)
        wait_for(lambda: one.ask("POST /redeem")[0] == 200 and len(nodes[1].seen) > 0)
        after.put("s-0", nodes[0].address)  # the watch has moved along
        after.put("s-1", nodes[1].address, "leaving")
        before = len(nodes[0].seen)
        wait_for(lambda: one.ask("POST /redeem")[0] == 200 and len(nodes[0].seen) > before)


def test_a_reload_before_there_is_any_list(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, known=False, ready=False, answer=SILENT) as one:
        assert one.ask("GET /_health")[0] == 503
        after = Discovery()
        after.put("s-0", node.address)
        one.reload(discovery=after.server.address)
        wait_for(lambda: one.ask("GET /_health")[0] == 200)
        assert one.ask("POST /redeem")[0] == 200


def test_a_reload_during_the_planned_end(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as one, one.connect() as conn:
        after = Discovery()
        after.put("s-0", node.address)
        conn.sendall(request("POST /redeem"))
        assert receive(conn)[0] == 200
        one.process.send_signal(signal.SIGTERM)
        one.reload(discovery=after.server.address)
        conn.sendall(request("POST /redeem"))
        assert receive(conn)[0] == 200 and one.process.wait(10) == 0
        assert len(after.server.seen) > 0


def test_the_file_beats_the_variable_only_after_a_reload(tmp_path: Path) -> None:
    from coveport.sidecar.config import platform as config

    path = tmp_path / "config.json"
    path.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:1",
                "discovery": "127.0.0.1:2",
                "settings": {
                    "classes": [{"name": "a", "aim_ms": 1, "deadline_ms": 2, "semantics": "idempotent"}]
                },
            }
        )
    )
    environ = {"LB_CONFIG": str(path), "LB_DISCOVERY": "127.0.0.1:3"}
    assert config.load(environ).discovery == ("127.0.0.1", 3)
    assert config.load(environ, is_reload=True).discovery == ("127.0.0.1", 2)
