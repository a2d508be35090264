"""The labels of the message classes in output for operators, such as the counts of `status`.

Labels are part of that output: they stay when a class is renamed.
"""

from __future__ import annotations

from typing import Final

from coveport.serving.replication import messages as replication
from coveport.serving.wire import messages

MESSAGE_LABELS: Final[dict[type, str]] = {
    messages.Hello: "Hello",
    messages.NodeReports: "NodeReports",
    messages.NodeReportsAck: "NodeReportsTaken",
    messages.TableRequest: "TableRequest",
    messages.LeasesRenewed: "LeasesRenewed",
    messages.UpdateRequest: "UpdateRequest",
    messages.Update: "Update",
    messages.Unsubscribe: "AsksElsewhere",
    messages.VersionRejected: "VersionRejected",
    messages.TelemetryShared: "TelemetryShared",
    replication.Ping: "Ping",
    replication.Prepare: "Prepare",
    replication.Promise: "Promise",
    replication.Fenced: "Fenced",
    replication.Fetch: "Fetch",
    replication.Fetched: "Fetched",
    replication.Install: "Install",
    replication.Installed: "Installed",
    replication.Accept: "Accept",
    replication.Accepted: "Accepted",
    replication.ViewActivated: "Settled",
    replication.Append: "Append",
    replication.Appended: "Appended",
    replication.Confirm: "Confirm",
    replication.Confirmed: "Confirmed",
    replication.Committed: "Committed",
    replication.CatchUpCommands: "Learn",
    replication.CatchUpSnapshot: "LearnState",
    replication.TransferLeadership: "TakeOver",
}
