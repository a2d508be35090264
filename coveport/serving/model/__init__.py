"""The types that all parts of the system share: configuration, nodes, a proxy's view, findings. No I/O."""
