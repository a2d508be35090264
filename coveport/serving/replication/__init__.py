"""Views, epochs, promises and fences: how acknowledged control state outlives machines. Pure; no I/O.

`replica.Replica` is the whole of it for a caller; docs/design/replication.md states the invariants.
"""
