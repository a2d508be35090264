"""The number of instances that share the nodes, counted by observed sessions."""

from __future__ import annotations

import random

from coveport.sidecar.supervisor.peer_count import PeerCount


def test_peer_count_rises_at_once_and_falls_after_the_retention_time() -> None:
    peers = PeerCount(3.0, minimum=2)
    assert peers.count(0.0) == 2 and peers.observe(0.0, 1) == 2
    assert peers.observe(1.0, 5) == 5 and peers.observe(2.0, 4) == 5
    assert peers.count(4.9) == 5 and peers.count(5.0) == 4


def test_peer_count_is_the_maximum_within_the_retention_time() -> None:
    for seed in range(50):
        rng = random.Random(seed)
        peers = PeerCount(3.0)
        observed: list[tuple[float, int]] = []
        now = 0.0
        for _ in range(200):
            now += rng.uniform(0.0, 1.0)
            observed.append((now, rng.randint(1, 9)))
            count_in_use = peers.observe(*observed[-1])
            ends = [at for at, _ in observed[1:]] + [now + 1]
            retained = [count for (_, count), end in zip(observed, ends, strict=True) if end > now - 3.0]
            assert count_in_use == max(retained)
