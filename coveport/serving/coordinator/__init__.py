"""The coordinator: stores the configuration, tracks nodes and proxies, and sends updates to the proxies."""
