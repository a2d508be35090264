"""Opens the store that an operator's file names; each kind imports what it needs only then."""

from __future__ import annotations

from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.leases.store import Store


def open_store(told: OperatorFile) -> Store:
    """The store; StoreError where it can't be used at all."""
    if told.sqlite is not None:
        from coveport.sidecar.leases.sqlite import SqliteStore

        return SqliteStore(told.sqlite)
    from coveport.sidecar.leases.etcd import EtcdStore

    # All endpoints together must have answered, or not, before the holder gives a call up.
    return EtcdStore(told.endpoints, told.terms.ttl_s / 3 / (len(told.endpoints) + 1))


def open_record_store(told: OperatorFile, call_s: float) -> Store:
    """Where records of work in hand stand: a file of their own beside the leases', or the same engine."""
    if told.sqlite is not None:
        from coveport.sidecar.leases.sqlite import SqliteStore

        return SqliteStore(told.sqlite.with_name(told.sqlite.name + "-work"), lock_s=call_s, watched=False)
    from coveport.sidecar.leases.etcd import EtcdStore

    return EtcdStore(told.endpoints, call_s)
