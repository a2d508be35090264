"""One value, or a few, of every message between coordinators and proxies, and of every stored record.

The names of the cases are words of their own: they stand in the golden files and outlive the classes' names.
"""

from __future__ import annotations

from coveport.serving.membership.leases import ProxyLease
from coveport.serving.model.node import Node, NodeState, deregistration
from coveport.serving.model.telemetry import ProxyTelemetry, ServiceLoad, TenantCount, WindowCounts
from coveport.serving.replication import messages as core
from coveport.serving.replication import records
from coveport.serving.replication.identity import NO_EPOCH, Epoch, Locality, MemberId, View
from coveport.serving.wire import messages as wire

FIRST = MemberId("10.0.0.1:7000", "aa01")
SECOND = MemberId("10.0.0.2:7000", "bb02")
THIRD = MemberId("10.0.0.3:7000", "cc03")
EPOCH = Epoch(3, "aa01")
LATER_EPOCH = Epoch(300, "bb02")
VIEW = View(EPOCH, FIRST, (FIRST, SECOND), (FIRST, SECOND, THIRD))
CHANGED_VIEW = View(LATER_EPOCH, SECOND, (SECOND, THIRD), (SECOND, THIRD), (FIRST, SECOND, THIRD))

ACCEPTING_NODE = Node(
    "node-1-life-1", 17, "model", "10.1.0.1:8000", "north-a", "north", 64, NodeState.ACCEPTING, 1500.5
)
CLOSING_NODE = Node(
    "node-2-life-9",
    1 << 40,
    "modèle",
    "10.1.0.2:8000",
    "south-a",
    "south",
    8,
    NodeState.DRAINING,
    0.0,
    30000.0,
)
LEASE = ProxyLease("proxy-1", "10.2.0.1:80", "north-a", "north", True, 12, 1_700_000_000_123)
UNREADY_LEASE = ProxyLease("proxy-2", "10.2.0.2:80", "south-a", "south", False, 0, 1)
TELEMETRY = ProxyTelemetry(
    "proxy-1",
    1_700_000_000_123,
    7,
    353_445_121,
    (
        WindowCounts(353_445_120, (TenantCount("first tenant", 412), TenantCount("größe", 1))),
        WindowCounts(353_445_121, (TenantCount("first tenant", 1 << 20),)),
    ),
    (ServiceLoad("model", "north-a", 12, 3, 98_765),),
)
IDLE_TELEMETRY = ProxyTelemetry("proxy-2", 1, 1, 353_445_121)


def _update(**changed: object) -> wire.Update:
    fields: dict[str, object] = {
        "request_number": 5,
        "has_quorum": True,
        "knows_all_nodes": False,
        "table_id": "table-1",
        "node_revision": 44,
        "is_full_table": True,
        "nodes": (ACCEPTING_NODE, CLOSING_NODE),
        "removed": ("node-3-life-1",),
        "deregistered": ("node-4-life-2", "node-5-life-1"),
        "state_sequence": 9,
        "state": b"\x00whole state\xff",
        "changes": (),
        "coordinators": (wire.CoordinatorEndpoint("10.0.0.1:7000", "north-a", "north"),),
        "max_proxies": 600,
    }
    return wire.Update(**(fields | changed))  # type: ignore[arg-type]


UPDATE = _update()
UPDATE_OF_CHANGES = _update(
    state=None,
    is_full_table=False,
    nodes=(),
    changes=(wire.StateChange(10, b"command ten"), wire.StateChange(11, b"")),
)

