"""Measurements of the lab itself; see README.md for what each one measures and the figures it gave last."""
