"""Trials of a supervised fleet: the shipped supervisor over simulated processes, with injected faults."""
