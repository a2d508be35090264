"""Versions of the messages between this system's own processes; two neighbouring versions are compatible.

Every frame that this program writes can be read by each program since `FRAME_VERSION`. A later version adds
fields at the end of a message, each declared with `added_in`: a reader of an older version ignores the bytes
behind the fields that it has, and a reader of a newer version uses the default of a missing field. A process
announces its own version in its first message on a connection (`Hello`, `UpdateRequest`), and a new class of
message is sent only to peers whose announced version includes it.

Coordinators and proxies can therefore be upgraded one after the other, in any order, and downgraded again.
For rejected alternatives see docs/design/upgrades.md.
"""

from __future__ import annotations

import dataclasses
from typing import Any, Final

FRAME_VERSION: Final = 3  # version in each frame's header; other versions can't read the frame
UNANNOUNCED_VERSION: Final = 3  # version of a peer that announces none: the last version before announcements
# Version 4 added announcements, marks of complete node tables, and version rejections; version 5 added duties
# and telemetry.
PROTOCOL_VERSION: Final = 5
DUTIES_VERSION: Final = 5  # older coordinators can't read the commands of the duties
TELEMETRY_VERSION: Final = 5  # older peers can't read `TelemetryShared`

_ADDED_IN: Final = "added_in"


def added_in(version: int, default: Any) -> Any:
    """Return a dataclass field that older versions neither write nor read; it follows all of their fields.

    `default`: the value of the field in messages of older versions.
    """
    return dataclasses.field(default=default, metadata={_ADDED_IN: version})


def is_added(field: dataclasses.Field[Any]) -> bool:
    """Return whether a field was declared with `added_in`."""
    return _ADDED_IN in field.metadata
