#!/usr/bin/env bash
# Plays each panel of the operators' benches in turn, by name, on a quiet machine.
#   benchmarks/regression.sh KIT SITE WHY        the quick days; FULL=1: all of them; PANELS="days size": only those
# KIT holds the benches: the day-to-day days and the earlier ones are played by the one, the days at size by the other.
set -euo pipefail
[ $# -eq 3 ] || { echo "regression.sh: KIT SITE WHY, where WHY is one sentence that names the change" >&2; exit 2; }
days=$1/more/ops/bin/lbreal size=$1/more/bin/lbreal
for bench in "$days" "$size"; do
    [ -x "$bench" ] || { echo "regression.sh: no program at $bench" >&2; exit 2; }
done
quick=--quick
[ "${FULL:-}" = 1 ] && quick=
for panel in ${PANELS:-days later size}; do
    echo "panel $panel"
    case $panel in
    days) "$days" score "$2" $quick --why "$3" ;;
    later) "$days" score "$2" --panel later $quick --why "$3" ;;
    size) "$size" score "$2" --panel size $quick --why "$3" ;;
    *) echo "regression.sh: no panel $panel; there are days, later, size" >&2; exit 2 ;;
    esac
done
