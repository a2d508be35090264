"""The real ground: sidecars as processes, stand-ins around them on loopback sockets."""

from coveport.testbed.loopback.orchestrator import GroundError, play, play_day

__all__ = ["GroundError", "play", "play_day"]
