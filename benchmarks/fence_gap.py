"""Runs the program and writes down how long it is from the fence's last look to the socket's write.

    python -m benchmarks.fence_gap FILE run --config coveport.toml

At its end FILE has the figures, in microseconds. Both looks are in one turn of the loop; what lies between
them is what a stall of the process could stretch, and no sidecar alone could close.
"""

from __future__ import annotations

import atexit
import json
import sys
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from coveport.sidecar.intent_log.pending_operation import PendingOperation
from coveport.sidecar.upstream.attempt import Attempt

GAPS = HdrHistogram(1, 60_000_000, 3)  # us


def main() -> None:
    """See the head of this file."""
    file = Path(sys.argv[1])
    is_send_allowed, mark_sent = PendingOperation.is_send_allowed, Attempt.mark_sent
    looked = [0.0]

    def looks(pending: PendingOperation, now_s: float) -> bool:
        may = is_send_allowed(pending, now_s)
        looked[0] = time.perf_counter()
        return may

    def marked_sent(attempt: Attempt) -> None:
        if attempt.fence is not None:
            GAPS.record_value(max(1, round((time.perf_counter() - looked[0]) * 1e6)))
        mark_sent(attempt)

    PendingOperation.is_send_allowed, Attempt.mark_sent = looks, marked_sent  # type: ignore[method-assign]
    atexit.register(
        lambda: file.write_text(
            json.dumps(
                {
                    "count": GAPS.get_total_count(),
                    "p50": GAPS.get_value_at_percentile(50),
                    "p99": GAPS.get_value_at_percentile(99),
                    "p999": GAPS.get_value_at_percentile(99.9),
                    "most": GAPS.get_max_value(),
                }
            )
        )
    )
    sys.argv = ["coveport", *sys.argv[2:]]
    from coveport.cli.main import main as command

    sys.exit(command())


if __name__ == "__main__":
    main()
