"""A small HTTP/1.1 server for the system's own API, over the shared codec."""
