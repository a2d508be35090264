"""Opens the store that the operator's file configures; imports only the module of that kind of store."""

from __future__ import annotations

from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.leases.store import Store


def open_store(operator_file: OperatorFile) -> Store:
    """Return the lease store; raise StoreError if the store can't be used."""
    if operator_file.sqlite is not None:
        from coveport.sidecar.leases.sqlite import SqliteStore

        return SqliteStore(operator_file.sqlite)
    from coveport.sidecar.leases.etcd import EtcdStore

    # The client's time-out is a third of the time to live. All endpoints must be tried within this time-out.
    endpoints = operator_file.endpoints
    return EtcdStore(endpoints, operator_file.terms.ttl_s / 3 / (len(endpoints) + 1))


def open_record_store(operator_file: OperatorFile, call_timeout_s: float) -> Store:
    """Return the store of operation records: a file next to the lease store's, or the same etcd cluster."""
    if operator_file.sqlite is not None:
        from coveport.sidecar.leases.sqlite import SqliteStore

        path = operator_file.sqlite.with_name(operator_file.sqlite.name + "-work")
        return SqliteStore(path, lock_timeout_s=call_timeout_s, watched=False)
    from coveport.sidecar.leases.etcd import EtcdStore

    return EtcdStore(operator_file.endpoints, call_timeout_s)
