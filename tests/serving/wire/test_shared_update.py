"""Updates that are encoded once for many proxies."""

from __future__ import annotations

from dataclasses import replace

import pytest

from coveport.serving.wire.frames import write_frame
from coveport.serving.wire.messages import CODEC, CoordinatorEndpoint, StateChange, Update
from coveport.serving.wire.shared_update import SharedUpdate

UPDATE = Update(
    request_number=77,
    has_quorum=True,
    knows_all_nodes=False,
    table_id="t",
    node_revision=3,
    is_full_table=True,
    nodes=(),
    deregistered=(),
    removed=("i-1",),
    state_sequence=5,
    state=None,
    changes=(StateChange(5, b"change"),),
    coordinators=(CoordinatorEndpoint("127.0.0.1:7300", "a", "north"),),
    max_proxies=340,
)


@pytest.mark.parametrize("request_number", [0, 1, 63, 64, 100_000, 2**40])
def test_a_shared_update_has_the_bytes_of_an_update_encoded_for_its_request(request_number: int) -> None:
    for proxy_count in (0, 1, 340, 10_000):
        complete = replace(UPDATE, request_number=request_number, max_proxies=proxy_count)
        assert SharedUpdate(UPDATE).frame(request_number, proxy_count) == write_frame(CODEC.encode(complete))
