"""What the sidecar is told, checked before anything starts."""
