"""Singleton roles: work that one instance at a time does, as the holder of a lease.

`singleton_runner` runs a role under its fencing token. Each role is pure and has a module of its own:
`rollout`, `slow_start_coordinator` and `drill`. `health_checking` has no holder: all share the checks.
"""
