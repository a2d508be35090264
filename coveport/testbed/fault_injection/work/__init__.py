"""Trials of work in hand on simulated ground: instances that are lost, and what becomes of what they held."""
