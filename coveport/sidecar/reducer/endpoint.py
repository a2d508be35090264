"""Endpoints: the processes behind destination numbers."""

from __future__ import annotations

from coveport.net.address import Address

EndpointAddress = tuple[Address, float]
"""Where a destination listens, and when its process started (Unix ms; 0: unknown, long ago).

The start time tells a new process from the one that listened at the same address before.
"""
