#!/usr/bin/env bash
# Builds the stand-ins that the scripts start: all are Python, so they are compiled to see that they can be.
# The scripts also need what the build line of deploy/system.toml leaves in target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run the build line of deploy/system.toml first" >&2; exit 1; }
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "Python 3.11 or newer is needed" >&2; exit 1; }
export PYTHONPYCACHEPREFIX=target/review
python3 -m compileall -q -f review/stand_ins review/[123]
