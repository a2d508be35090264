"""The endpoint list: discovery's protocol, and reading what it answers."""
