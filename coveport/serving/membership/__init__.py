"""Membership: nodes by their heartbeats, proxies by their leases. No I/O."""
