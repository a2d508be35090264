#!/bin/sh
# Builds every stand-in of the cases 4, 5 and 7: Python of the standard library, so it is only compiled. The programs
# themselves are built by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or newer is needed" >&2; exit 1; }
PYTHONPYCACHEPREFIX=target/review-2 python3 -m compileall -q -f review/rig_2 review/4 review/5 review/7
