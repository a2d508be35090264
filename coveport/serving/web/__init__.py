"""A small HTTP/1.1 server for the system's own calls, over the shared codec."""
