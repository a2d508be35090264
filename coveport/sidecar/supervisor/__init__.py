"""Supervises the instances of one host: starts, drains, replaces and restarts their processes.

`daemon` is the supervisor's process, `supervisor` its loop; `instance_agent` runs in each instance.
"""
