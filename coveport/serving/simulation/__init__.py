"""Emulated model servers, clients and operators, and judged days with the real programs."""
