"""SIGHUP: the configuration is read again and discovery moves, without an effect on open operations."""

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
    with world(tmp_path, old.address) as sidecar, sidecar.connect() as conn:
        buffer = bytearray()
        conn.sendall(request("POST /redeem", X_Deadline="5000m"))
        wait_for(lambda: len(old.seen) == 1)
        new_discovery = Discovery(seq=0)  # a lower version: each discovery has its own version numbers
        new_discovery.put("s-new", new.address)
        sidecar.reload(discovery=new_discovery.server.address)
        wait_for(lambda: len(new_discovery.server.seen) > 1)
        assert (
            "after" not in new_discovery.server.seen[0].target
            and "after" in new_discovery.server.seen[1].target
        )
        sidecar.discovery.put("s-late", old.address)  # updates of the old discovery are ignored from now on
        wait_for(lambda: sidecar.discovery.server.ended > 0)
        assert receive(conn, buffer)[0] == 200  # its destination was removed meanwhile, its connection stays
        conn.sendall(request("POST /redeem"))
        assert receive(conn, buffer)[0] == 200 and len(new.seen) == 1
        assert sidecar.figures()["config_reloads"] == 1


def test_a_reload_keeps_the_old_discovery_until_the_new_one_answers(tmp_path: Path) -> None:
    nodes = [Server(served), Server(served)]
    with world(tmp_path, nodes[0].address) as sidecar:
        new_discovery = Discovery(answer=SILENT)
        sidecar.reload(discovery=f"127.0.0.1:{free_port()}")  # several in a row: the last one counts
        sidecar.reload(discovery=new_discovery.server.address)
        wait_for(lambda: len(new_discovery.server.seen) > 0)
        assert sidecar.ask("POST /redeem")[0] == 200  # the last list still applies
        del sidecar.discovery.hosts["s-0"]
        sidecar.discovery.put("s-1", nodes[1].address)
        wait_for(lambda: sidecar.ask("POST /redeem")[0] == 200 and len(nodes[1].seen) > 0)
        # A delta is no valid answer to the request for the full list.
        new_discovery.answer = reply(200, json.dumps({"seq": 9, "whole": False, "hosts": []}).encode())
        wait_for(lambda: "whole list was asked for" in sidecar.log.read_text())
        assert sidecar.ask("POST /redeem")[0] == 200
        new_discovery.put("s-0", nodes[0].address)
        new_discovery.answer = None
        before = len(nodes[0].seen)
        wait_for(lambda: sidecar.ask("POST /redeem")[0] == 200 and len(nodes[0].seen) > before)
        wait_for(lambda: sidecar.discovery.server.ended > 0)


def test_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar:
        good = sidecar.config.read_text()
        for bad in ("", good[: len(good) // 2], '{"discovery":"127.0.0.1:1"}'):
            sidecar.config.write_text(bad)
            before = sidecar.log.read_text().count("kept the old configuration")
            sidecar.process.send_signal(signal.SIGHUP)
            wait_for(lambda: sidecar.log.read_text().count("kept the old configuration") > before)  # noqa: B023
        replacement = Server(served)
        del sidecar.discovery.hosts["s-0"]
        sidecar.discovery.put("s-1", replacement.address)
        wait_for(lambda: sidecar.ask("POST /redeem")[0] == 200 and len(replacement.seen) > 0)
        assert sidecar.figures()["config_reload_errors"] == 3


def test_a_reload_in_subscribe_mode(tmp_path: Path) -> None:
    nodes = [Server(served), Server(served)]
    with world(tmp_path, nodes[0].address, told={"registry_mode": "subscribe"}) as sidecar:
        wait_for(lambda: sidecar.ask("GET /balance")[0] == 200 and len(sidecar.discovery.server.seen) > 0)
        new_discovery = Discovery()
        new_discovery.put("s-1", nodes[1].address)
        sidecar.reload(discovery=new_discovery.server.address)
        wait_for(lambda: sidecar.ask("POST /redeem")[0] == 200 and len(nodes[1].seen) > 0)
        new_discovery.put("s-0", nodes[0].address)  # the watch has moved to the new discovery
        new_discovery.put("s-1", nodes[1].address, "leaving")
        before = len(nodes[0].seen)
        wait_for(lambda: sidecar.ask("POST /redeem")[0] == 200 and len(nodes[0].seen) > before)


def test_a_reload_before_there_is_any_list(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, known=False, ready=False, answer=SILENT) as sidecar:
        assert sidecar.ask("GET /_health")[0] == 503
        new_discovery = Discovery()
        new_discovery.put("s-0", node.address)
        sidecar.reload(discovery=new_discovery.server.address)
        wait_for(lambda: sidecar.ask("GET /_health")[0] == 200)
        assert sidecar.ask("POST /redeem")[0] == 200


def test_a_reload_during_shutdown(tmp_path: Path) -> None:
    node = Server(served)
    with world(tmp_path, node.address) as sidecar, sidecar.connect() as conn:
        new_discovery = Discovery()
        new_discovery.put("s-0", node.address)
        conn.sendall(request("POST /redeem"))
        assert receive(conn)[0] == 200
        sidecar.process.send_signal(signal.SIGTERM)
        sidecar.reload(discovery=new_discovery.server.address)
        conn.sendall(request("POST /redeem"))
        assert receive(conn)[0] == 200 and sidecar.process.wait(10) == 0
        assert len(new_discovery.server.seen) > 0


def test_the_file_overrides_the_variable_only_after_a_reload(tmp_path: Path) -> None:
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
