"""Versions of the messages between this system's own processes; two neighbouring versions work side by side.

Every frame that this program writes can be read by each program since `FRAME_VERSION`. What a later version
adds to a message stands behind its older fields, each declared with `added_in`: a reader that doesn't know a
field ignores the bytes behind those that it knows, and a reader that gets none takes the default. A process
announces its own version in its first message on a connection (`Hello`, `UpdateRequest`), and a class of
message that is new is sent only to peers whose announcement covers it.

So coordinators and proxies may be upgraded one after the other, in any order, and back. Weighed and not
taken: see docs/design/upgrades.md.
"""

from __future__ import annotations

import dataclasses
from typing import Any, Final

FRAME_VERSION: Final = 3  # in the header of each frame; a program with another one can't read our messages
UNANNOUNCED_VERSION: Final = 3  # of a peer that announces none: the last program before announcements
# 4: announcements, complete node tables marked as such, refusals by version; 5: duties and telemetry
PROTOCOL_VERSION: Final = 5
DUTIES_VERSION: Final = 5  # older coordinators can't read the commands of the duties
TELEMETRY_VERSION: Final = 5  # since which peers read `TelemetryShared`

_ADDED_IN: Final = "added_in"


def added_in(version: int, default: Any) -> Any:
    """Return a dataclass field that older versions neither write nor read; it must stand behind their fields.

    `default`: its value in messages of older versions.
    """
    return dataclasses.field(default=default, metadata={_ADDED_IN: version})


def is_added(field: dataclasses.Field[Any]) -> bool:
    """Return whether a field was declared with `added_in`."""
    return _ADDED_IN in field.metadata
