"""Clients' connections: operations in, one final answer each out."""
