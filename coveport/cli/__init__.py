"""The command line of the sidecar and its testbed."""
