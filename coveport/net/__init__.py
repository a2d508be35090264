"""The seam to the outside: clock and sockets."""
