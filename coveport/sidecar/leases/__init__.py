"""Leases: the stores that grant them, and the state of one instance's session and singleton roles.

`store` is the interface of all stores; `sqlite` (one host) and `etcd` (many hosts) implement it, and
`open_store` selects one. `lease_state` makes the decisions without I/O; `lease_client` carries them out.
"""