MESSAGES: dict[str, object] = {
    "hello": wire.Hello("10.0.0.1:7000", "aa01"),
    "node reports": wire.NodeReports(
        7, (ACCEPTING_NODE, CLOSING_NODE, deregistration("node-3-life-1", 2500.0))
    ),
    "no node reports": wire.NodeReports(0, ()),
    "node reports taken": wire.NodeReportsAck(7, EPOCH),
    "table request": wire.TableRequest(),
    "leases renewed": wire.LeasesRenewed((LEASE, UNREADY_LEASE)),
    "update request": wire.UpdateRequest(LEASE, "table-1", 44, 9, 5, ("node-4-life-2",)),
    "first update request": wire.UpdateRequest(UNREADY_LEASE, "", 0, -1, 1),
    "update with the whole state": UPDATE,
    "update with changes": UPDATE_OF_CHANGES,
    "asks elsewhere": wire.Unsubscribe(),
    "version rejected": wire.VersionRejected(3),
    "announced hello": wire.Hello("10.0.0.1:7000", "aa01", 4),
    "complete table": wire.NodeReports(0, (ACCEPTING_NODE,), True),
    "announced update request": wire.UpdateRequest(LEASE, "table-1", 44, 9, 5, (), 4),
    "update request with telemetry": wire.UpdateRequest(LEASE, "table-1", 44, 9, 5, (), 5, TELEMETRY),
    "telemetry shared": wire.TelemetryShared((TELEMETRY, IDLE_TELEMETRY)),
    "no telemetry shared": wire.TelemetryShared(()),
    "ping": core.Ping(
        counter=1000,
        echo=999,
        locality=Locality("north-a", "north"),
        promised=LATER_EPOCH,
        view_epoch=EPOCH,
        active_epoch=EPOCH,
        committed=41,
        primary="10.0.0.1:7000",
        is_leading=True,
        is_healthy=False,
        is_shutting_down=True,
        may_bootstrap=False,
        reaches=("10.0.0.2:7000", "10.0.0.3:7000"),
    ),
    "first ping": core.Ping(
        counter=1,
        echo=0,
        locality=Locality("", ""),
        promised=NO_EPOCH,
        view_epoch=NO_EPOCH,
        active_epoch=NO_EPOCH,
        committed=-1,
        primary="",
        is_leading=False,
        is_healthy=True,
        is_shutting_down=False,
        may_bootstrap=True,
        reaches=(),
    ),
    "prepare": core.Prepare(LATER_EPOCH),
    "promise with a view": core.Promise(LATER_EPOCH, VIEW, EPOCH, EPOCH, 41),
    "promise without a view": core.Promise(LATER_EPOCH, None, NO_EPOCH, NO_EPOCH, -1),
    "fenced": core.Fenced(EPOCH, LATER_EPOCH),
    "fetch": core.Fetch(LATER_EPOCH),
    "fetched": core.Fetched(LATER_EPOCH, 41, b"the state"),
    "install": core.Install(LATER_EPOCH, 41, b"the state"),
    "installed": core.Installed(LATER_EPOCH),
    "accept the first view": core.Accept(VIEW, True),
    "accept a changed view": core.Accept(CHANGED_VIEW, False),
    "accepted": core.Accepted(LATER_EPOCH),
    "settled": core.ViewActivated(LATER_EPOCH),
    "append": core.Append(LATER_EPOCH, 42, b"command 42", 41),
    "appended": core.Appended(LATER_EPOCH, 42),
    "confirm": core.Confirm(LATER_EPOCH, 8),
    "confirmed": core.Confirmed(LATER_EPOCH, 8),
    "committed": core.Committed(LATER_EPOCH, 42),
    "learn": core.CatchUpCommands(42, (b"command 42", b"", b"command 44")),
    "learn the state": core.CatchUpSnapshot(42, b"the state"),
    "take over": core.TransferLeadership(LATER_EPOCH),
}

RECORDS: dict[str, records.Record] = {
    "identity": records.IdentityRecord("aa01", True),
    "promise": records.PromisedEpochRecord(EPOCH),
    "view": records.ViewRecord(CHANGED_VIEW),
    "settled": records.ActiveEpochRecord(EPOCH),
    "state": records.StateRecord(EPOCH, 41, b"the state"),
    "command": records.CommandRecord(EPOCH, 42, b"command 42"),
}
