#!/usr/bin/env bash
# Lays beside each site here what the operators' benches want there and the project has no file of: what is unlocked,
# and the names on the platform's wire and sockets, which are the same at every site. None of it goes into git.
#   deploy/sites/lay.sh KIT     KIT: where the operators' programs and sites are
set -euo pipefail
[ $# -eq 1 ] || { echo "lay.sh: KIT" >&2; exit 2; }
for site in "$(dirname "$0")"/*/; do
    for name in unlock.txt wire.json real.json; do
        cp "$1/sites/$name" "$site$name" || { echo "lay.sh: no $name at $1/sites" >&2; exit 2; }
        chmod u+w "$site$name"
    done
done
