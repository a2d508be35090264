"""Leases: stores that grant them, and what one instance believes of its session and its roles.

`store` is what every store can do; `sqlite` (one host) and `etcd` (many hosts) do it, `open_store` picks one.
`lease_state` decides, without I/O; `lease_client` carries out what it decides.
"""
