"""The control socket, with real connections."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

import pytest

from coveport.sidecar.supervisor.control import ControlServer, call

TIMEOUT_S = 30.0


def test_control_socket_is_private_to_its_user_and_refuses_malformed_requests(tmp_path: Path) -> None:
    async def run_scenario() -> None:
        async def handle(request: dict[str, Any]) -> dict[str, Any]:
            return {"ok": True, "said": request["do"]}

        path = tmp_path / "c.sock"
        control = ControlServer(path, handle)
        await control.open()
        assert path.stat().st_mode & 0o777 == 0o600
        assert await asyncio.to_thread(call, path, {"do": "status"}, TIMEOUT_S) == {
            "ok": True,
            "said": "status",
        }

        def send_raw(data: bytes) -> bytes:
            with socket.socket(socket.AF_UNIX) as connection:
                connection.connect(str(path))
                connection.sendall(data)
                connection.shutdown(socket.SHUT_WR)
                return connection.recv(4096)

        for malformed in (b"\n", b"{\n", b"[]\n"):
            assert json.loads(await asyncio.to_thread(send_raw, malformed))["ok"] is False
        assert await asyncio.to_thread(send_raw, b"x" * 70000) == b"", (
            "a line without an end closes the connection"
        )
        control.close()
        with pytest.raises(FileNotFoundError):
            await asyncio.to_thread(call, path, {"do": "status"}, 1.0)

    asyncio.run(run_scenario())
