"""What only one instance does at a time: each duty a pure half that decides, over leases."""
