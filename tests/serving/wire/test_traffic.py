from __future__ import annotations

from coveport.serving.wire.messages import Hello, TableRequest
from coveport.serving.wire.traffic import Traffic


def test_counts_messages_and_bytes_by_kind_and_direction() -> None:
    traffic = Traffic()
    traffic.note_sent(Hello, 40)
    traffic.note_sent(Hello, 42)
    traffic.note_received(TableRequest, 13)
    assert traffic.describe() == {"sent": {"Hello": [2, 82]}, "received": {"TableRequest": [1, 13]}}
