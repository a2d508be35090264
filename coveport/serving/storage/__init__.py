"""Durable storage of a coordinator: a ring of preallocated files that survives torn writes."""
