"""Replication of the acknowledged control state: views, epochs, promises, leader election, catch-up. No I/O.

`replica.Replica` is the entry point: it turns events (`events.py`) into effects. The protocol is Viewstamped
Replication. As in Vertical Paxos, a majority of the members accepts each view; as in PacificA, all replicas
of the view sync each write. docs/design/replication.md states the invariants.
"""
