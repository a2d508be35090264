"""Connections to ledger nodes."""
