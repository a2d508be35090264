"""Counts of messages by kind."""

from __future__ import annotations

from coveport.serving.wire.message_labels import MESSAGE_LABELS
from coveport.serving.wire.messages import MESSAGES, Hello, TableRequest
from coveport.serving.wire.traffic import Traffic


def test_messages_and_bytes_are_counted_by_kind_and_direction() -> None:
    traffic = Traffic()
    traffic.record_sent(Hello, 40)
    traffic.record_sent(Hello, 42)
    traffic.record_received(TableRequest, 13)
    assert traffic.describe() == {"sent": {"Hello": [2, 82]}, "received": {"TableRequest": [1, 13]}}


def test_labels_of_all_kinds_stay_as_they_are_in_the_order_of_their_numbers() -> None:
    labels = """
        Hello NodeReports NodeReportsTaken TableRequest LeasesRenewed UpdateRequest Update AsksElsewhere
        Ping Prepare Promise Fenced Fetch Fetched Install Installed Accept Accepted Settled Append Appended
        Confirm Confirmed Committed Learn LearnState TakeOver VersionRejected TelemetryShared
    """
    assert [MESSAGE_LABELS[kind] for kind in MESSAGES] == labels.split()
    assert len(MESSAGE_LABELS) == len(MESSAGES)
