"""Replication of the acknowledged control state: views, epochs, promises, leader election, catch-up. No I/O.

`replica.Replica` is the entry point: it turns events (`events.py`) into effects. The protocol is Viewstamped
Replication's, with views that a majority of the members accepts as in Vertical Paxos, and writes that all
replicas of the view sync as in PacificA. docs/design/replication.md states the invariants.
"""
