"""Views, epochs, promises and fences: how acknowledged control state outlives machines. Pure; no I/O.

`member.CoreMember` is the whole of it for a caller; docs/design/replication.md states the invariants.
"""
