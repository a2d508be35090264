"""Leases: proxies are members while they renew, and their quota stays reserved for a while after."""

from __future__ import annotations

from coveport.serving.membership.leases import LEASE_DURATION_S, QUOTA_RETENTION_S, LeaseTable, ProxyLease


def lease(
    number: int,
    zone: str = "z1",
    region: str = "r1",
    ready: bool = True,
    renewal: int = 1,
    incarnation: int = 1,
) -> ProxyLease:
    return ProxyLease(f"p{number}", f"10.0.0.{number}:80", zone, region, ready, renewal, incarnation)


def test_a_proxy_is_looked_up_while_it_renews_and_no_longer() -> None:
    table = LeaseTable()
    table.renew(lease(1), 0.0, local=True)
    assert table.addresses_for("z1", "r1", 64, LEASE_DURATION_S) == ["10.0.0.1:80"]
    assert table.addresses_for("z1", "r1", 64, LEASE_DURATION_S + 0.1) == []


def test_the_quota_of_an_expired_proxy_stays_reserved_for_a_while() -> None:
    table = LeaseTable()
    table.renew(lease(1), 0.0, local=True)
    table.renew(lease(2), 20.0, local=True)
    table.expire(QUOTA_RETENTION_S - 1)
    assert table.max_proxies() == 2
    table.expire(QUOTA_RETENTION_S + 1)
    assert table.max_proxies() == 1


def test_a_delayed_renewal_does_not_undo_a_newer_one() -> None:
    table = LeaseTable()
    table.renew(lease(1, ready=False, renewal=5), 0.0, local=True)
    assert not table.renew(lease(1, ready=True, renewal=4), 0.1, local=False)
    assert table.addresses_for("z1", "r1", 64, 0.2) == []


def test_a_restarted_proxy_numbers_its_renewals_from_the_start() -> None:
    table = LeaseTable()
    table.renew(lease(1, renewal=500, ready=False, incarnation=1), 0.0, local=True)
    assert table.renew(lease(1, renewal=1, incarnation=2), 0.1, local=True)
    assert table.addresses_for("z1", "r1", 64, 0.2) == ["10.0.0.1:80"]


def test_clients_get_the_nearest_locality_with_a_ready_proxy() -> None:
    table = LeaseTable()
    table.renew(lease(1, "z1", "r1", ready=False), 0.0, local=True)
    table.renew(lease(2, "z2", "r1"), 0.0, local=True)
    table.renew(lease(3, "z3", "r2"), 0.0, local=True)
    assert table.addresses_for("z1", "r1", 64, 0.1) == ["10.0.0.2:80"]
    assert table.addresses_for("z3", "r2", 64, 0.1) == ["10.0.0.3:80"]
    assert table.addresses_for("z9", "r9", 64, 0.1) == ["10.0.0.2:80", "10.0.0.3:80"]


def test_only_leases_renewed_locally_are_forwarded() -> None:
    table = LeaseTable()
    table.renew(lease(1), 1.0, local=True)
    table.renew(lease(2), 1.0, local=False)
    assert [renewed.name for renewed in table.renewed_locally_since(0.5)] == ["p1"]
    assert list(table.renewed_locally_since(1.0)) == []


def test_a_broken_connection_releases_the_lease_until_the_next_renewal() -> None:
    table = LeaseTable()
    table.renew(lease(1, renewal=4), 0.0, local=True)
    table.release(lease(1, renewal=4))
    assert table.addresses_for("z1", "r1", 64, 0.1) == []
    assert table.max_proxies() == 1
    table.renew(lease(1, renewal=5), 0.2, local=True)
    assert table.addresses_for("z1", "r1", 64, 0.3) == ["10.0.0.1:80"]


def test_a_connection_that_breaks_after_a_renewal_elsewhere_releases_nothing() -> None:
    table = LeaseTable()
    table.renew(lease(1, renewal=4), 0.0, local=True)
    table.renew(lease(1, renewal=5), 0.1, local=False)
    table.release(lease(1, renewal=4))
    assert table.addresses_for("z1", "r1", 64, 0.2) == ["10.0.0.1:80"]


def test_a_proxy_restarted_after_its_clock_stepped_back_is_a_member_at_once_where_it_renews() -> None:
    """Regression: its renewals were ignored for 30 s, and no client was sent to it."""
    table = LeaseTable()
    table.renew(lease(1, renewal=500, incarnation=2_000), 0.0, local=True)
    assert table.renew(lease(1, renewal=1, incarnation=1_000, ready=False), 0.4, local=True)
    assert table.addresses_for("z1", "r1", 64, 0.5) == []


def test_a_proxy_whose_clock_stepped_back_is_a_member_elsewhere_after_its_previous_lease_expired() -> None:
    table = LeaseTable()
    table.renew(lease(1, renewal=500, incarnation=2_000), 0.0, local=False)
    assert not table.renew(lease(1, renewal=1, incarnation=1_000, ready=False), LEASE_DURATION_S, local=False)
    assert table.renew(
        lease(1, renewal=9, incarnation=1_000, ready=False), LEASE_DURATION_S + 0.1, local=False
    )
    assert table.addresses_for("z1", "r1", 64, LEASE_DURATION_S + 0.2) == []
    assert not table.renew(lease(1, renewal=8, incarnation=1_000), LEASE_DURATION_S + 0.3, local=False)
