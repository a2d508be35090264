"""Lease client on simulated time: published values are deleted with the session."""

from __future__ import annotations

import random

from coveport.sidecar.config.lease_terms import LeaseTerms
from coveport.sidecar.leases.lease_client import LeaseClient
from coveport.sidecar.leases.states import SessionState
from coveport.testbed.fault_injection.simstore import Host, SimStore, Way
from coveport.testbed.simulated_network.world import Process, World


def test_values_published_as_the_session_ends_are_bound_to_a_lease_or_not_written() -> None:
    """A status written without a lease after the session expired would block the instance's name for ever."""
    world = World()
    host, process = Host(world), Process.start(world, "one")
    host.start()
    lease_client = LeaseClient(
        SimStore(process, host, Way(), random.Random(1)),
        name="s0",
        incarnation="s0#1",
        roles=("d",),
        terms=LeaseTerms(3.0, 0.2, 0.02),
        now_s=lambda: world.now,
        history=lambda event, **fields: None,
        rng=random.Random(1),
    )
    process.call_soon(lease_client.start)
    world.run(world.now + 2)
    assert lease_client.lease_state.session is SessionState.ACTIVE

    def publish_and_expire() -> None:
        lease_client.publish("look/n", b"seen")
        lease_client.publish_status(b'{"runs": "x"}')
        lease_client.lease_state._renewal_sent_at = -1e9  # as after a stall that outlasts the lease
        lease_client._handle_timer()
        assert lease_client.lease_state.session is SessionState.DISCONNECTED

    process.call_soon(publish_and_expire)
    world.run(world.now + 1)
    assert all(
        entry.lease for key, entry in host.engine.entries.items() if not key.startswith("coveport/state/")
    )
    world.run(world.now + 10)
    assert lease_client.lease_state.session is SessionState.ACTIVE
    assert host.engine.entries["coveport/instance/s0"].value == b'{"runs": "x"}'
