"""The sidecar's configuration: the platform's file and the operator's, checked before anything starts."""
