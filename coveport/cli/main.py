"""The entry point. What it needs beside the standard library is loaded only when it is called."""

from __future__ import annotations

import sys
from typing import Final

from coveport.net.reload_signal import hold_reload_signal

SERVING_COMMANDS: Final = (["run"], ["fleet", "run"])  # which reload their file at SIGHUP


def main() -> int:
    """Run `sys.argv` and exit with its code; return 2 only where click isn't installed."""
    words = [argument for argument in sys.argv[1:] if not argument.startswith("-")]
    if any(words[: len(command)] == command for command in SERVING_COMMANDS):
        hold_reload_signal()
    try:
        from coveport.cli.root import root
    except ModuleNotFoundError as error:
        if error.name != "click":
            raise
        print("coveport: the command line needs click: pip install 'coveport[cli]'", file=sys.stderr)
        return 2
    return int(root.main(prog_name="coveport"))
