"""coveport: a sidecar on real sockets around the decisions of `balancing`."""
