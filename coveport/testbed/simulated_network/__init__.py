"""Simulated ground: the real program on loops of our own, with connections kept in memory."""
