"""Opens the store that an operator's file names; each kind imports what it needs only then."""

from __future__ import annotations

from coveport.sidecar.config.operator_file import OperatorFile
from coveport.sidecar.leases.store import Store


def open_store(operator_file: OperatorFile) -> Store:
    """Return the store of leases; StoreError if it can't be used at all."""
    if operator_file.sqlite is not None:
        from coveport.sidecar.leases.sqlite import SqliteStore

        return SqliteStore(operator_file.sqlite)
    from coveport.sidecar.leases.etcd import EtcdStore

    # All endpoints together must have answered or timed out before the client gives a call up, after a
    # third of the time to live.
    endpoints = operator_file.endpoints
    return EtcdStore(endpoints, operator_file.terms.ttl_s / 3 / (len(endpoints) + 1))


def open_record_store(operator_file: OperatorFile, call_timeout_s: float) -> Store:
    """Return the store of operations' records: a file beside that of the leases, or the same etcd."""
    if operator_file.sqlite is not None:
        from coveport.sidecar.leases.sqlite import SqliteStore

        path = operator_file.sqlite.with_name(operator_file.sqlite.name + "-work")
        return SqliteStore(path, lock_timeout_s=call_timeout_s, watched=False)
    from coveport.sidecar.leases.etcd import EtcdStore

    return EtcdStore(operator_file.endpoints, call_timeout_s)
