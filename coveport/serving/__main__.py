"""`python -m coveport.serving ROLE` starts a role; other words go to the command line."""

from __future__ import annotations

import sys

from coveport.serving.cli.roles import ROLES, run_role


def main() -> int:
    """Carry out `sys.argv`; the exit code.

    A role by its name alone is started without the command line's library.
    """
    if len(sys.argv) == 2 and sys.argv[1] in ROLES:
        return run_role(sys.argv[1], None)
    from coveport.serving.cli.app import main as command_line

    return command_line()


if __name__ == "__main__":
    sys.exit(main())
