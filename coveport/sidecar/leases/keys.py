"""Prefixes of the keys under which instances, roles and their state stand in the store."""

from __future__ import annotations

INSTANCE_PREFIX = "instance/"  # + instance name: its status, bound to its session
ROLE_PREFIX = "duty/"  # + role name: its holder, bound to the holder's session
STATE_PREFIX = "state/"  # + role name: what a successor goes on from, bound to no session
