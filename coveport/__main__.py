"""Without arguments: the platform's sidecar, nothing more imported. With arguments: the command line."""

from __future__ import annotations

import sys

from coveport.net.reload_signal import hold_reload_signal


def main() -> int:
    """Start the platform's sidecar, or hand the arguments to the command line; the exit code."""
    if len(sys.argv) > 1:
        from coveport.cli.main import main as command_line

        return command_line()
    hold_reload_signal()
    from coveport.sidecar.service import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
