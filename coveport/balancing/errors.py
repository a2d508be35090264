"""Errors of the decision module."""


class BalancingError(Exception):
    """Base of the errors of this package."""


class WireError(BalancingError):
    """The peer sent something that is not the simulator's protocol."""
