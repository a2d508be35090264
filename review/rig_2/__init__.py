"""Small deployments of the real programs on loopback, and stand-ins, for the cases 4 to 8 of the review."""
