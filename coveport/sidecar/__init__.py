"""One instance, wired."""
