"""HTTP/1.1 as pure bytes, for the sidecar and the serving system alike."""
