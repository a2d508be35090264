"""`python -m coveport.system ROLE`."""

from __future__ import annotations

import sys

from coveport.system.cli.app import main

if __name__ == "__main__":
    sys.exit(main())
