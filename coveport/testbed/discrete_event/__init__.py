"""Bare ground: reducer and module alone, without sockets, bytes or a loop, for fleets of hundreds."""
