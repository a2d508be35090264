"""A scale run on one machine: a real core, hollow proxies and nodes, faults among them, and slopes."""
