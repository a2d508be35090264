"""The command line of the serving system."""
