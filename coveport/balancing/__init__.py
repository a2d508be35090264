"""The decisions of a client-side load balancer, free of I/O."""

from coveport.balancing.balancer import Balancer

__all__ = ["Balancer"]
