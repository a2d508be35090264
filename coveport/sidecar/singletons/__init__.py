"""Singleton roles: work that only one instance at a time does, as the holder of a lease.

`singleton_runner` runs a role under its fencing token. Each role does no I/O and has a separate module:
`rollout`, `slow_start_coordinator` and `drill`. `health_checking` has no holder: all instances share the
checks.
"""
