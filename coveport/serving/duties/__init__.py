"""Singleton duties: calls to the platform that one coordinator makes at a time, with a fence. No I/O."""
