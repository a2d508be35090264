"""The coordinator: keeps the configuration, knows nodes and proxies, tells proxies what is in force."""
