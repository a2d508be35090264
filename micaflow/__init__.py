"""micaflow: the decisions of a client-side load balancer, free of I/O."""

from micaflow.decide import Balancer

__all__ = ["Balancer"]
