"""Finds by machine: schedules of faults that nobody drew, what they break, and the smallest that do."""
