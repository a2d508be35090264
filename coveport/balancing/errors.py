"""Errors of the load balancer."""


class BalancingError(Exception):
    """Base class of the errors of this package."""


class WireError(BalancingError):
    """Input that does not follow the simulator's protocol."""
