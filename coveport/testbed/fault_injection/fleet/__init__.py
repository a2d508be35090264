"""Trials of a supervised fleet: the shipped supervisor over simulated processes, all of which fail."""
