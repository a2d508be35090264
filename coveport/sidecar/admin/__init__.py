"""The second address, for staff: one line in, one answer out."""
