"""Write-ahead log of operations: a successor finishes what a lost instance had accepted, once."""
