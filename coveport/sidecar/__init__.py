"""The sidecar of a shared points ledger: one instance, wired, and the parts that it is made of."""
