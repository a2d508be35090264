"""Stand-ins for the parties around a sidecar, each written once against `ground.Host`."""
