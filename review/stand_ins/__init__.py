"""Stand-ins for the platform, the operator, servers and clients, and the real programs as processes."""
