"""What a state machine answers to a command, for those that need nothing else of the replication."""

from __future__ import annotations

from coveport.serving.replication.events import Applied, Refused

__all__ = ["Applied", "Refused"]
