"""Endpoints: the processes behind destination numbers."""

from __future__ import annotations

from coveport.net.address import Address

EndpointAddress = tuple[Address, float]
"""A destination's address and the start time of its process (Unix ms; 0: unknown, long ago).

The start time distinguishes a new process from an earlier one at the same address.
"""
