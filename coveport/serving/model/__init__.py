"""What the system knows, typed: configuration, nodes, places. No I/O."""
