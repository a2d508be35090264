"""The admin protocol on the sidecar's second address: an operator sends commands, one per line."""
