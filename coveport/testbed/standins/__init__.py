"""Stand-ins: ledger nodes, discovery and tills, written once for both grounds."""
