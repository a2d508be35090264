"""The endpoint list merged from discovery's reports, in discovery's format. Pure."""

from __future__ import annotations

from typing import Any

LEFT = "left"  # health value of a removed host


class EndpointTable:
    """Endpoints by host. `is_changed`: whether a list or update was applied since the last reset."""

    def __init__(self) -> None:
        self.version = 0
        self.hosts: dict[str, dict[str, Any]] = {}
        self.is_changed = False

    def apply(self, update: Any, is_complete: bool) -> None:
        """Apply a list or an update that was read without an error."""
        if is_complete:
            self.hosts = {}
        for host in update["hosts"]:
            if host.get("health") == LEFT:
                self.hosts.pop(host["host"], None)
            else:
                self.hosts[host["host"]] = dict(host)
        self.version = update["seq"]
        self.is_changed = True
