"""Names of the log events of sessions and roles; `docs/duties.md` explains them for operators."""

from __future__ import annotations

SESSION_ESTABLISHED = "session_established"
SESSION_EXPIRING = "session_expiring"
SESSION_LOST = "session_lost"
LEASE_RENEWED = "lease_renewed"
LEASE_TOO_SHORT = "lease_too_short"
DUPLICATE_NAME = "duplicate_name"
PROCESS_STALLED = "process_stalled"
STORE_SLOW = "store_slow"
STORE_RESET = "store_reset"
STORE_CALL_UNKNOWN = "store_call_unknown"
WATCH_LOST = "watch_lost"
UNHEALTHY = "unhealthy"
ROLE_ACQUIRED = "role_acquired"
ROLE_LOST = "role_lost"
COMMIT_SENT = "commit_sent"
COMMIT_FINISHED = "commit_finished"

# These events are logged at debug level, because each renewal, commit and unknown outcome has an event.
DEBUG_EVENTS = frozenset({LEASE_RENEWED, COMMIT_SENT, COMMIT_FINISHED, STORE_CALL_UNKNOWN})
