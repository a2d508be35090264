#!/bin/sh
# Builds every stand-in of the cases 4 to 8: Python of the standard library, so it is only compiled. The programs
# themselves are built by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps
for folder in review/rig_2 review/4 review/5 review/6 review/7 review/8; do
    if [ -d "$folder" ]; then python3 -m compileall -q "$folder"; fi
done
