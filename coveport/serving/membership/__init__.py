"""Who is there: nodes by their heartbeats, proxies by their leases. Pure."""
