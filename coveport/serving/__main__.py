"""Entry point: `python -m coveport.serving ROLE` runs a role; other arguments run the command-line tool."""

from __future__ import annotations

import sys

from coveport.net.reload_signal import hold_reload_signal

ROLES = ("coordinator", "proxy")


def main() -> int:
    """Run the role or command that `sys.argv` names, and return the exit code.

    A role without options runs without the command-line library, which would stay in memory.
    """
    if len(sys.argv) > 1 and sys.argv[1] in ROLES:
        hold_reload_signal()
    if len(sys.argv) == 2 and sys.argv[1] in ROLES:
        from coveport.serving.cli.roles import run_role

        return run_role(sys.argv[1], None)
    from coveport.serving.cli.app import main as command_line

    return command_line()


if __name__ == "__main__":
    sys.exit(main())
