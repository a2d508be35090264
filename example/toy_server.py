"""Three toy ledger nodes and a discovery on loopback, to try coveport by hand. They keep no balance.

python example/toy_server.py [PORT]     discovery's port, 8500 unless named (0: any)
"""

from __future__ import annotations

import json
import random
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit


class Handler(BaseHTTPRequestHandler):
    """What both kinds of toy answer with."""

    protocol_version = "HTTP/1.1"

    def say(self, body: bytes, status: int = 200) -> None:
        """Answer."""
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        """Say which destination got what."""
        print(f"{self.headers.get('Host')}: {format % args}", file=sys.stderr, flush=True)


class LedgerNode(Handler):
    """Serves any operation after a short while."""

    def do_POST(self) -> None:
        """An operation (or a probe)."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path != "/ping":
            time.sleep(random.uniform(0.02, 0.1))
        told = {"path": self.path, "id": self.headers.get("X-Request-Id"), "bytes": len(body)}
        self.say(json.dumps(told).encode() + b"\n")

    do_GET = do_POST  # noqa: N815


class Discovery(Handler):
    """Tells the list; a watch waits, as nothing ever changes here."""

    hosts: tuple[dict[str, Any], ...] = ()

    def do_GET(self) -> None:
        """The list, or a watch."""
        query = parse_qs(urlsplit(self.path).query)
        changed = query.get("after") != ["1"]
        if not changed:
            time.sleep(int(query.get("wait_ms", ["0"])[0]) / 1000)
        told = {"seq": 1, "whole": changed, "hosts": self.hosts if changed else ()}
        self.say(json.dumps(told).encode())


def main() -> None:
    """Start all and serve until interrupted."""
    hosts = []
    for number in range(3):
        node = ThreadingHTTPServer(("127.0.0.1", 0), LedgerNode)
        threading.Thread(target=node.serve_forever, daemon=True).start()
        hosts.append(
            {
                "host": f"s-{number}",
                "dial": f"127.0.0.1:{node.server_address[1]}",
                "site": "bilbao",
                "class": "toy",
                "block": 0,
                "health": "active",
                "share": 1.0,
                "born_ms": 0,
            }
        )
    Discovery.hosts = tuple(hosts)
    discovery = ThreadingHTTPServer(("127.0.0.1", int(sys.argv[1]) if sys.argv[1:] else 8500), Discovery)
    print(f"discovery at 127.0.0.1:{discovery.server_address[1]}", flush=True)
    discovery.serve_forever()


if __name__ == "__main__":
    main()
