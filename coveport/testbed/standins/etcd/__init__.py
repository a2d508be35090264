"""A stand-in of the engine that holds leases for many hosts: its published API, and its faults."""
