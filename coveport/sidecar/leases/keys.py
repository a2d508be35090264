"""Prefixes of the store's keys for instances, roles, and the state of roles."""

from __future__ import annotations

INSTANCE_PREFIX = "instance/"  # + instance name; the value is its status, bound to its session
ROLE_PREFIX = "duty/"  # + role name; the value names its holder, bound to the holder's session
STATE_PREFIX = "state/"  # + role name; the state that a successor continues from, bound to no session
